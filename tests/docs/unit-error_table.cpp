#include <agatebank/core/error.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <regex>
#include <string>

using namespace agatebank;

namespace
{

constexpr int first_number = 1;
constexpr int last_number = 999;

struct table_row
{
    std::string word;
    std::string meaning;
    std::string action;
};

std::map<int, table_row> read_table()
{
    std::ifstream in(AGATEBANK_DOCS "/OPERATING.md");
    const std::regex pattern(R"(\| (\d{3}) \| (\w+) \| ([^|]+) \| ([^|]+) \|)");
    std::map<int, table_row> out;
    for (std::string line; std::getline(in, line);)
    {
        std::smatch m;
        if (std::regex_match(line, m, pattern))
        {
            CHECK(out.count(std::stoi(m[1])) == 0);
            out[std::stoi(m[1])] = {m[2], m[3], m[4]};
        }
    }
    return out;
}

} // namespace

TEST_CASE("docs: the table of errors matches the error codes")
{
    const auto table = read_table();
    std::size_t known_errors = 0;
    for (int n = first_number; n <= last_number; ++n)
    {
        const auto code = static_cast<errc>(n);
        const std::string word = error_word(code);
        if (word == "unknown")
        {
            CHECK(table.count(n) == 0);
            continue;
        }
        ++known_errors;
        INFO(n << " " << word);
        REQUIRE(table.count(n) == 1);
        CHECK(table.at(n).word == word);
        CHECK(table.at(n).meaning == make_error_code(code).message());
        CHECK_FALSE(table.at(n).action.empty());
    }
    CHECK(known_errors == table.size());
}
