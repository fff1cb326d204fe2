#pragma once

#include "late_input_options.hpp"
#include "late_input_trace.hpp"
#include "leased_target.hpp"
#include "run_ledger.hpp"
#include "simulated_agent.hpp"
#include "simulated_callers.hpp"
#include "simulated_network.hpp"
#include "simulated_relay.hpp"
#include <agatebank/fleet/job_relay.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Simulates two entries and three agents with their targets, callers
/// that leave and submit their jobs again to any entry, requests, messages and
/// timers that are handled late, and calls to the targets that fail.
class late_input_simulation
{
  public:
    late_input_simulation(uint64_t seed, late_input_options options)
        : options_(options)
        , trace_(options.trace, start_time)
        , random_(seed)
        , events_(start_time)
        , network_(events_, random_, options.link, start_time + faults_end)
        , callers_(events_, random_, trace_, options.longest_request_wait,
                   caller_hooks())
    {
        for (std::size_t e = 0; e < entry_count; ++e)
        {
            add_entry(e);
        }
        for (std::size_t a = 0; a < agent_count; ++a)
        {
            add_agent(a);
        }
        for (std::size_t a = 0; a < agent_count; ++a)
        {
            for (std::size_t e = 0; e < entry_count; ++e)
            {
                network_.dial(entry_count + a, e);
            }
        }
        if (options_.relays)
        {
            network_.dial(0, 1);
        }
    }

    void run(std::size_t jobs)
    {
        callers_.begin(jobs);
        for (std::size_t i = 0; i < processes_.size(); ++i)
        {
            plan_pauses(i);
        }
        for (std::size_t a = 0; a < agent_count && options_.longest_cut > ms(0);
             ++a)
        {
            plan_cuts(a);
        }
        do
        {
            events_.run(events_.now() + ms(1000));
            unanswered = callers_.unanswered();
        } while (unanswered != 0 &&
                 events_.now() < start_time + simulated_time);
    }

    std::ptrdiff_t unanswered = 0;
    int dropped_left = 0; ///< requests read after their caller had left
    int relayed = 0;

    const simulated_network& network() const noexcept
    {
        return network_;
    }

    const simulated_callers& callers() const noexcept
    {
        return callers_;
    }

    const run_ledger& runs() const noexcept
    {
        return runs_;
    }

    const late_input_trace& trace() const noexcept
    {
        return trace_;
    }

  private:
    using ms = std::chrono::milliseconds;

    static constexpr time_point start_time{std::chrono::hours(1)};
    static constexpr std::size_t entry_count = late_input_trace::entry_count;
    static constexpr std::size_t agent_count = 3;
    static constexpr duration faults_end = ms(18000);
    static constexpr duration simulated_time = ms(60000);
    static constexpr duration entry_timer_period = ms(40);
    static constexpr duration max_pause = ms(800);

    struct waiting_caller
    {
        uint64_t number = 0;
        job_answer done;
    };

    struct entry_state
    {
        std::unique_ptr<job_scheduler> scheduler;
        std::unique_ptr<job_relay> relay;
        std::map<std::size_t, simulated_link> agents;
        simulated_link peer = 0; ///< 0: not connected
        std::map<job_key, waiting_caller> callers;
        time_point last_timer;
    };

    void note(const std::string& job, const std::string& text)
    {
        trace_.add(events_.now(), job, text);
    }

    void note(std::size_t node, const std::string& text)
    {
        trace_.add(events_.now(), node, text);
    }

    simulated_process& add_process()
    {
        processes_.push_back(
            std::make_unique<simulated_process>(events_, random_));
        return *processes_.back();
    }

    // pauses

    // A process is paused once, or again and again, so that it is slow.
    void plan_pauses(std::size_t node)
    {
        duration at{};
        while (at < faults_end)
        {
            at += random_.between(ms(500), ms(8000));
            const auto n = random_.percent(30) ? 2 + random_.below(6) : 1;
            for (uint64_t i = 0; i < n && at < faults_end; ++i)
            {
                const auto length =
                    random_.between(ms(20), options_.longest_pause + ms(1));
                events_.at(at,
                           [this, node, length]
                           {
                               if (processes_[node]->paused())
                               {
                                   return;
                               }
                               note(node,
                                    "is paused for " + to_ms_text(length));
                               processes_[node]->pause(length);
                           });
                at += length + random_.between(ms(1), ms(40));
            }
        }
    }

    // Most cuts are shorter than a lease, so that runs are left at their end.
    void plan_cuts(std::size_t a)
    {
        duration at{};
        while (at < faults_end)
        {
            at += random_.between(ms(500), ms(4000));
            const auto length =
                random_.between(ms(20), options_.longest_cut + ms(1));
            events_.at(at,
                       [this, a, length]
                       {
                           note(entry_count + a, "is cut off from its target "
                                                 "for " +
                                                     to_ms_text(length));
                           agents_[a]->cut_off(length);
                       });
            at += length;
        }
    }

    // Faults that coincide with a decision show more than others.
    void disturb(std::size_t node)
    {
        if (events_.now() > start_time + faults_end ||
            processes_[node]->paused() ||
            !random_.percent(options_.coincidence_percent))
        {
            return;
        }
        const auto length = std::max<duration>(
            options_.longest_pause - random_.between(ms(0), ms(300)), ms(1));
        note(node, "is paused for " + to_ms_text(length));
        processes_[node]->pause(length);
    }

    // callers

    simulated_caller_hooks caller_hooks()
    {
        return {[this](uint64_t number, std::size_t e, duration wait) {
                    processes_[e]->receive_after(wait, [this, number]
                                                 { read(number); });
                },
                [this](uint64_t number)
                {
                    const auto& rq = callers_.request(number);
                    disturb(rq.entry);
                    if (rq.read)
                    {
                        notice_end(number, duration(0));
                    }
                }};
    }

    void notice_end(uint64_t number, duration next_turn)
    {
        const auto e = callers_.request(number).entry;
        processes_[e]->receive_after(
            options_.notice_leaving ? next_turn : duration(ms(1000)),
            [this, e, number] { abandon(e, number); });
    }

    // entries

    void add_entry(std::size_t e)
    {
        auto& p = add_process();
        network_.add(p, {[this, e](simulated_link l, std::size_t peer)
                         {
                             if (peer < entry_count)
                             {
                                 entries_[e].peer = l;
                             }
                         },
                         [this, e](simulated_link l, std::size_t peer)
                         {
                             on_closed(e, l, peer);
                         }});
        auto& state = entries_.emplace_back();
        job_scheduler_options scheduling;
        scheduling.lost_agent_grace = options_.lost_agent_grace;
        scheduling.wait_for_earlier_runs = options_.wait_for_earlier_runs;
        state.scheduler =
            std::make_unique<job_scheduler>(scheduling, entry_hooks(e));
        state.relay = std::make_unique<job_relay>(
            to_relay_hooks(events_, network_, e, relay_owner(e)));
        state.last_timer = events_.now();
        p.every(entry_timer_period, [this, e] { tick_entry(e); });
    }

    job_scheduler_hooks entry_hooks(std::size_t e)
    {
        job_scheduler_hooks h;
        h.send = [this, e](agent_incarnation agent, const run_batch& b)
        {
            const auto a = static_cast<std::size_t>(agent.value());
            note(b.job, late_input_trace::name_of(e) + " orders submission " +
                            b.payload + " from agent " + std::to_string(a));
            send_to_agent(e, a,
                          [this, a, b](simulated_link l)
                          { agents_[a]->on_batch(l, b); });
        };
        h.cancel =
            [this, e](agent_incarnation agent, const std::vector<order_id>& ids)
        {
            const auto a = static_cast<std::size_t>(agent.value());
            if (random_.percent(options_.coincidence_percent))
            {
                network_.congest(e, entry_count + a);
            }
            disturb(entry_count + a);
            send_to_agent(e, a,
                          [this, a, ids](simulated_link l)
                          { agents_[a]->on_cancel(l, ids); });
        };
        h.finish = [this, e](job_key key, const job_outcome& o)
        {
            auto found = entries_[e].callers.extract(key);
            if (!found.empty())
            {
                found.mapped().done(o);
            }
        };
        h.log = [](const log_record&) {
        };
        return h;
    }

    void send_to_agent(std::size_t e, std::size_t a,
                       std::function<void(simulated_link)> receive)
    {
        const auto it = entries_[e].agents.find(a);
        if (it != entries_[e].agents.end())
        {
            network_.send(it->second, e,
                          [l = it->second, receive = std::move(receive)]
                          { receive(l); });
        }
    }

    void tick_entry(std::size_t e)
    {
        auto& it = entries_[e];
        const auto now = events_.now();
        const auto pause = now - std::exchange(it.last_timer, now);
        if (pause > max_pause && options_.give_up_after_pause)
        {
            it.scheduler->abandon_all("paused", events_.now());
            it.relay->abandon_all("paused");
        }
        it.scheduler->tick(now);
        it.relay->tick(now);
    }

    void read(uint64_t number)
    {
        auto& rq = callers_.request(number);
        const auto& job = callers_.job(number);
        note(job.id, late_input_trace::name_of(rq.entry) +
                         " reads submission " + job.plan.payload);
        if (rq.left && options_.drop_if_left)
        {
            ++dropped_left;
            return;
        }
        rq.read = true;
        if (rq.left)
        {
            // The end of the connection stands behind the request.
            notice_end(number, ms(1));
        }
        submit(rq.entry, number, job);
    }

    void submit(std::size_t e, uint64_t number, const job_submission& job)
    {
        auto& it = entries_[e];
        job_answer done = [this, number](const job_outcome& o)
        {
            callers_.answer(number, o);
        };
        if (it.relay->attach(job.id, number, done))
        {
            return;
        }
        if (options_.relays && it.peer != 0 && !it.scheduler->find(job.id) &&
            random_.percent(50))
        {
            ++relayed;
            note(job.id, late_input_trace::name_of(e) + " relays the job");
            it.relay->relay(relay_peer_id(it.peer), number, job,
                            std::move(done), events_.now());
            return;
        }
        serve(e, number, job, std::move(done));
    }

    void serve(std::size_t e, uint64_t number, job_submission job,
               job_answer done)
    {
        auto& it = entries_[e];
        if (const auto running = it.scheduler->find(job.id))
        {
            const auto earlier = std::exchange(
                it.callers[*running], waiting_caller{number, std::move(done)});
            if (job_relay::is_relay_request(earlier.number))
            {
                earlier.done({job_result::abandoned, {}});
            }
            return;
        }
        const job_key key(++last_key_);
        it.callers[key] = {number, std::move(done)};
        it.scheduler->admit(key, std::move(job), events_.now());
    }

    void abandon(std::size_t e, uint64_t number)
    {
        if (!entries_[e].relay->abandon(number))
        {
            cancel(e, number);
        }
    }

    void cancel(std::size_t e, uint64_t number)
    {
        auto& it = entries_[e];
        const auto found = std::find_if(it.callers.begin(), it.callers.end(),
                                        [number](const auto& c)
                                        { return c.second.number == number; });
        if (found != it.callers.end())
        {
            const auto key = found->first;
            it.callers.erase(found);
            it.scheduler->cancel(key, "cancelled", events_.now());
        }
    }

    void on_hello(std::size_t e, std::size_t a, simulated_link link,
                  const target_load& load)
    {
        auto& it = entries_[e];
        if (const auto known = it.agents.find(a); known != it.agents.end())
        {
            network_.close(known->second, e);
            it.scheduler->remove_target(agent_incarnation(a), events_.now());
        }
        it.agents[a] = link;
        target_profile p;
        p.target = std::to_string(a);
        p.service = service_name("desk");
        p.capacity = simulated_agent::capacity;
        it.scheduler->put_target(agent_incarnation(a), p, events_.now());
        it.scheduler->set_load(agent_incarnation(a), load, events_.now());
    }

    void on_closed(std::size_t e, simulated_link link, std::size_t peer)
    {
        auto& it = entries_[e];
        note(e, "closes a link to " + late_input_trace::name_of(peer));
        if (peer < entry_count)
        {
            it.peer = 0;
            it.relay->on_peer_lost(relay_peer_id(link));
            if (e < peer)
            {
                processes_[e]->after(random_.between(ms(25), ms(300)),
                                     [this, e, peer]
                                     { network_.dial(e, peer); });
            }
            return;
        }
        const auto a = peer - entry_count;
        if (const auto known = it.agents.find(a);
            known != it.agents.end() && known->second == link)
        {
            it.agents.erase(known);
            it.scheduler->remove_target(agent_incarnation(a), events_.now());
        }
    }

    simulated_relay_hooks relay_owner(std::size_t e)
    {
        return {[this](std::size_t entry) -> job_relay&
                { return *entries_[entry].relay; },
                [this] { return random_.percent(90); },
                [this, e](uint64_t number, job_submission s, job_answer done)
                { serve(e, number, std::move(s), std::move(done)); },
                [this, e](uint64_t number, const char*)
                {
                    cancel(e, number);
                }};
    }

    // agents and targets

    void add_agent(std::size_t a)
    {
        auto& p = add_process();
        const auto node = entry_count + a;
        network_.add(p, {[this, a](simulated_link l, std::size_t e)
                         { agents_[a]->on_opened(l, e); },
                         [this, a, node](simulated_link l, std::size_t e)
                         {
                             note(node, "closes a link to " +
                                            late_input_trace::name_of(e));
                             agents_[a]->on_closed(l);
                             processes_[node]->after(
                                 random_.between(ms(25), ms(300)),
                                 [this, node, e] { network_.dial(node, e); });
                         },
                         [this, a](simulated_link l)
                         {
                             agents_[a]->on_heartbeat(l);
                         }});
        targets_.push_back(std::make_unique<leased_target>(
            events_, random_, options_.target,
            run_observer{[this, a](const run_id& n, const std::string& payload)
                         { on_run_start(a, n, payload); },
                         [this, a](const run_id& n)
                         {
                             on_run_end(a, n);
                         }}));
        agents_.push_back(std::make_unique<simulated_agent>(
            events_, random_, p, network_, node, *targets_.back(),
            simulated_agent_hooks{
                [this, a](std::size_t e, simulated_link l, const target_load& d)
                { on_hello(e, a, l, d); },
                [this, a](std::size_t e, simulated_link l, const target_load& d)
                {
                    if (is_current(e, a, l))
                    {
                        entries_[e].scheduler->set_load(agent_incarnation(a), d,
                                                        events_.now());
                    }
                },
                [this, a](std::size_t e, simulated_link l,
                          const order_result& r)
                {
                    if (is_current(e, a, l))
                    {
                        entries_[e].scheduler->on_end(agent_incarnation(a), r,
                                                      events_.now());
                    }
                },
                [this, node](const std::string& text)
                {
                    note(node, text);
                }},
            options_.lease, options_.late_call_percent));
    }

    bool is_current(std::size_t e, std::size_t a, simulated_link link) const
    {
        const auto it = entries_[e].agents.find(a);
        return it != entries_[e].agents.end() && it->second == link;
    }

    void on_run_start(std::size_t a, const run_id& n,
                      const std::string& submission)
    {
        callers_.on_run_start(job_of(n.task));
        const bool overlap = runs_.start(a, n, submission, events_.now());
        events_.at(random_.between(ms(0), ms(50)),
                   [this, a] { disturb(entry_count + a); });
        note(job_of(n.task), "run " + std::to_string(n.run) + " of " + n.task +
                                 " of submission " + submission +
                                 " starts on target " + std::to_string(a) +
                                 (overlap ? ", OVERLAP" : ""));
    }

    void on_run_end(std::size_t a, const run_id& n)
    {
        runs_.end(a, n, events_.now());
        note(job_of(n.task), "run " + std::to_string(n.run) + " of " + n.task +
                                 " ends on target " + std::to_string(a));
    }

    late_input_options options_;
    late_input_trace trace_;
    random_choice random_;
    event_queue events_;
    simulated_network network_;
    run_ledger runs_;
    simulated_callers callers_;
    std::vector<std::unique_ptr<simulated_process>> processes_;
    std::vector<entry_state> entries_;
    std::vector<std::unique_ptr<leased_target>> targets_;
    std::vector<std::unique_ptr<simulated_agent>> agents_;
    uint64_t last_key_ = 0;
};

} // namespace agatebank
