#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <sstream>

using namespace agatebank;
using namespace std::chrono_literals;

// What other writers send to an agent or an entry must cost only itself: the
// process keeps running, follows its target, and jobs succeed.

namespace
{

using nlohmann::json;

constexpr duration writing_time = 1500ms;
constexpr duration small_body_period = 10ms;
constexpr duration large_body_period = 100ms;
constexpr std::size_t large_body = 100'000;
constexpr std::size_t megabyte = 1'000'000;
/// Log lines about refused announcements, of a hundred or more.
constexpr std::size_t max_refusal_lines = 4;
/// Calls without an answer, of which a writer keeps the latest.
constexpr std::size_t max_calls = 40;

// Sends a request over and over, from its construction on.
class repeated_writer
{
  public:
    repeated_writer(event_loop& loop, const endpoint& to, std::string path,
                    std::string body)
        : client_(loop)
    {
        call_.method = "POST";
        call_.url = "http://" + to.to_string() + path;
        call_.headers = {{"Host", "desk.example"}};
        call_.body = std::move(body);
        call_.timeout = 1s;
        send();
        timer_ = loop.every(call_.body.size() < large_body ? small_body_period
                                                           : large_body_period,
                            [this] { send(); });
    }

  private:
    void send()
    {
        calls_.push_back(client_.send(call_, [](const auto&) {}));
        if (calls_.size() > max_calls)
        {
            calls_.pop_front();
        }
    }

    http_client client_;
    http_call call_;
    std::deque<http_call_handle> calls_;
    watch timer_;
};

std::size_t count_lines(const std::string& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// A list of many empty objects.
std::string wide_array(std::size_t bytes)
{
    std::string out = "[";
    while (out.size() < bytes)
    {
        out += "{},";
    }
    return out + "{}]";
}

// The announcement of the cluster's first target, as its stand-in sends it.
json announcement(const node_cluster& c)
{
    return {{"service", "desk"},
            {"address", c.targets[0]->address()},
            {"zone", "z1"},
            {"state", "ready"},
            {"capacity", {{"cpu", 16000}, {"memMb", 65536}, {"gpus", 0}}},
            {"labels", {"a", "r1"}},
            {"born", 1000},
            {"sequence", 1}};
}

int64_t unix_ms()
{
    return g_get_real_time() / 1000;
}

struct odd_row
{
    const char* name;
    std::function<std::string(const node_cluster&)> body;
    const char* path = "/v1/instances/i-0/heartbeat";
    bool refused = true; ///< with a log line
    /// incarnations that the agent may follow; the last is the target's own
    std::size_t max_incarnations = 1;
};

odd_row changed(const char* name, std::function<void(json&)> change,
                const char* path = "/v1/instances/i-0/heartbeat")
{
    return {name,
            [change](const node_cluster& c)
            {
                auto body = announcement(c);
                change(body);
                return body.dump();
            },
            path};
}

// An announcement with a field that is written as text, since the value cannot
// be held by a number type.
odd_row with_number(const char* name, const char* field, const char* number)
{
    return {name, [field, number](const node_cluster& c)
            {
                auto body = announcement(c);
                body[field] = "NUMBER";
                auto text = body.dump();
                text.replace(text.find("\"NUMBER\""), 8, number);
                return text;
            }};
}

odd_row allowed(odd_row row)
{
    row.refused = false;
    return row;
}

odd_row fixed(const char* name, std::string body,
              const char* path = "/v1/instances/i-0/heartbeat",
              bool refused = true)
{
    return {name, [body](const node_cluster&) { return body; }, path, refused};
}

// Runs a cluster of one entry and one agent while a writer sends the row's body
// to the agent, from before the target's first announcement.
void check_row(const odd_row& row)
{
    INFO(row.name);
    cluster_plan plan;
    plan.entries = 1;
    plan.agents = 1;
    node_cluster c(plan);
    repeated_writer writer(c.loop, c.announcements(0), row.path, row.body(c));
    CHECK(c.wait_ready());
    const auto end = c.loop.now() + writing_time;
    char job = 'a';
    while (c.loop.now() < end)
    {
        const auto j = c.submit(0, std::string("000000000000000") + job, 4);
        CHECK(c.wait_ended(j));
        CHECK(c.job(j).status == 200);
        if (c.job(j).status != 200)
        {
            break;
        }
        job = job == 'f' ? 'a' : static_cast<char>(job + 1);
        run_for(c.loop, 100ms);
    }
    CHECK(c.agent(0).running());
    CHECK(c.ledger.overlaps == 0);
    c.targets[0]->set_draining();
    // Its next announcement but one, whatever the writer's says.
    CHECK(run_until(
        c.loop, 1s,
        [&c]
        { return c.agent_logged(0, "target announced that it is draining"); }));
    const auto refusals = [&c]
    {
        return count_lines(c.agent_log(0, "announcement was refused"));
    };
    CHECK(run_until(c.loop, 1s,
                    [&] { return refusals() >= (row.refused ? 1 : 0); }));
    CHECK(refusals() <= max_refusal_lines);
    CHECK(count_lines(c.agent_log(0, "target announced incarnation")) <=
          row.max_incarnations);
}

} // namespace

// Guards against an agent that is busy for minutes with one body, or ends.
TEST_CASE("odd announcements: bodies that are deep, wide or unreadable")
{
    const odd_row rows[] = {
        fixed("a megabyte of [", std::string(megabyte, '[')),
        fixed("a megabyte of nested arrays", nested_arrays(megabyte / 2)),
        fixed("nested arrays in a field",
              R"({"service":)" + nested_arrays(megabyte / 2) + "}"),
        fixed("a megabyte of empty objects", wide_array(megabyte)),
        fixed("no text", "\xff\xfe\x01"),
        fixed("empty", ""),
        fixed("a deregistration of another worker, with a deep body",
              nested_arrays(megabyte / 2), "/v1/instances/i-9/deregister",
              false)};
    for (const auto& it : rows)
    {
        check_row(it);
    }
}

// Guards against an agent that follows another worker's announcement, and from
// then on ignores those of its own target as older ones.
TEST_CASE("odd announcements: of an address that is not the agent's target")
{
    const auto at = [](const char* name, const json& address,
                       const char* path = "/v1/instances/i-0/heartbeat")
    {
        return changed(
            name,
            [address](json& body)
            {
                body["address"] = address;
                body["born"] = unix_ms();
            },
            path);
    };
    const odd_row rows[] = {
        at("another worker", "10.0.0.9:8080", "/v1/instances/i-9/heartbeat"),
        at("a port out of range", "127.0.2.1:70000"),
        at("a port far out of range", "127.0.2.1:99999999999999999999"),
        at("a port of 0", "127.0.2.1:0"),
        at("no port", "127.0.2.1"),
        at("a number", 7),
        at("null", nullptr)};
    for (const auto& it : rows)
    {
        check_row(it);
    }
}

// Guards against an agent to which the announcements of its target look old
// for ever, since another writer named a very late start or sequence number. A
// number within its type may be the target's own, so it is not refused, but
// must cost nothing either.
TEST_CASE("odd announcements: numbers that are too large")
{
    const odd_row rows[] = {
        with_number("born: largest signed", "born", "9223372036854775807"),
        with_number("born: largest unsigned", "born", "18446744073709551615"),
        with_number("born: beyond all types", "born", "1e400"),
        with_number("born: a real number", "born", "9.2e18"),
        changed("born: a day ahead",
                [](json& body) { body["born"] = unix_ms() + 86'400'000; }),
        with_number("sequence: largest unsigned", "sequence",
                    "18446744073709551615"),
        with_number("sequence: beyond all types", "sequence", "1e400"),
        allowed(with_number("sequence: largest signed", "sequence",
                            "9223372036854775807")),
        allowed(changed("sequence: far ahead",
                        [](json& body) { body["sequence"] = 1'000'000'000; }))};
    for (const auto& it : rows)
    {
        check_row(it);
    }
}

// Guards against capacities that overflow the sums of the entries, and against
// texts that no entry accepts on its link.
TEST_CASE("odd announcements: amounts and texts out of their range")
{
    const auto late = [](const char* name, std::function<void(json&)> change)
    {
        return changed(name,
                       [change](json& body)
                       {
                           body["sequence"] = 900;
                           change(body);
                       });
    };
    const odd_row rows[] = {
        late("cpu", [](json& b) { b["capacity"]["cpu"] = INT64_MAX; }),
        late("memMb", [](json& b) { b["capacity"]["memMb"] = INT64_MAX; }),
        late("gpus", [](json& b) { b["capacity"]["gpus"] = INT64_MAX; }),
        late("a long service",
             [](json& b) { b["service"] = std::string(megabyte, 's'); }),
        late("a long failure domain",
             [](json& b) { b["zone"] = std::string(megabyte, 'z'); }),
        late("many labels", [](json& b)
             { b["labels"] = std::vector<std::string>(100'000, "l"); }),
        late("no service", [](json& b) { b.erase("service"); }),
        late("a state that is not named", [](json& b) { b["state"] = "odd"; })};
    for (const auto& it : rows)
    {
        check_row(it);
    }
}

// Guards against an agent that goes from its target to an incarnation that only
// another writer announced, or never comes back from it.
TEST_CASE("odd announcements: of a later incarnation at the target's address")
{
    const auto late = [](const char* name, const char* path,
                         const std::function<void(json&)>& change)
    {
        auto row = changed(
            name,
            [change](json& body)
            {
                body["born"] = unix_ms();
                change(body);
            },
            path);
        // The writer's comes first, as the agent starts.
        row.max_incarnations = 2;
        return row;
    };
    const auto own = "/v1/instances/i-0/heartbeat";
    const auto other = "/v1/instances/i-9/heartbeat";
    odd_row rows[] = {
        late("the same id", own, [](json&) {}),
        late("the same id, draining", own,
             [](json& b) { b["state"] = "draining"; }),
        late("another id", other, [](json&) {}),
        late("another id, born earlier", other, [](json& b) { b["born"] = 1; }),
        late("another id, born with the target", other,
             [](json& b) { b["born"] = 1000; })};
    // Taken for one that was delayed, which is not logged.
    rows[3].refused = false;
    for (const auto& it : rows)
    {
        check_row(it);
    }
}

// Guards against an entry that is busy for minutes with the body of one job.
TEST_CASE("odd announcements: jobs with deep or wide bodies")
{
    struct row
    {
        const char* name;
        std::string body;
    };
    const row rows[] = {
        {"a megabyte of [", std::string(megabyte, '[')},
        {"a megabyte of nested arrays", nested_arrays(megabyte / 2)},
        {"a megabyte of empty objects", wide_array(megabyte)},
        {"a megabyte of empty steps",
         R"({"bestEffort":true,"steps":)" + wide_array(megabyte) + "}"}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        cluster_plan plan;
        plan.entries = 1;
        plan.agents = 1;
        node_cluster c(plan);
        REQUIRE(c.wait_ready());
        repeated_writer writer(c.loop, c.callers(0), "/q/0000000000000001",
                               it.body);
        run_for(c.loop, 200ms);
        const auto j = c.submit(0, "000000000000000a", 4);
        CHECK(c.wait_ended(j));
        CHECK(c.job(j).status == 200);
        CHECK(c.entry(0).running());
    }
}
