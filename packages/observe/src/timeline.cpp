#include "utc_time.hpp"
#include <agatebank/observe/timeline.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <tuple>

namespace agatebank
{

namespace
{

constexpr double us_per_ms = 1000.0;

// Orders events; equal keys are copies of one event.
auto order_key(const event& e)
{
    return std::tie(e.stamp, e.process, e.kind, e.submission, e.task, e.target,
                    e.peer, e.detail);
}

std::string to_milliseconds(uint64_t us)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "+%.3f ms",
                  static_cast<double>(us) / us_per_ms);
    return buf.data();
}

using table_row = std::array<std::string, 9>;

table_row to_row(const event& e, uint64_t first_us)
{
    return {to_utc_text(e.stamp.wall_us),
            to_milliseconds(e.stamp.wall_us - first_us),
            e.process,
            to_word(e.kind),
            e.submission,
            e.task < 0 ? "" : std::to_string(e.task),
            e.target,
            e.peer,
            e.detail};
}

std::string to_text(const std::vector<table_row>& rows)
{
    std::array<std::size_t, std::tuple_size_v<table_row>> widths{};
    for (const auto& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string out;
    for (const auto& row : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

} // namespace

std::vector<event> merge_events(const std::vector<std::vector<event>>& sources)
{
    std::vector<event> out;
    for (const auto& source : sources)
    {
        out.insert(out.end(), source.begin(), source.end());
    }
    std::sort(out.begin(), out.end(),
              [](const event& a, const event& b)
              { return order_key(a) < order_key(b); });
    const auto last = std::unique(out.begin(), out.end(),
                                  [](const event& a, const event& b)
                                  { return order_key(a) == order_key(b); });
    out.erase(last, out.end());
    return out;
}

std::string to_table(const std::vector<event>& events)
{
    std::vector<table_row> rows{{"TIME", "SINCE FIRST", "PROCESS", "EVENT",
                                 "SUBMISSION", "TASK", "TARGET", "PEER",
                                 "DETAIL"}};
    for (const auto& e : events)
    {
        rows.push_back(to_row(e, events.front().stamp.wall_us));
    }
    return to_text(rows);
}

} // namespace agatebank
