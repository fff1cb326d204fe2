#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

// Rows of the table service that another writer left must cost only themselves:
// the entry keeps running and follows the other rows.

namespace
{

constexpr std::size_t megabyte = 1'000'000;

std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string evacuation_row(const std::string& name)
{
    return R"({"part":"","key":"evacuate/)" + name + R"(","value":""})";
}

} // namespace

// Guards against an entry that ends again and again, as it copies a deeply
// nested row, or that follows no more changes.
TEST_CASE("odd rows: an entry with odd rows in its table serves jobs and "
          "follows the other rows")
{
    struct row
    {
        const char* name;
        std::string rows;
    };
    const auto deep = nested_arrays(megabyte / 2);
    const row rows[] = {
        {"a nested array as a row", deep},
        {"a nested value", R"({"part":"","key":"other","value":)" + deep + "}"},
        {"a nested value of an evacuation",
         R"({"part":"","key":"evacuate/z8","value":)" + deep + "}"},
        {"a nested configuration",
         R"({"part":"","key":"config","value":)" + deep + "}"},
        {"a configuration that isn't one",
         R"({"part":"","key":"config","value":"W1tbW1tbW1tbW1s="})"},
        {"texts and numbers as rows", R"("row",7,null,true,1e300)"},
        {"fields of other types",
         R"({"part":7,"key":7,"value":7,"deleted":7},
            {"part":[],"key":{},"value":[],"deleted":"x"},{})"},
        {"an evacuation without a name", evacuation_row("")},
        {"an evacuation of a long name",
         evacuation_row(std::string(megabyte, 'z'))},
        {"an evacuation of a name with control characters",
         evacuation_row(R"(z\u0000\r\n\u007f)")}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        node_cluster c({1, 1});
        c.stores[0]->set_odd_rows(it.rows);
        CHECK(c.wait_ready());
        c.configure(2, {"/new/"});
        run_for(c.loop, 500ms);
        const auto j = c.submit(0, "000000000000000a", 4, 3s, "/new/");
        CHECK(c.wait_ended(j));
        CHECK(c.job(j).status == 200);
        c.evacuate("z1");
        CHECK(run_until(c.loop, 3s,
                        [&c] {
                            return c.agent_logged(
                                0, "failure domain of the target is evacuated");
                        }));
        CHECK(c.entry(0).running());
        CHECK(c.agent(0).running());
    }
}
