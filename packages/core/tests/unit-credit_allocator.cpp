#include <agatebank/core/credit_allocator.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

using namespace agatebank;

namespace
{

constexpr uint32_t slots = 8;
constexpr time_point now{};

entry_incarnation entry(uint64_t i)
{
    return entry_incarnation(i);
}

// Model of an entry, which acts on the highest grant version it has received.
struct entry_model
{
    slot_grant acted_on;
    uint32_t in_flight = 0;
    uint32_t queued = 0;

    uint32_t may_have() const
    {
        return std::max(acted_on.credits, in_flight);
    }
};

struct update
{
    entry_incarnation from;
    demand_report demand;
    uint64_t version;
};

// One agent and three entries that exchange messages which may be lost,
// repeated or delayed.
struct credit_model
{
    credit_allocator agent{slots, 1};
    std::vector<entry_model> entries{3};
    std::vector<slot_grant> grants;
    std::vector<update> updates;

    credit_model()
    {
        for (uint64_t i = 0; i < entries.size(); ++i)
        {
            agent.add_entry(entry(i));
        }
    }
    uint32_t in_use() const
    {
        uint32_t sum = 0;
        for (const auto& it : entries)
        {
            sum += it.may_have();
        }
        return sum;
    }
    void step(int kind, int which)
    {
        auto& e = entries[which % entries.size()];
        switch (kind)
        {
        case 0:
            e.queued = which / 3;
            break;
        case 1:
            e.in_flight += e.in_flight < e.acted_on.credits ? 1 : 0;
            break;
        case 2:
            e.in_flight -= e.in_flight > 0 ? 1 : 0;
            break;
        case 3:
            updates.push_back({entry(which % entries.size()),
                               {e.queued, e.in_flight, {}},
                               e.acted_on.version});
            break;
        case 4:
            deliver_update(which);
            break;
        default:
            deliver_grant(which);
        }
    }
    void deliver_update(int which)
    {
        if (updates.empty())
        {
            return;
        }
        const auto& u = updates[which % updates.size()];
        agent.set_demand(u.from, u.demand);
        agent.confirm(u.from, u.version);
        const auto out = agent.rebalance(now);
        grants.insert(grants.end(), out.begin(), out.end());
    }
    void deliver_grant(int which)
    {
        if (grants.empty())
        {
            return;
        }
        const auto& g = grants[which % grants.size()];
        auto& e = entries[g.entry.value()];
        e.acted_on = g.version > e.acted_on.version ? g : e.acted_on;
    }
};

// Exchanges grants and confirmations until nothing changes.
// @return number of grants sent
std::size_t settle(credit_allocator& agent, std::size_t entries)
{
    std::size_t messages = 0;
    for (auto out = agent.rebalance(now); !out.empty();
         out = agent.rebalance(now))
    {
        messages += out.size();
        for (uint64_t i = 0; i < entries; ++i)
        {
            agent.confirm(entry(i), agent.current(entry(i)).version);
        }
    }
    return messages;
}

} // namespace

TEST_CASE("credit_allocator: credits never exceed slots and queue allowance")
{
    rc::prop("any sequence of lost, repeated and late messages",
             []
             {
                 credit_model model;
                 const auto steps =
                     *rc::gen::container<std::vector<std::pair<int, int>>>(
                         rc::gen::pair(rc::gen::inRange(0, 8),
                                       rc::gen::inRange(0, 60)));
                 model.grants = model.agent.rebalance(now);
                 for (const auto& [kind, which] : steps)
                 {
                     model.step(kind, which);
                     RC_ASSERT(model.in_use() <= slots + 1);
                     RC_ASSERT(model.agent.committed() <= slots + 1);
                     RC_ASSERT(model.in_use() <= model.agent.committed());
                 }
             });
}

TEST_CASE("credit_allocator: divides credits by demand")
{
    struct row
    {
        const char* name;
        std::vector<uint32_t> queued;
        std::vector<uint32_t> credits;
    };
    const row rows[] = {
        {"idle entries keep even shares", {0, 0, 0}, {3, 3, 2}},
        {"an entry in need gets the credits that others do not use",
         {100, 0, 0},
         {8, 0, 0}},
        {"small needs are met first", {100, 1, 0}, {7, 1, 0}},
        {"entries in need get even shares", {100, 50, 70}, {3, 3, 2}},
        {"needs below the even share change nothing", {2, 1, 0}, {3, 3, 2}},
        {"spare credits go to idle entries", {6, 0, 0}, {6, 1, 1}},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            credit_allocator agent(slots, 0);
            for (uint64_t i = 0; i < 3; ++i)
            {
                agent.add_entry(entry(i));
            }
            settle(agent, 3);
            for (uint64_t i = 0; i < 3; ++i)
            {
                agent.set_demand(entry(i), {r.queued[i], 0, {}});
            }
            settle(agent, 3);
            for (uint64_t i = 0; i < 3; ++i)
            {
                CHECK(agent.current(entry(i)).credits == r.credits[i]);
            }
            CHECK(settle(agent, 3) == 0);
        }
    }
}

TEST_CASE("credit_allocator: credits of a removed entry are granted to others")
{
    credit_allocator agent(slots, 0);
    agent.add_entry(entry(0));
    agent.add_entry(entry(1));
    agent.set_demand(entry(0), {100, 0, {}});
    settle(agent, 2);
    REQUIRE(agent.current(entry(0)).credits == 8);
    agent.remove_entry(entry(0));
    agent.set_orphaned_tasks(5);
    agent.set_demand(entry(1), {100, 0, {}});
    settle(agent, 2);
    CHECK(agent.current(entry(1)).credits == 3);
    agent.set_orphaned_tasks(0);
    settle(agent, 2);
    CHECK(agent.current(entry(1)).credits == 8);
    agent.set_slots(0);
    settle(agent, 2);
    CHECK(agent.current(entry(1)).credits == 0);
}

TEST_CASE("credit_allocator: lowered credits are not granted while starts run")
{
    credit_allocator agent(slots, 0);
    agent.add_entry(entry(0));
    agent.set_demand(entry(0), {8, 0, {}});
    settle(agent, 1);
    agent.set_running(entry(0), 8);
    agent.add_entry(entry(1));
    agent.set_demand(entry(1), {8, 0, {}});
    agent.rebalance(now);
    agent.confirm(entry(0), agent.current(entry(0)).version, 8);
    agent.rebalance(now);
    CHECK(agent.current(entry(0)).credits == 4);
    CHECK(agent.current(entry(1)).credits == 0);
    agent.set_running(entry(0), 6);
    agent.rebalance(now);
    CHECK(agent.current(entry(1)).credits == 2);
}
