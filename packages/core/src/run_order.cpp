#include <agatebank/core/run_order.hpp>

namespace agatebank
{

const char* to_word(run_outcome r) noexcept
{
    switch (r)
    {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::stalled:
        return "stalled";
    case run_outcome::not_run:
        return "not_run";
    case run_outcome::past_deadline:
        return "past_deadline";
    case run_outcome::target_lost:
        return "target_lost";
    case run_outcome::returned:
        return "returned";
    }
    return "unknown";
}

} // namespace agatebank
