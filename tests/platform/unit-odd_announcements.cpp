#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <deque>

using namespace agatebank;
using namespace std::chrono_literals;

// What other writers send to an agent or an entry must cost only itself: the
// process keeps running, follows its target, and jobs succeed.

namespace
{

constexpr duration small_body_period = 10ms;
constexpr duration large_body_period = 100ms;
constexpr std::size_t large_body = 100'000;
constexpr std::size_t megabyte = 1'000'000;
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

} // namespace

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
