#include <agatebank/fleet/processor_load.hpp>

#include <algorithm>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration shortest_span = 250ms;
constexpr duration longest_span = 500ms;
constexpr double over_from = 0.8;
constexpr double over_until = 0.65;
constexpr double spare_from = 0.5;
constexpr double spare_until = 0.6;

} // namespace

processor_load::processor_load(double share)
    : share_(share > 0 ? std::min(share, 1.0) : 1.0)
{
}

void processor_load::add_sample(time_point now, duration processor_time)
{
    samples_.push_back({now, processor_time});
    // The oldest sample may be older than the longest span only if a pause of
    // the process left no other one that spans the shortest.
    while (samples_.size() > 2 && now - samples_[0].at > longest_span &&
           now - samples_[1].at >= shortest_span)
    {
        samples_.pop_front();
    }
    const auto& first = samples_.front();
    const auto span = now - first.at;
    if (span < shortest_span)
    {
        return;
    }
    const double u =
        static_cast<double>((processor_time - first.processor_time).count()) /
        static_cast<double>(span.count()) / share_;
    utilisation_ = u;
    over_ = u >= (over_ ? over_until : over_from);
    spare_ = u <= (spare_ ? spare_until : spare_from);
}

std::optional<double> processor_load::utilisation() const noexcept
{
    return utilisation_;
}

bool processor_load::over() const noexcept
{
    return over_;
}

bool processor_load::spare() const noexcept
{
    return spare_;
}

double processor_load::share() const noexcept
{
    return share_;
}

} // namespace agatebank
