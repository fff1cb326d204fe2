#pragma once

#include <agatebank/agent/agent_process.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Test double of an entry: accepts an agent's connections and records
/// the messages that it receives.
class fake_entry
{
  public:
    fake_entry(event_loop& loop, hybrid_clock& clock, const authenticator& auth,
               uint64_t number)
        : context_{loop,
                   clock,
                   auth,
                   {},
                   []
                   {
                       return config_version(1);
                   }}
        , listener_([this](object_ptr<GSocketConnection> c)
                    { accept(std::move(c)); })
        , incarnation(number)
    {
    }

    void listen(uint16_t port = 0)
    {
        const auto bound = listener_.listen({"127.0.0.1", port});
        REQUIRE(bound);
        address = {"127.0.0.1", *bound};
    }

    void close()
    {
        listener_.close();
        link.reset();
    }

    void accept(object_ptr<GSocketConnection> c)
    {
        ++connections;
        if (unresponsive)
        {
            unanswered.push_back(std::move(c));
            return;
        }
        link_handlers handlers;
        handlers.on_message = [this](message&& m)
        {
            on_message(m);
        };
        handlers.on_heartbeat = [this](const heartbeat& b)
        {
            version = b.version;
        };
        handlers.on_closed = [this](const failure&)
        {
            link.reset();
        };
        link = std::make_unique<tcp_link>(context_, std::move(c), handlers);
    }

    void on_message(const message& m)
    {
        if (const auto* hello = std::get_if<agent_hello>(&m))
        {
            agent = agent_incarnation(hello->self.incarnation);
            target = hello->target;
            if (sends_hello)
            {
                send_hello();
            }
        }
        else if (const auto* report = std::get_if<target_report>(&m))
        {
            target = *report;
        }
        else if (const auto* grant = std::get_if<slot_grant>(&m))
        {
            credits = grant->credits;
            grant_version = grant->version;
            if (confirms_grants)
            {
                confirm_grant();
            }
        }
        else if (const auto* batch = std::get_if<start_reports>(&m))
        {
            reports.insert(reports.end(), batch->reports.begin(),
                           batch->reports.end());
        }
        else if (const auto* reply = std::get_if<gather_reply>(&m))
        {
            gathered.push_back(*reply);
        }
        else if (const auto* events_reply = std::get_if<event_reply>(&m))
        {
            events = events_reply->events;
        }
    }

    void send_hello()
    {
        entry_hello reply;
        reply.self.incarnation = incarnation;
        reply.self.name = "entry";
        link->send(reply);
        link->send(configuration);
    }

    start_order order(uint64_t sequence, uint64_t job = 1) const
    {
        start_order o;
        o.sequence = start_sequence(sequence);
        o.agent = agent;
        o.submission = {entry_incarnation(incarnation),
                        submission_sequence(job), std::chrono::seconds(600)};
        o.task = task_index(static_cast<uint32_t>(sequence));
        o.job_tasks = 1;
        o.service = service_name("pall-booking");
        o.payload = "p" + std::to_string(sequence);
        return o;
    }

    void confirm_grant()
    {
        link->send(demand_update{0, 0, 0, grant_version});
    }

    void send_orders(const std::vector<start_order>& orders)
    {
        link->send(start_orders{orders});
    }

    const start_report* report_of(uint64_t sequence) const
    {
        for (const auto& it : reports)
        {
            if (it.sequence == start_sequence(sequence))
            {
                return &it;
            }
        }
        return nullptr;
    }

  private:
    link_context context_;
    tcp_listener listener_;

  public:
    uint64_t incarnation;
    endpoint address;
    std::unique_ptr<tcp_link> link;
    agent_configuration configuration{config_version(1),
                                      true,
                                      target_state::active,
                                      {service_name("pall-booking")},
                                      8,
                                      0};
    agent_incarnation agent;
    target_report target;
    config_version version;
    uint32_t credits = 0;
    uint64_t grant_version = 0;
    bool confirms_grants = true;
    bool sends_hello = true;   ///< replies to agent_hello at once
    bool unresponsive = false; ///< accepts connections, sends nothing
    std::vector<object_ptr<GSocketConnection>> unanswered;
    unsigned connections = 0;
    std::vector<start_report> reports;
    std::vector<gather_reply> gathered;
    std::vector<event> events;
};

/// @brief Test double of a target: records every task request that it
/// receives.
class fake_target
{
  public:
    explicit fake_target(event_loop& loop) : server_(loop, {})
    {
        server_.route("POST", "/v1/tasks",
                      [this](const http_request& rq, http_responder respond)
                      { on_task(rq, std::move(respond)); });
        port = *server_.listen();
    }

    void on_task(const http_request& rq, http_responder respond)
    {
        requests.push_back(rq.header("agatebank-submission") + "/" +
                           rq.header("agatebank-task"));
        max_concurrent = std::max(max_concurrent, ++concurrent);
        if (hold)
        {
            held.push_back([this, rq, respond] { reply(rq, respond); });
            return;
        }
        reply(rq, respond);
    }

    void reply(const http_request& rq, const http_responder& respond)
    {
        --concurrent;
        respond(http_response{status, "text/plain", "echo " + rq.body, {}});
    }

    void release()
    {
        for (const auto& fn : std::exchange(held, {}))
        {
            fn();
        }
    }

  private:
    http_server server_;

  public:
    uint16_t port = 0;
    bool hold = false;
    unsigned status = 200;
    unsigned concurrent = 0;
    unsigned max_concurrent = 0;
    std::vector<std::string> requests;
    std::vector<std::function<void()>> held;
};

/// @brief An agent connected on loopback to fake entries and a fake target.
struct agent_fixture
{
    event_loop loop;
    hybrid_clock clock{[]
                       {
                           return uint64_t{1};
                       }};
    authenticator auth{""};
    event_ring events{clock, "agent", 1000};
    std::vector<std::unique_ptr<fake_entry>> entries;
    fake_target target{loop};
    agent_settings settings;
    std::unique_ptr<agent_process> agent;
    http_client client{loop};
    std::vector<http_call_handle> calls;
    unsigned last_status = 0;
    std::size_t expected_entries; ///< entries that start() waits for

    explicit agent_fixture(std::size_t n_entries = 1)
        : expected_entries(n_entries)
    {
        settings.name = "agent-1";
        settings.target = target_name("t-1");
        settings.http = {"127.0.0.1", 0};
        for (std::size_t i = 0; i < n_entries; ++i)
        {
            entries.push_back(
                std::make_unique<fake_entry>(loop, clock, auth, 100 + i));
            entries.back()->listen();
            settings.entries.push_back(entries.back()->address);
        }
    }

    fake_entry& entry(std::size_t i = 0)
    {
        return *entries[i];
    }

    // Starts the agent and waits until as many entries as `expected_entries`
    // have received a report that the target accepts work.
    void start(unsigned slots = 2)
    {
        agent = std::make_unique<agent_process>(
            loop, clock, auth, events, [](const log_record&) {}, settings,
            [this] { return ++random_; });
        REQUIRE(agent->start());
        announce(slots);
        REQUIRE(wait_until(
            [this]
            {
                const auto n = std::count_if(
                    entries.begin(), entries.end(),
                    [](const auto& it) { return it->target.accepts_work; });
                return static_cast<std::size_t>(n) == expected_entries;
            }));
    }

    void announce(unsigned slots)
    {
        announce_text(R"({"services":["pall-booking"],"slots":)" +
                      std::to_string(slots) + R"(,"url":"http://127.0.0.1:)" +
                      std::to_string(target.port) + "\"}");
    }

    void announce_text(const std::string& text)
    {
        call("POST", text);
    }

    void call(const std::string& method, const std::string& body)
    {
        http_call c;
        c.method = method;
        c.url = "http://127.0.0.1:" + std::to_string(agent->http_port()) +
                "/v1/announcement";
        c.body = body;
        calls.push_back(client.send(c, [this](const auto& r)
                                    { last_status = r ? r->status : 0; }));
    }

    // Runs the loop until the condition holds or 20 s have passed.
    bool wait_until(const std::function<bool()>& condition)
    {
        bool met = false;
        const auto limit =
            loop.after(std::chrono::seconds(20), [this] { loop.quit(); });
        const auto check = loop.every(std::chrono::milliseconds(2),
                                      [&]
                                      {
                                          met = condition();
                                          if (met)
                                          {
                                              loop.quit();
                                          }
                                      });
        loop.run();
        return met;
    }

    void run_for(duration time)
    {
        const auto limit = loop.after(time, [this] { loop.quit(); });
        loop.run();
    }

  private:
    uint64_t random_ = 1000;
};

} // namespace agatebank
