#pragma once

#include "target_model.hpp"
#include <agatebank/fleet/job_relay.hpp>
#include <agatebank/fleet/job_scheduler.hpp>
#include <agatebank/fleet/run_scheduler.hpp>
#include <agatebank/harness/refusal_record.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace agatebank
{

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr int entry_count = 2;
constexpr int agent_count = 3;
constexpr duration silence_timeout = 800ms;
constexpr duration max_stop_time = 50ms;
constexpr int64_t cpu = 4000;
/// Time after which a caller submits a job again that was answered as abandoned
/// or whose connection broke.
constexpr duration caller_retry_delay = 1300ms;

// Simulates two entries and three agents on one virtual clock, with lost links,
// unanswered and delayed calls, and failing runs. With relays, each entry
// relays half of its jobs to the other one, the link between the entries is
// lost too, callers disconnect, and submit what was not answered again, to any
// entry.
class cluster_simulation
{
  public:
    explicit cluster_simulation(uint64_t seed, bool relays = false)
        : random_(seed), with_relays_(relays)
    {
        for (int a = 0; a < agent_count; ++a)
        {
            agents_.push_back(std::make_unique<run_scheduler>(agent_hooks(a)));
            agents_[a]->set_capacity({cpu, 1000, 0}, now_);
            agents_[a]->set_accepting_orders(true, now_);
        }
        for (int e = 0; e < entry_count; ++e)
        {
            entries_.push_back(std::make_unique<job_scheduler>(
                job_scheduler_options{1100ms, 1, {}, {}}, entry_hooks(e)));
            relays_.push_back(std::make_unique<job_relay>(relay_hooks(e)));
            for (int a = 0; a < agent_count; ++a)
            {
                link(e, a);
            }
        }
    }

    void run(int jobs)
    {
        for (int i = 0; i < jobs; ++i)
        {
            at(random_ms(4000), [this, i] { submit(i, i % entry_count); });
        }
        for (int i = 0; i < 6; ++i)
        {
            at(random_ms(4000), [this] { close_random_link(); });
        }
        if (with_relays_)
        {
            // Repeats stops that were not answered, as the agent's timer does.
            for (int a = 0; a < agent_count; ++a)
            {
                tick_agent(a);
            }
            link_entries();
            at(random_ms(2000), [this] { close_entry_link(); });
            at(2s + random_ms(2000), [this] { close_entry_link(); });
        }
        while (!events_.empty() && now_ < start + (with_relays_ ? 16s : 12s))
        {
            const auto it = events_.begin();
            now_ = std::max(now_, it->first);
            const auto fn = std::move(it->second);
            events_.erase(it);
            fn();
        }
    }

    int overlaps = 0;
    int starts_over_capacity = 0;
    refusal_record refusals;
    int answers = 0;
    int relayed = 0;       ///< jobs
    int relays_lost = 0;   ///< relayed jobs whose link was lost
    int relay_cancels = 0; ///< received by the second entry

  private:
    using event_fn = std::function<void()>;

    void at(duration delay, event_fn fn)
    {
        events_.emplace(now_ + delay, std::move(fn));
    }

    duration random_ms(int most)
    {
        return std::chrono::milliseconds(random_() % most);
    }

    bool happens_with_percent(unsigned percent)
    {
        return random_() % 100 < percent;
    }

    // links

    // Number of the current connection of a link; 0 while it is down.
    int& connection_of(int e, int a)
    {
        return links_[{e, a}];
    }

    order_source source(int e, int connection) const
    {
        return order_source(
            static_cast<uint64_t>(connection * entry_count + e));
    }

    void link(int e, int a)
    {
        connection_of(e, a) = ++last_connection_;
        target_profile p;
        p.target = std::to_string(a);
        p.service = service_name("desk");
        p.capacity = {cpu, 1000, 0};
        entries_[e]->put_target(agent_incarnation(a), p, now_);
        target_load l;
        l.accepts_work = true;
        entries_[e]->set_load(agent_incarnation(a), l, now_);
    }

    // Closes a random link. Each side detects this independently, at the latest
    // after the silence timeout.
    void close_random_link()
    {
        const int e = static_cast<int>(random_() % entry_count);
        const int a = static_cast<int>(random_() % agent_count);
        if (now_ < last_entry_loss_ + caller_retry_delay)
        {
            // A second loss while the first one is not noticed yet is not part
            // of what the grace periods cover.
            return;
        }
        const int connection = std::exchange(connection_of(e, a), 0);
        if (connection == 0)
        {
            return;
        }
        last_agent_loss_ = now_;
        at(random_ms(800), [this, e, a, connection]
           { agents_[a]->on_source_lost(source(e, connection), now_); });
        const auto detected_after = random_ms(800);
        at(detected_after, [this, e, a]
           { entries_[e]->remove_target(agent_incarnation(a), now_); });
        at(silence_timeout + 300ms, [this, e, a] { link(e, a); });
    }

    // entries

    job_scheduler_hooks entry_hooks(int e)
    {
        job_scheduler_hooks h;
        h.send = [this, e](agent_incarnation agent, const run_batch& b)
        {
            const int a = static_cast<int>(agent.value());
            const int connection = connection_of(e, a);
            at(1ms + random_ms(3),
               [this, e, a, connection, b]
               {
                   if (connection != 0 && connection_of(e, a) == connection)
                   {
                       agents_[a]->on_batch(source(e, connection), b, now_);
                   }
               });
        };
        h.cancel =
            [this, e](agent_incarnation agent, const std::vector<order_id>& ids)
        {
            const int a = static_cast<int>(agent.value());
            const int connection = connection_of(e, a);
            at(4ms,
               [this, e, a, connection, ids]
               {
                   if (connection != 0 && connection_of(e, a) == connection)
                   {
                       agents_[a]->on_cancel(source(e, connection), ids, now_);
                   }
               });
        };
        h.finish = [this, e](job_key key, const job_outcome& o)
        {
            const auto it = callers_.find({e, key});
            if (it != callers_.end())
            {
                const auto done = std::move(it->second.done);
                callers_.erase(it);
                done(o);
            }
        };
        h.log = [](const log_record&) {
        };
        return h;
    }

    void submit(int i, int e)
    {
        job_submission a;
        a.id = "j" + std::to_string(i + 1);
        a.matched_route.service = service_name("desk");
        a.matched_route.max_attempts = 3;
        a.matched_route.stretch = 1.6;
        step_plan s;
        s.tasks = 1 + random_() % 4;
        s.task_resources = {1000, 10, 0};
        s.declared_run_time = 20ms + random_ms(400);
        a.plan.steps = {s};
        a.deadline = 500ms + random_ms(4000);
        submit_again(e, a, false);
        at(40ms, [this, e] { tick_entry(e); });
    }

    // A caller submits a job, for the first time or again.
    void submit_again(int e, const job_submission& a, bool again)
    {
        refusals.submit(a.id);
        const auto number = ++last_number_;
        const auto answered = std::make_shared<bool>(false);
        job_answer done = [this, a, again, answered](const job_outcome& o)
        {
            *answered = true;
            if (o.result == job_result::not_run)
            {
                refusals.refuse(a.id);
            }
            if (with_relays_ && o.result == job_result::abandoned && !again)
            {
                retry(a);
                return;
            }
            ++answers;
        };
        if (with_relays_ && !again && happens_with_percent(15))
        {
            at(random_ms(400),
               [this, e, number, a, answered]
               {
                   if (!std::exchange(*answered, true))
                   {
                       if (!relays_[e]->abandon(number))
                       {
                           cancel(e, number);
                       }
                       retry(a);
                   }
               });
        }
        if (relays_[e]->attach(a.id, number, done))
        {
            return;
        }
        if (with_relays_ && peers_[e].value() != 0 &&
            !entries_[e]->find(a.id) && happens_with_percent(50))
        {
            ++relayed;
            relays_[e]->relay(peers_[e], number, a, std::move(done), now_);
            return;
        }
        serve(e, number, a, std::move(done));
    }

    void retry(const job_submission& a)
    {
        at(caller_retry_delay,
           [this, a] {
               submit_again(static_cast<int>(random_() % entry_count), a, true);
           });
    }

    void serve(int e, uint64_t number, job_submission a, job_answer done)
    {
        if (const auto running = entries_[e]->find(a.id))
        {
            auto& caller = callers_[{e, *running}];
            const auto earlier =
                std::exchange(caller, waiting_caller{number, std::move(done)});
            if (job_relay::is_relay_request(earlier.number))
            {
                earlier.done({job_result::abandoned, {}});
            }
            return;
        }
        const job_key key(++last_key_);
        callers_[{e, key}] = {number, std::move(done)};
        entries_[e]->admit(key, std::move(a), now_);
    }

    void cancel(int e, uint64_t number)
    {
        const auto it = std::find_if(callers_.begin(), callers_.end(),
                                     [e, number](const auto& c) {
                                         return c.first.first == e &&
                                                c.second.number == number;
                                     });
        if (it != callers_.end())
        {
            const auto key = it->first.second;
            callers_.erase(it);
            entries_[e]->cancel(key, "cancelled", now_);
        }
    }

    // relays

    template <class Message>
    void send_to_peer(int e, const Message& m)
    {
        const auto connection = peer_connection_;
        if (peers_[e] != connection)
        {
            return; // lost, which this end has not noticed
        }
        // A link keeps the order of its messages.
        auto& delivery = last_delivery_[e];
        delivery = std::max(delivery, now_ + 1ms + random_ms(3));
        at(delivery - now_,
           [this, e, connection, m]
           {
               if (peer_connection_ == connection)
               {
                   receive(1 - e, connection, m);
               }
           });
    }

    void receive(int e, relay_peer_id from, const relayed_job& m)
    {
        relays_[e]->on_job(from, m);
    }

    void receive(int e, relay_peer_id from, const relayed_outcome& m)
    {
        relays_[e]->on_outcome(from, m, now_);
    }

    void receive(int e, relay_peer_id from, const relay_cancel& m)
    {
        ++relay_cancels;
        relays_[e]->on_cancel(from, m);
    }

    job_relay_hooks relay_hooks(int e)
    {
        job_relay_hooks h;
        const auto send = [this, e](relay_peer_id, const auto& m)
        {
            send_to_peer(e, m);
        };
        h.send_job = send;
        h.send_outcome = send;
        h.send_cancel = send;
        h.may_serve = [this]
        {
            return happens_with_percent(90);
        };
        h.serve = [this, e](uint64_t number, job_submission a, job_answer done)
        {
            serve(e, number, std::move(a), std::move(done));
        };
        h.abandon = [this, e](uint64_t number, const char*)
        {
            cancel(e, number);
        };
        h.log = [](const log_record&) {
        };
        return h;
    }

    void link_entries()
    {
        peer_connection_ = relay_peer_id(++last_connection_);
        peers_[0] = peers_[1] = peer_connection_;
    }

    // Each end detects the loss independently, at the latest after the silence
    // timeout.
    void close_entry_link()
    {
        if (now_ < last_agent_loss_ + caller_retry_delay)
        {
            at(300ms, [this] { close_entry_link(); });
            return;
        }
        last_entry_loss_ = now_;
        const auto lost = std::exchange(peer_connection_, relay_peer_id(0));
        for (int e = 0; e < entry_count; ++e)
        {
            at(random_ms(800),
               [this, e, lost]
               {
                   peers_[e] = relay_peer_id(0);
                   const auto before = relays_[e]->counts().lost;
                   relays_[e]->on_peer_lost(lost);
                   relays_lost +=
                       static_cast<int>(relays_[e]->counts().lost - before);
               });
        }
        at(silence_timeout + 300ms, [this] { link_entries(); });
    }

    void tick_entry(int e)
    {
        entries_[e]->tick(now_);
        relays_[e]->tick(now_);
        at(40ms, [this, e] { tick_entry(e); });
    }

    // agents and targets

    void tick_agent(int a)
    {
        agents_[a]->tick(now_);
        list(a);
        at(40ms, [this, a] { tick_agent(a); });
    }

    run_scheduler_hooks agent_hooks(int a)
    {
        run_scheduler_hooks h;
        h.start = [this, a](const run_id& n, const std::string&)
        {
            start_run(a, n);
        };
        h.stop = [this, a](const run_id& n)
        {
            const bool lost = happens_with_percent(15);
            at(random_ms(3),
               [this, a, n, lost]
               {
                   if (!lost)
                   {
                       stop_run(a, n);
                   }
                   agents_[a]->on_stop_answer(n, !lost, now_);
                   at(10ms, [this, a] { list(a); });
               });
        };
        h.report_loss = [](const std::vector<lost_run>&) {
        };
        h.report = [this](order_source s, const order_result& end)
        {
            const int connection = static_cast<int>(s.value()) / entry_count;
            const int e = static_cast<int>(s.value()) % entry_count;
            for (int at_agent = 0; at_agent < agent_count; ++at_agent)
            {
                if (connection_of(e, at_agent) == connection)
                {
                    at(1ms,
                       [this, e, at_agent, connection, end]
                       {
                           if (connection_of(e, at_agent) == connection)
                           {
                               entries_[e]->on_end(agent_incarnation(at_agent),
                                                   end, now_);
                           }
                       });
                }
            }
        };
        h.log = [](const log_record&) {
        };
        return h;
    }

    void start_run(int a, const run_id& n)
    {
        const bool late = happens_with_percent(5);
        const bool unanswered = late || happens_with_percent(5);
        at(late ? 100ms + random_ms(300) : random_ms(3),
           [this, a, n, late]
           {
               const auto answer = carry_out_start(a, n);
               if (!late)
               {
                   agents_[a]->on_start_answer(n, answer, now_);
               }
           });
        if (unanswered)
        {
            at(60ms,
               [this, a, n] {
                   agents_[a]->on_start_answer(n, start_answer::unknown, now_);
               });
        }
        at(30ms, [this, a] { list(a); });
    }

    start_answer carry_out_start(int a, const run_id& n)
    {
        auto& t = targets_[a];
        if (t.running.count(n.task) != 0 || t.fenced_runs[n.task] >= n.run)
        {
            return start_answer::superseded;
        }
        if (static_cast<int64_t>(t.running.size() + 1) * 1000 > cpu)
        {
            ++starts_over_capacity;
            return start_answer::no_capacity;
        }
        for (const auto& [other, model] : targets_)
        {
            overlaps += model.running.count(n.task) != 0 ? 1 : 0;
        }
        t.running[n.task] = n.run;
        refusals.start(n.task.substr(0, n.task.find('.')));
        const auto status = happens_with_percent(10) ? ended_run_status::failed
                                                     : ended_run_status::done;
        // With relays, runs last longer than a caller waits before it submits
        // its job again.
        at(20ms + random_ms(with_relays_ ? 2500 : 500),
           [this, a, n, status] { end_run(a, n, status); });
        return start_answer::accepted;
    }

    void stop_run(int a, const run_id& n)
    {
        auto& fence = targets_[a].fenced_runs[n.task];
        fence = std::max(fence, n.run);
        at(random_ms(static_cast<int>(max_stop_time / 1ms)),
           [this, a, n] { end_run(a, n, ended_run_status::stopped); });
    }

    void end_run(int a, const run_id& n, ended_run_status status)
    {
        auto& t = targets_[a];
        const auto it = t.running.find(n.task);
        if (it == t.running.end() || it->second != n.run)
        {
            return;
        }
        t.running.erase(it);
        auto& fence = t.fenced_runs[n.task];
        fence = std::max(fence, n.run);
        t.ended.push_back({end_position(++t.last_end), n, status});
        list(a);
    }

    void list(int a)
    {
        lease_answer answer;
        answer.ended = std::exchange(targets_[a].ended, {});
        for (const auto& [task, run] : targets_[a].running)
        {
            answer.running.push_back({{task, run}, 50});
        }
        agents_[a]->on_listing(answer, now_, now_);
    }

    time_point now_ = start;
    std::mt19937_64 random_;
    std::multimap<time_point, event_fn> events_;
    std::map<std::pair<int, int>, int> links_;
    int last_connection_ = 0;
    std::map<int, target_model> targets_;
    std::vector<std::unique_ptr<run_scheduler>> agents_;
    std::vector<std::unique_ptr<job_scheduler>> entries_;

    struct waiting_caller
    {
        uint64_t number = 0;
        job_answer done;
    };

    bool with_relays_;
    std::vector<std::unique_ptr<job_relay>> relays_;
    std::map<std::pair<int, job_key>, waiting_caller> callers_;
    relay_peer_id peer_connection_;    ///< 0 while the link is down
    relay_peer_id peers_[entry_count]; ///< as each end knows it
    time_point last_delivery_[entry_count];
    time_point last_entry_loss_;
    time_point last_agent_loss_;
    uint64_t last_number_ = 0;
    uint64_t last_key_ = 0;
};

} // namespace agatebank
