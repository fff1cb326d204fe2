#include <agatebank/observe/timeline.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace agatebank;

namespace
{

event make_event(uint64_t us, event_kind kind, std::string process,
                 int32_t task = -1)
{
    event e;
    e.stamp = {us, 0};
    e.kind = kind;
    e.process = std::move(process);
    e.target = "t1";
    e.submission = "a-1";
    e.task = task;
    return e;
}

// Events of processes that exchange messages and whose wall clocks differ. Each
// event has a unique detail, which identifies it.
struct message_history
{
    static constexpr std::size_t processes = 3;
    std::vector<std::vector<event>> sources{processes};
    /// details of pairs of events: the first happened before the second
    std::vector<std::pair<std::string, std::string>> happened_before;

    explicit message_history(const std::vector<uint8_t>& steps)
    {
        uint64_t now = 1000;
        std::vector<hybrid_clock> clocks;
        for (uint64_t skew : {0, 500, 90})
        {
            clocks.emplace_back([&now, skew] { return now + skew; });
        }
        std::string last_detail[processes];
        int event_count = 0;
        const auto record = [&](std::size_t process, hybrid_stamp stamp)
        {
            event e;
            e.stamp = stamp;
            e.process = std::string(1, static_cast<char>('a' + process));
            e.detail = std::to_string(event_count++);
            if (!last_detail[process].empty())
            {
                happened_before.emplace_back(last_detail[process], e.detail);
            }
            last_detail[process] = e.detail;
            sources[process].push_back(e);
            return e;
        };
        for (const auto step : steps)
        {
            now += step % 2;
            const std::size_t from = step % processes;
            const std::size_t to = step / processes % processes;
            const auto sent = record(from, clocks[from].tick());
            if (from != to)
            {
                const auto received =
                    record(to, clocks[to].receive(sent.stamp));
                happened_before.emplace_back(sent.detail, received.detail);
            }
        }
    }
};

std::vector<std::string> details(const std::vector<event>& events)
{
    std::vector<std::string> out;
    out.reserve(events.size());
    for (const auto& e : events)
    {
        out.push_back(e.detail);
    }
    return out;
}

} // namespace

// Ordering by wall clock alone would put a receipt before its sending when the
// clocks of two processes differ.
TEST_CASE("timeline: merging keeps causal order")
{
    rc::prop("a message is sent before it is received, each process in order",
             [](const std::vector<uint8_t>& steps)
             {
                 const message_history history(steps);
                 const auto merged = merge_events(history.sources);
                 std::map<std::string, std::size_t> position;
                 for (std::size_t i = 0; i < merged.size(); ++i)
                 {
                     position[merged[i].detail] = i;
                 }
                 for (const auto& [first, second] : history.happened_before)
                 {
                     RC_ASSERT(position.at(first) < position.at(second));
                 }
             });
}

TEST_CASE("timeline: merging does not depend on source order and drops copies")
{
    rc::prop("any order and repetition of sources gives the same sequence",
             [](const std::vector<uint8_t>& steps)
             {
                 const message_history history(steps);
                 auto shuffled = history.sources;
                 std::reverse(shuffled.begin(), shuffled.end());
                 shuffled.push_back(history.sources[0]);
                 for (auto& source : shuffled)
                 {
                     std::reverse(source.begin(), source.end());
                 }
                 RC_ASSERT(details(merge_events(shuffled)) ==
                           details(merge_events(history.sources)));
             });
}

TEST_CASE("timeline: the table has a header and one line for each event")
{
    const auto table = to_table(
        merge_events({{make_event(1500, event_kind::start_sent, "e1", 3)},
                      {make_event(1000, event_kind::agent_lost, "e1")}}));
    CHECK(table.find("1970-01-01T00:00:00.001500Z  +0.500 ms    e1       "
                     "start_sent  a-1         3     t1") != std::string::npos);
    CHECK(std::count(table.begin(), table.end(), '\n') == 3);
    CHECK(to_table({}).find("TIME") == 0);
}

// Events 0 and 1 overlap on one target; event 1 has no report.
TEST_CASE("timeline: Chrome trace has spans, flows and instant events")
{
    const auto trace =
        to_chrome_trace({make_event(10, event_kind::start_sent, "e1", 0),
                         make_event(11, event_kind::start_sent, "e1", 1),
                         make_event(20, event_kind::run_began, "a1", 0),
                         make_event(21, event_kind::start_accepted, "a1", 1),
                         make_event(30, event_kind::run_ended, "a1", 0),
                         make_event(40, event_kind::report_received, "e1", 0)});
    std::map<std::string, int> phases;
    std::map<std::string, nlohmann::json> spans;
    for (const auto& e : trace.at("traceEvents"))
    {
        const auto phase = e.at("ph").get<std::string>();
        ++phases[phase];
        if (phase == "X")
        {
            spans[e.at("cat").get<std::string>() + " " +
                  e.at("name").get<std::string>()] = e;
        }
    }
    CHECK(phases["X"] == 3);
    CHECK(phases["i"] == 1);
    CHECK(phases["s"] == 2);
    CHECK(phases["f"] == 1);
    const auto& first = spans.at("start a-1/0");
    const auto& second = spans.at("start a-1/1");
    CHECK(first.at("ts") == 10);
    CHECK(first.at("dur") == 30);
    CHECK(second.at("args").at("unfinished") == true);
    CHECK(second.at("dur") == 29);
    CHECK(first.at("pid") == second.at("pid"));
    CHECK(first.at("tid") != second.at("tid"));
    CHECK(spans.at("run a-1/0").at("dur") == 10);
    CHECK(spans.at("run a-1/0").at("pid") != first.at("pid"));
}
