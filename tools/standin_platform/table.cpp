#include "table.hpp"

namespace agatebank
{

namespace
{

constexpr int64_t us_per_second = 1'000'000;

bool is_met(const table_row* stored, const write_condition& condition)
{
    if (condition.if_none_match)
    {
        return stored == nullptr;
    }
    if (condition.if_match)
    {
        return stored != nullptr && stored->etag == *condition.if_match;
    }
    return true;
}

} // namespace

std::optional<table_row> table::read(const std::string& key) const
{
    const auto it = rows_.find(key);
    if (it == rows_.end())
    {
        return std::nullopt;
    }
    return it->second;
}

std::optional<std::string> table::write(const std::string& key,
                                        const std::string& body,
                                        const write_condition& condition)
{
    const auto it = rows_.find(key);
    if (!is_met(it == rows_.end() ? nullptr : &it->second, condition))
    {
        return std::nullopt;
    }
    const std::string etag = "\"" + std::to_string(++last_etag_) + "\"";
    rows_[key] = {etag, body};
    return etag;
}

bool rate_limit::try_acquire(int64_t now_us)
{
    const int64_t second = now_us / us_per_second;
    if (second != current_second_)
    {
        current_second_ = second;
        used_in_second_ = 0;
    }
    ++used_in_second_;
    return per_second_ == 0 || used_in_second_ <= per_second_;
}

} // namespace agatebank
