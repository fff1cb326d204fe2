#include <agatebank/core/demand_reporter.hpp>
#include <agatebank/core/target_table.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

const service_name booking("pall-booking");

target_offer offer(uint64_t agent, bool accepts_work)
{
    target_offer out;
    out.agent = agent_incarnation(agent);
    out.services = {booking};
    out.slots = 4;
    out.accepts_work = accepts_work;
    return out;
}

} // namespace

TEST_CASE("target_table: sums and ready targets equal those of a full recount")
{
    rc::prop(
        "any sequence of offers, grants, starts and ends",
        []
        {
            run_time_estimator times(true);
            health_monitor health({});
            target_table table(times, health, true);
            std::map<uint64_t, std::pair<unsigned, unsigned>> counted;
            std::map<uint64_t, bool> accepts;
            time_point now{};
            uint32_t next = 0;
            const auto steps =
                *rc::gen::container<std::vector<std::pair<int, int>>>(
                    rc::gen::pair(rc::gen::inRange(0, 6),
                                  rc::gen::inRange(0, 60)));
            for (const auto& [kind, which] : steps)
            {
                now += 3ms;
                const uint64_t i = which % 4;
                const agent_incarnation agent(i);
                auto* t = table.find(agent);
                if (kind == 0)
                {
                    accepts[i] = which % 3 != 0;
                    counted.try_emplace(i);
                    table.put(offer(i, accepts[i]));
                }
                else if (kind == 1 && t != nullptr)
                {
                    counted[i].first = which / 10;
                    table.set_grant(agent, counted[i].first);
                }
                else if (kind == 2 && which % 5 == 0)
                {
                    counted.erase(i);
                    table.remove(agent);
                }
                else if (kind == 3 && t != nullptr && !t->in_flight.empty())
                {
                    table.end_start(*t, t->in_flight.begin()->first);
                    --counted[i].second;
                }
                else if (kind > 3 && t != nullptr)
                {
                    table.add_start(*t, {job_key(1), task_index(next++)},
                                    {booking, {}, 10ms});
                    ++counted[i].second;
                }
                table.refresh(now);
                unsigned credits = 0;
                unsigned busy = 0;
                std::size_t ready = 0;
                std::size_t in_flight = 0;
                for (const auto& [key, c] : counted)
                {
                    credits += accepts[key] ? c.first : 0;
                    busy += accepts[key] ? c.second : 0;
                    ready += accepts[key] && c.second < c.first ? 1 : 0;
                    in_flight += c.second;
                }
                speed_group sum;
                for (const auto& [step, group] : table.view(booking).groups)
                {
                    sum.credits += group.credits;
                    sum.busy += group.busy;
                }
                RC_ASSERT(sum.credits == credits);
                RC_ASSERT(sum.busy == busy);
                RC_ASSERT(table.ready().size() == ready);
                RC_ASSERT(table.in_flight() == in_flight);
            }
        });
}

TEST_CASE(
    "demand_reporter: sends increases at once and decreases after a delay")
{
    struct row
    {
        const char* name;
        uint32_t queued;
        uint32_t credits;
        duration at;
        bool sent;
    };
    const row rows[] = {
        {"nothing waits", 0, 3, 0s, false},
        {"tasks begin to wait", 1, 3, 1s, true},
        {"queue grows to twice", 2, 3, 1s, false},
        {"queue grows to more than twice", 3, 3, 1s, true},
        {"more credits need no confirmation", 3, 8, 2s, false},
        {"fewer credits are confirmed", 3, 2, 2s, true},
        {"queue drains, not reported yet", 0, 2, 2100ms, false},
        {"queue still empty after the delay", 0, 2, 4s, true},
        {"a decrease is reported once", 0, 2, 9s, false},
    };
    demand_reporter reporter(0.5);
    for (const auto& r : rows)
    {
        INFO(r.name);
        CHECK(reporter.should_send({r.queued, 0, {}}, {{}, 1, r.credits},
                                   time_point{} + r.at) == r.sent);
    }
}
