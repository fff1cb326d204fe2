#include <agatebank/core/inventory_csv.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <string>

using namespace agatebank;

namespace
{

const std::vector<std::vector<std::string>> label_lists{{}, {"a"}, {"a", "b"}};

const std::string header = "target,worker,rack,failure_domain,slots\n";

} // namespace

TEST_CASE("inventory_csv: line ends, column order and quoting may vary")
{
    struct row
    {
        const char* name;
        std::string text;
    };
    const row rows[] = {
        {"plain", "target,worker,rack,failure_domain,cores,memory_mib,"
                  "accelerators,slots,labels\n"
                  "t-1,w-1,r-1,sapporo,16,65536,0,8,pall;desk\n"},
        {"CRLF, no last end of line",
         "target,worker,rack,failure_domain,cores,memory_mib,"
         "accelerators,slots,labels\r\n"
         "t-1,w-1,r-1,sapporo,16,65536,0,8,pall;desk"},
        {"other order, quoted, blank line",
         "slots,labels,\"target\",worker,rack,failure_domain,cores,"
         "memory_mib\n\n8,\"pall;desk\",\"t-1\",w-1,r-1,sapporo,16,65536\n"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            const auto got = parse_inventory_csv(r.text, "file");
            REQUIRE(got);
            const std::vector<inventory_row> expected{
                {target_name("t-1"),
                 worker_name("w-1"),
                 rack_name("r-1"),
                 failure_domain_name("sapporo"),
                 16,
                 65536,
                 0,
                 8,
                 {"pall", "desk"}}};
            CHECK(*got == expected);
        }
    }
}

TEST_CASE("inventory_csv: errors state the line and the column")
{
    struct row
    {
        const char* name;
        std::string text;
        const char* error;
    };
    const row rows[] = {
        {"empty", "",
         "at line 1: found nothing, expected a line of column names"},
        {"unknown column", "target,colour\n",
         "at line 1, column \"colour\": found an unknown column, expected no "
         "such column"},
        {"column twice", "target,target\n",
         "at line 1, column target: found the column again, expected each "
         "column once"},
        {"column missing", "target,worker,rack,slots\n",
         "at line 1, column failure_domain: found nothing, expected the "
         "column"},
        {"too few fields", header + "t-1,w-1,r-1,sapporo\n",
         "at line 2: found 4 fields, expected 5"},
        {"not a number", header + "t-1,w-1,r-1,sapporo,8x\n",
         "at line 2, column slots: found \"8x\", expected a whole number"},
        {"out of bounds", header + "t-1,w-1,r-1,sapporo,9999\n",
         "at line 2, column slots: found 9999, expected a whole number from "
         "1 to 4096"},
        {"line after a quoted end of line",
         header + "\"t\n1\",w-1,r-1,sapporo,8\nt-2,w-1,r-1,sapporo,x\n",
         "at line 4, column slots: found \"x\", expected a whole number"},
        {"target twice",
         header + "t-1,w-1,r-1,sapporo,8\nt-1,w-2,r-1,sapporo,8\n",
         "at line 3, column target: found \"t-1\" again, expected each "
         "target once"},
        {"quote inside", header + "t\"1,w-1,r-1,sapporo,8\n",
         "at line 2: found \"t\\\"1,w-1,r-1,sapporo,8\", expected fields as "
         "in RFC 4180"},
        {"quote not closed", header + "\"t-1,w-1,r-1,sapporo,8",
         "at line 2: found \"\\\"t-1,w-1,r-1,sapporo,8\", expected fields as "
         "in RFC 4180"},
        {"doubled quote", header + "\"t\"\"1\",w-1,r-1,sapporo,8\n",
         "at line 2, column target: found \"t\\\"1\", expected 1 to 64 "
         "characters from A-Z a-z 0-9 . _ : @ + -"},
        {"invalid UTF-8", header + "\xff,w-1,r-1,sapporo,8\n",
         "at line 2, column target: found \"\\ufffd\", expected 1 to 64 "
         "characters from A-Z a-z 0-9 . _ : @ + -"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            const auto got = parse_inventory_csv(r.text, "file");
            REQUIRE_FALSE(got);
            CHECK(got.error().code == errc::configuration_invalid);
            CHECK(got.error().detail == r.error);
        }
    }
}

TEST_CASE("inventory_csv: any inventory round-trips through CSV")
{
    rc::prop("parse(to_csv(rows)) == rows",
             []
             {
                 std::vector<inventory_row> rows;
                 const auto n = *rc::gen::inRange(0, 20);
                 for (int i = 0; i < n; ++i)
                 {
                     const auto id = std::to_string(i);
                     inventory_row row;
                     row.target = target_name("t-" + id);
                     row.worker = worker_name("w-" + id);
                     row.rack = rack_name("r");
                     row.failure_domain = failure_domain_name("sapporo");
                     row.cores = *rc::gen::inRange(0U, 100U);
                     row.slots = *rc::gen::inRange(1U, 100U);
                     row.labels = *rc::gen::elementOf(label_lists);
                     rows.push_back(row);
                 }
                 const auto back = parse_inventory_csv(to_csv(rows), "test");
                 RC_ASSERT(back.has_value());
                 RC_ASSERT(*back == rows);
             });
}

TEST_CASE("inventory_csv: arbitrary input never causes an exception")
{
    rc::prop("parse_inventory_csv does not throw",
             [](const std::string& input)
             {
                 (void)parse_inventory_csv(input, "test");
                 (void)parse_inventory_csv(header + input, "test");
             });
}
