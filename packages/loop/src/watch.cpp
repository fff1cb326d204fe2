#include <agatebank/loop/watch.hpp>

#include <utility>

namespace agatebank
{

watch::watch(source_ptr source) : source_(std::move(source)) {}

watch::watch(std::weak_ptr<timer_schedule> timers, scheduled_id id)
    : timers_(std::move(timers)), id_(id)
{
}

watch::watch(watch&& other) noexcept
    : source_(std::move(other.source_))
    , timers_(std::move(other.timers_))
    , id_(std::exchange(other.id_, scheduled_id()))
{
}

watch& watch::operator=(watch&& other) noexcept
{
    if (this != &other)
    {
        reset();
        source_ = std::move(other.source_);
        timers_ = std::move(other.timers_);
        id_ = std::exchange(other.id_, scheduled_id());
    }
    return *this;
}

watch::~watch()
{
    reset();
}

void watch::reset() noexcept
{
    source_.reset();
    const auto id = std::exchange(id_, scheduled_id());
    if (const auto timers = timers_.lock())
    {
        timers->cancel(id);
    }
    timers_.reset();
}

watch::operator bool() const noexcept
{
    return source_ != nullptr || id_ != scheduled_id();
}

} // namespace agatebank
