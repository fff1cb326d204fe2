#include <agatebank/fleet/entry_roster.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

entry_address address(uint16_t number)
{
    return {"10.0.0.1", number};
}

entry_record record(uint16_t number, uint64_t version, bool gone)
{
    return {address(number), failure_domain_name("a"), version, gone};
}

std::vector<entry_record> random_records()
{
    std::vector<entry_record> out(*rc::gen::inRange<std::size_t>(0, 12));
    for (auto& it : out)
    {
        it = record(*rc::gen::inRange<uint16_t>(1, 5),
                    *rc::gen::inRange<uint64_t>(0, 4),
                    *rc::gen::arbitrary<bool>());
    }
    return out;
}

} // namespace

// Guards against rosters that stay different between processes, because
// changes reached them over different links.
TEST_CASE("entry_roster: processes that receive the same records in any order, "
          "some twice, agree")
{
    rc::prop("rosters are equal",
             []
             {
                 const auto received = random_records();
                 auto shuffled = received;
                 const auto turns = *rc::gen::inRange<std::size_t>(0, 12);
                 std::rotate(
                     shuffled.begin(),
                     shuffled.begin() +
                         static_cast<std::ptrdiff_t>(
                             shuffled.empty() ? 0 : turns % shuffled.size()),
                     shuffled.end());
                 entry_roster left;
                 entry_roster right;
                 left.merge(received, start);
                 for (const auto& it : shuffled)
                 {
                     right.merge({it}, start);
                 }
                 right.merge(received, start);
                 RC_ASSERT(left.records() == right.records());
             });
}

TEST_CASE("entry_roster: only newer records count as changes")
{
    struct row
    {
        const char* name;
        entry_record known;
        entry_record received;
        bool changes;
    };
    const row rows[] = {
        {"the same", record(1, 2, false), record(1, 2, false), false},
        {"older", record(1, 2, false), record(1, 1, true), false},
        {"newer", record(1, 2, true), record(1, 3, false), true},
        {"gone", record(1, 2, false), record(1, 2, true), true},
        {"back with the same version", record(1, 2, true), record(1, 2, false),
         false},
        {"another entry", record(1, 2, false), record(2, 1, false), true}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        entry_roster roster;
        roster.merge({it.known}, start);
        CHECK(roster.merge({it.received}, start).size() ==
              (it.changes ? 1 : 0));
    }
}

// Guards against an entry that the others call gone after a cut and that then
// stays without agents.
TEST_CASE("entry_roster: an entry that is called gone, or that was restarted, "
          "takes a version that all others accept")
{
    struct row
    {
        const char* name;
        entry_record received;
        uint64_t version;
    };
    const row rows[] = {{"called gone", record(1, 1, true), 2},
                        {"called gone before a restart", record(1, 5, true), 6},
                        {"known from before a restart", record(1, 5, false), 5},
                        {"known from the settings", record(1, 0, false), 1}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        entry_roster entry(record(1, 1, false));
        entry_roster other;
        other.merge({it.received}, start);
        entry.merge({it.received}, start);
        other.merge(entry.records(), start);
        CHECK(entry.records() ==
              std::vector<entry_record>{record(1, it.version, false)});
        CHECK(other.records() == entry.records());
        CHECK(other.is_member(address(1)));
        CHECK(entry.others().empty());
    }
}

TEST_CASE("entry_roster: an entry that is gone leaves the members at once and "
          "the records after ten minutes")
{
    entry_roster roster;
    CHECK(roster.add_seed(address(1), start));
    CHECK_FALSE(roster.add_seed(address(1), start));
    CHECK(roster.mark_gone(address(1), start + 1s));
    CHECK_FALSE(roster.mark_gone(address(1), start + 2s));
    CHECK_FALSE(roster.mark_gone(address(2), start + 2s));
    CHECK(roster.others().empty());
    roster.erase_long_gone(start + 10min);
    CHECK(roster.records().size() == 1);
    roster.erase_long_gone(start + 10min + 2s);
    CHECK(roster.records().empty());
}
