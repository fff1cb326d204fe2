#include <agatebank/platform/rate_limited_reader.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

rate_limited_reader::rate_limited_reader(event_loop& loop, table_client& table,
                                         std::string key, duration min_interval)
    : loop_(loop)
    , table_(table)
    , key_(std::move(key))
    , min_interval_(min_interval)
{
}

void rate_limited_reader::read(table_client::get_completion done)
{
    waiting_.push_back(std::move(done));
    schedule();
}

std::size_t rate_limited_reader::reads_sent() const noexcept
{
    return reads_sent_;
}

void rate_limited_reader::schedule()
{
    if (timer_ || call_ || waiting_.empty())
    {
        return;
    }
    const auto now = loop_.now();
    const auto next = last_sent_ ? *last_sent_ + min_interval_ : now;
    timer_ = loop_.after(std::max(next - now, duration{}), [this] { send(); });
}

void rate_limited_reader::send()
{
    timer_.reset();
    last_sent_ = loop_.now();
    ++reads_sent_;
    in_flight_ = std::exchange(waiting_, {});
    call_ = table_.get(key_, [this](const auto& value) { finish(value); });
}

void rate_limited_reader::finish(
    const result<std::optional<table_value>>& value)
{
    call_.reset();
    const auto done = std::exchange(in_flight_, {});
    schedule();
    for (const auto& fn : done)
    {
        fn(value);
    }
}

} // namespace agatebank
