#include "../../packages/http/src/request_reader.hpp"
#include "allocation_meter.hpp"
#include "mutation.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace agatebank;

namespace
{

constexpr unsigned seed = 20261206;
constexpr int rounds_per_file = 3000;
constexpr std::size_t max_allocation = 1U << 20U;
constexpr request_limits limits{64U << 10U, 64U << 10U};

// One line for each request up to a refusal. When bytes are refused depends on
// how they are split, as the end of a head may be awaited first.
std::vector<std::string> read_parts(const std::string& bytes, std::size_t n)
{
    request_reader reader(limits);
    std::vector<std::string> out;
    for (std::size_t i = 0; i < bytes.size(); i += n)
    {
        reader.append(std::string_view(bytes).substr(i, n));
        while (auto next = reader.next())
        {
            if (std::holds_alternative<http_response>(*next))
            {
                return out;
            }
            const auto& rq = std::get<whole_request>(*next).request;
            out.push_back(rq.method + " " + rq.path + " " + rq.body);
        }
    }
    return out;
}

} // namespace

TEST_CASE("fuzz: mutated HTTP requests are read alike however they are split")
{
    mutator mutate(seed);
    std::size_t changed = 0;
    allocation_meter::reset();
    for (const auto& text : read_corpus("http_request"))
    {
        const auto valid = read_parts(text, text.size());
        REQUIRE_FALSE(valid.empty());
        for (int i = 0; i < rounds_per_file; ++i)
        {
            const auto bytes = mutate(text);
            const auto whole =
                read_parts(bytes, std::max<std::size_t>(bytes.size(), 1));
            changed += whole == valid ? 0 : 1;
            const auto n = 1 + static_cast<std::size_t>(i) % 17;
            if (read_parts(bytes, n) != whole)
            {
                FAIL("read otherwise " << n << " bytes at a time: " << bytes);
            }
        }
    }
    CHECK(changed > rounds_per_file / 2);
    CHECK(allocation_meter::largest() <= max_allocation);
}
