#pragma once

#include "leased_target.hpp"
#include "simulated_network.hpp"
#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/run_scheduler.hpp>
#include <agatebank/node/heard_times.hpp>
#include <agatebank/node/target_lease.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace agatebank
{

/// @brief Messages of a simulated_agent, called at the entry that receives
/// them.
struct simulated_agent_hooks
{
    std::function<void(std::size_t entry, simulated_link, const target_load&)>
        on_hello;
    std::function<void(std::size_t entry, simulated_link, const target_load&)>
        on_load;
    std::function<void(std::size_t entry, simulated_link, const order_result&)>
        on_result;
    std::function<void(const std::string&)> note; ///< for the trace
};

/// @brief Rules of an agent's lease.
struct lease_rules
{
    /// the lease ends a bounded time after the sending of the newest message
    bool bound_by_heard = true;
    /// an order waits that arrives too late for the lease granted before
    bool hold_late_orders = true;
    /// runs at a target that refuses connections may go on until the lease ends
    bool outlast_refusals = true;
    /// ends are held while a copy of their start call may begin a run
    bool hold_ends = false;
};

/// @brief Does what agent_node does with orders, its links and its lease,
/// around the real run_scheduler, target_lease and heard_times. Calls to the
/// target are lost or late.
class simulated_agent
{
  public:
    static constexpr resources capacity{16000, 4000, 0};

    simulated_agent(event_queue& events, random_choice& random,
                    simulated_process& process, simulated_network& network,
                    std::size_t node, leased_target& target,
                    simulated_agent_hooks hooks, lease_rules rules,
                    unsigned late_call_percent)
        : events_(events)
        , random_(random)
        , process_(process)
        , network_(network)
        , node_(node)
        , target_(target)
        , hooks_(std::move(hooks))
        , rules_(rules)
        , late_call_percent_(late_call_percent)
        , scheduler_(scheduler_hooks())
        , lease_({})
    {
        scheduler_.set_capacity(capacity, events_.now());
        process_.every(timer_period, [this] { on_timer(); });
        extend_lease();
    }

    void on_opened(simulated_link link, std::size_t entry)
    {
        links_[link] = {entry, 0, {}};
        note_heard(link);
        const auto load = current_load(links_[link]);
        network_.send(link, node_,
                      [this, link, entry, load]
                      { hooks_.on_hello(entry, link, load); });
        links_[link].reported = load;
    }

    void on_closed(simulated_link link)
    {
        links_.erase(link);
        heard_.on_closed(order_source(link));
        scheduler_.on_source_lost(order_source(link), events_.now());
    }

    void on_batch(simulated_link link, const run_batch& b)
    {
        if (const auto it = links_.find(link); it != links_.end())
        {
            note_heard(link);
            for (const auto& o : b.orders)
            {
                auto& last = it->second.last_order;
                last = std::max(last, o.id.value());
            }
            scheduler_.on_batch(order_source(link), b, events_.now());
            start_waiting();
        }
    }

    void on_cancel(simulated_link link, const std::vector<order_id>& ids)
    {
        note_heard(link);
        heard_.on_cancel(order_source(link), events_.now());
        scheduler_.on_cancel(order_source(link), ids, events_.now());
        start_waiting();
    }

    void on_heartbeat(simulated_link link)
    {
        note_heard(link);
        start_waiting();
    }

    /// @brief Cuts the target off from the agent: calls under way get no
    /// answer, and connections are refused.
    void cut_off(duration lasts)
    {
        cut_until_ = std::max(cut_until_, events_.now() + lasts);
        ++cuts_;
        for (auto& [n, it] : start_calls_)
        {
            it = {start_copies::unanswered, events_.now()};
        }
        if (lease_call_ && !std::exchange(*lease_call_, true))
        {
            process_.receive_after(ms(1), [this] { on_lease_failure(false); });
        }
    }

  private:
    using ms = std::chrono::milliseconds;

    static constexpr duration timer_period = ms(50);
    static constexpr duration list_wait = ms(250);
    static constexpr duration shortest_list_wait = ms(50);
    static constexpr duration idle_list_wait = ms(400);
    static constexpr duration lease_retry_delay = ms(40);
    static constexpr duration start_validity = ms(500);
    static constexpr duration call_timeout = ms(400);

    struct entry_link
    {
        std::size_t entry = 0;
        uint64_t last_order = 0;
        target_load reported;
    };

    run_scheduler_hooks scheduler_hooks()
    {
        run_scheduler_hooks h;
        h.start = [this](const run_id& n, const std::string& payload)
        {
            start_run(n, payload);
        };
        h.stop = [this](const run_id& n)
        {
            stop_run(n);
        };
        h.report = [this](order_source s, const order_result& r)
        {
            if (const auto it = links_.find(s.value()); it != links_.end())
            {
                network_.send(it->first, node_,
                              [this, link = it->first, entry = it->second.entry,
                               r] { hooks_.on_result(entry, link, r); });
            }
        };
        h.report_loss = [](const std::vector<lost_run>&) {
        };
        h.log = [](const log_record&) {
        };
        h.may_start = [this](order_source s)
        {
            return may_start(s);
        };
        if (rules_.hold_ends)
        {
            h.copies_of_start = [this](const run_id& n)
            {
                const auto it = start_calls_.find(n);
                return it == start_calls_.end() ? start_call_state()
                                                : it->second;
            };
        }
        return h;
    }

    void note_heard(simulated_link link)
    {
        if (links_.count(link) != 0)
        {
            heard_.on_heard(order_source(link),
                            network_.last_heard(link, node_));
        }
    }

    bool may_start(order_source from)
    {
        const auto heard = heard_.newest(from);
        const bool out =
            !rules_.hold_late_orders || (heard && lease_.allows_start(*heard));
        starts_wait_ = starts_wait_ || !out;
        return out;
    }

    void start_waiting()
    {
        if (std::exchange(starts_wait_, false))
        {
            scheduler_.tick(events_.now());
        }
    }

    void on_timer()
    {
        const auto now = events_.now();
        scheduler_.tick(now);
        if (lease_.has_expired(now) && !runs_ended_)
        {
            runs_ended_ = true;
            hooks_.note("assumes that all runs have ended with the lease");
            scheduler_.on_lease_expired(now);
        }
        update_acceptance();
        for (auto& [link, it] : links_)
        {
            const auto load = current_load(it);
            if (load == it.reported)
            {
                continue;
            }
            it.reported = load;
            network_.send(link, node_,
                          [this, link = link, e = it.entry, load]
                          { hooks_.on_load(e, link, load); });
        }
    }

    target_load current_load(const entry_link& link) const
    {
        auto out = scheduler_.load(events_.now());
        out.accepts_work = lease_.is_connected(events_.now());
        out.last_order_received = link.last_order;
        return out;
    }

    void update_acceptance()
    {
        scheduler_.set_accepting_orders(lease_.is_connected(events_.now()),
                                        events_.now());
    }

    // lease

    std::optional<time_point> oldest_heard()
    {
        const auto out = heard_.oldest(scheduler_);
        return rules_.bound_by_heard ? out : std::nullopt;
    }

    static target_time add(target_time t, duration d)
    {
        return target_time(t.value() +
                           std::chrono::duration_cast<ms>(d).count());
    }

    void extend_lease()
    {
        const auto now = events_.now();
        lease_request rq;
        rq.last_end_seen = last_end_seen_;
        const auto clock = lease_.clock(now);
        const bool may_extend = lease_.may_extend(now);
        const auto extension = lease_.extension(oldest_heard(), now);
        if (may_extend && target_connected_)
        {
            const auto next = scheduler_.time_to_next_end(now);
            rq.wait = scheduler_.holds_ends()         ? shortest_list_wait
                      : scheduler_.has_unknown_runs() ? list_wait
                      : next ? std::clamp(extension / 4, shortest_list_wait,
                                          list_wait)
                             : idle_list_wait;
            rq.expected_end = std::min(rq.wait, next.value_or(rq.wait));
        }
        if (clock && may_extend && extension.count() > 0)
        {
            rq.lease_until = add(*clock, extension);
            hooks_.note("extends the lease by " + to_ms_text(extension));
            lease_.on_extension_sent(extension, now);
            runs_ended_ = false;
        }
        call_lease(rq);
    }

    // A call is answered once: by the target or by its time limit.
    void call_lease(const lease_request& rq)
    {
        if (is_cut_off())
        {
            process_.receive_after(ms(1), [this] { on_lease_failure(true); });
            return;
        }
        const auto sent = events_.now();
        const auto over = std::make_shared<bool>(false);
        lease_call_ = over;
        const bool lost = random_.percent(late_call_percent_);
        const auto respond = [this, sent, over](const lease_answer& a)
        {
            process_.receive_after(random_.between(ms(0), ms(3)),
                                   [this, sent, over, a]
                                   {
                                       if (!std::exchange(*over, true))
                                       {
                                           on_lease_answer(a, sent);
                                       }
                                   });
        };
        events_.at(lost ? random_.between(ms(100), ms(500))
                        : random_.between(ms(1), ms(3)),
                   [this, rq, lost, respond]
                   {
                       target_.extend(rq, lost ? [](const lease_answer&) {}
                                               : leased_target::respond_fn(
                                                     respond));
                   });
        process_.after(rq.wait + call_timeout,
                       [this, over]
                       {
                           if (!std::exchange(*over, true))
                           {
                               on_lease_failure(false);
                           }
                       });
    }

    void on_lease_failure(bool refused)
    {
        const auto now = events_.now();
        target_connected_ = false;
        if (refused)
        {
            scheduler_.set_accepting_orders(false, now);
            scheduler_.on_target_unreachable(
                rules_.outlast_refusals ? lease_.time_left(now) : duration(0),
                now);
            lease_.reset();
        }
        update_acceptance();
        process_.after(lease_retry_delay, [this] { extend_lease(); });
    }

    bool is_cut_off() const
    {
        return events_.now() < cut_until_;
    }

    void on_lease_answer(const lease_answer& answer, time_point sent)
    {
        const auto now = events_.now();
        target_connected_ = true;
        lease_.on_answer(answer.clock, now);
        for (const auto& it : answer.ended)
        {
            last_end_seen_ = std::max(last_end_seen_, it.position);
        }
        scheduler_.on_listing(answer, sent, now);
        update_acceptance();
        process_.after(ms(1), [this] { extend_lease(); });
    }

    // runs

    // A request is carried out at once, late, or twice.
    void start_run(const run_id& n, const std::string& payload)
    {
        const auto now = events_.now();
        if (is_cut_off())
        {
            answer_start(n, start_answer::refused);
            return;
        }
        const auto validity =
            std::min(start_validity, lease_.extension(oldest_heard(), now));
        lease_.on_start_sent(validity, now);
        const start_request rq{
            n, payload,
            add(lease_.clock(now).value_or(target_time()), validity)};
        const bool late = random_.percent(late_call_percent_);
        const bool twice = random_.percent(late_call_percent_);
        start_calls_[n] = {start_copies::under_way, now};
        if (rules_.hold_ends && (late || twice))
        {
            process_.receive_after(
                call_timeout,
                [this, n] {
                    start_calls_[n] = {start_copies::unanswered, events_.now()};
                });
        }
        if (late || twice)
        {
            events_.at(random_.between(ms(100), ms(1500)),
                       [this, rq] { target_.start(rq); });
        }
        if (late)
        {
            process_.after(call_timeout,
                           [this, n] {
                               scheduler_.on_start_answer(
                                   n, start_answer::unknown, events_.now());
                           });
            return;
        }
        events_.at(random_.between(ms(1), ms(3)),
                   [this, rq, twice, cuts = cuts_]
                   {
                       const auto answer = target_.start(rq);
                       const bool answered = cuts == cuts_;
                       if (answered && !twice)
                       {
                           start_calls_.erase(rq.id);
                       }
                       answer_start(rq.id,
                                    answered ? answer : start_answer::unknown);
                   });
    }

    void answer_start(const run_id& n, start_answer answer)
    {
        process_.receive_after(
            ms(1), [this, n, answer]
            { scheduler_.on_start_answer(n, answer, events_.now()); });
    }

    void stop_run(const run_id& n)
    {
        if (is_cut_off())
        {
            process_.receive_after(
                ms(1), [this, n]
                { scheduler_.on_stop_answer(n, false, events_.now()); });
            return;
        }
        // The repetition of a lost call is not lost.
        if (random_.percent(10) && lost_stops_.insert(n).second)
        {
            process_.after(
                call_timeout, [this, n]
                { scheduler_.on_stop_answer(n, false, events_.now()); });
            return;
        }
        events_.at(random_.between(ms(1), ms(3)),
                   [this, n]
                   {
                       target_.stop(n);
                       process_.receive_after(ms(1),
                                              [this, n] {
                                                  scheduler_.on_stop_answer(
                                                      n, true, events_.now());
                                              });
                   });
    }

    event_queue& events_;
    random_choice& random_;
    simulated_process& process_;
    simulated_network& network_;
    std::size_t node_;
    leased_target& target_;
    simulated_agent_hooks hooks_;
    lease_rules rules_;
    unsigned late_call_percent_;
    run_scheduler scheduler_;
    target_lease lease_;
    std::map<simulated_link, entry_link> links_;
    heard_times heard_;
    /// an order waits for a newer message of its entry
    bool starts_wait_ = false;
    std::map<run_id, start_call_state> start_calls_; ///< not settled
    std::set<run_id> lost_stops_; ///< runs with a stop request that was lost
    end_position last_end_seen_;
    time_point cut_until_;
    int cuts_ = 0;
    std::shared_ptr<bool> lease_call_; ///< whether the last one is over
    bool target_connected_ = false;
    bool runs_ended_ = false;
};

} // namespace agatebank
