#include <agatebank/loop/deferred_calls.hpp>
#include <agatebank/loop/hook_source.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr int rounds_per_iteration = 2;

} // namespace

deferred_calls::deferred_calls()
    : source_(attach_hook_source({[this] { return calls_.empty() ? -1 : 0; },
                                  [this]
                                  {
                                      run();
                                  }}))
{
}

void deferred_calls::push(callback fn)
{
    calls_.push_back(std::move(fn));
}

void deferred_calls::run()
{
    for (int i = 0; i < rounds_per_iteration; ++i)
    {
        // Taken one by one, because a callback may run a nested loop that waits
        // for one of the others.
        for (auto n = calls_.size(); n > 0 && !calls_.empty(); --n)
        {
            const auto fn = std::move(calls_.front());
            calls_.pop_front();
            fn();
        }
    }
}

} // namespace agatebank
