#include <agatebank/core/hybrid_clock.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

hybrid_clock::hybrid_clock(wall_clock wall) : wall_(std::move(wall)) {}

hybrid_stamp hybrid_clock::tick()
{
    return receive(last_);
}

hybrid_stamp hybrid_clock::receive(const hybrid_stamp& remote)
{
    const auto latest = std::max(last_, remote);
    const uint64_t wall = wall_();
    if (wall > latest.wall_us)
    {
        last_ = {wall, 0};
    }
    else
    {
        last_ = {latest.wall_us, latest.counter + 1};
    }
    return last_;
}

} // namespace agatebank
