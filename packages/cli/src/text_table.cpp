#include <agatebank/cli/text_table.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

text_table::text_table(std::vector<std::string> header)
    : rows_{std::move(header)}
{
}

void text_table::add(std::vector<std::string> row)
{
    row.resize(rows_.front().size());
    rows_.push_back(std::move(row));
}

std::string text_table::to_string() const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string out;
    for (const auto& row : rows_)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            line.append(widths[i] - row[i].size() + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

} // namespace agatebank
