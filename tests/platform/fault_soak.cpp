#include "fault_soak.hpp"

#include <agatebank/harness/run_until.hpp>

#include <algorithm>
#include <csignal>
#include <numeric>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t entry_count = 3;
constexpr std::size_t agent_count = 6;
constexpr duration ended_check_period = 50ms;
constexpr int ended_checks = 200; ///< before a process counts as hung
constexpr duration round_timeout = 30s;
constexpr duration recovery_time = 3s; ///< from the last fault to service
constexpr duration drain_timeout = 40s;

cluster_plan soak_plan(const soak_options& options)
{
    cluster_plan p;
    p.keep_connections = options.suspends_entries;
    p.entries = entry_count;
    p.agents = agent_count;
    p.domains = 3;
    p.network = true;
    return p;
}

std::string to_text(duration d)
{
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(d)
                   .count()) +
           " ms";
}

void set_delay(tcp_relay& relay, int direction, duration delay)
{
    if (direction != 1)
    {
        relay.delay_to_client(delay);
    }
    if (direction != 0)
    {
        relay.delay_to_upstream(delay);
    }
}

} // namespace

fault_soak::fault_soak(uint64_t seed, const soak_options& options)
    : random_(seed)
    , options_(options)
    , option_random_(seed + 2)
    , cluster_(soak_plan(options))
    , callers_(cluster_, trace_, entry_count, seed + 1)
{
}

uint64_t fault_soak::draw(uint64_t min, uint64_t max)
{
    return min + random_() % (max - min + 1);
}

duration fault_soak::draw_ms(uint64_t min, uint64_t max)
{
    return std::chrono::milliseconds(draw(min, max));
}

bool fault_soak::start()
{
    const bool ready = cluster_.wait_ready();
    callers_.start();
    return ready;
}

void fault_soak::at(duration delay, action fn)
{
    ++pending_;
    cluster_.timers.schedule(delay,
                             [this, fn = std::move(fn)]
                             {
                                 fn();
                                 --pending_;
                             });
}

void fault_soak::run_fault(const std::string& name, duration time,
                           const action& begin, action end)
{
    trace_.add("fault: " + name + " for " + to_text(time));
    begin();
    at(time,
       [this, name, end = std::move(end)]
       {
           trace_.add("fault: end of " + name);
           end();
       });
}

void fault_soak::run_round()
{
    const auto parts = entry_count + 2 * entry_count + 2 * agent_count;
    std::vector<std::size_t> order(parts);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    order.resize(draw(1, 4));
    for (auto part : order)
    {
        ++faults_;
        at(draw_ms(0, 800),
           [this, part]
           {
               auto i = part;
               if (i < entry_count + agent_count)
               {
                   const bool is_entry = i < entry_count;
                   inject_process_fault(is_entry,
                                        is_entry ? i : i - entry_count);
                   return;
               }
               i -= entry_count + agent_count;
               if (i < 2 * entry_count)
               {
                   inject_network_fault(i < entry_count, i % entry_count);
                   return;
               }
               inject_target_fault(i - 2 * entry_count);
           });
    }
    if (options_.cuts_targets)
    {
        plan_cuts();
    }
    if (options_.suspends_entries)
    {
        plan_suspensions();
    }
    if (!run_until(cluster_.loop, round_timeout,
                   [this] { return pending_ == 0; }))
    {
        trace_.fail({}, "the faults of a round did not end");
    }
    run_for(cluster_.loop, draw_ms(0, 1) * static_cast<int>(draw(0, 1500)));
}

// processes

child_process& fault_soak::process(bool is_entry, std::size_t i)
{
    return is_entry ? cluster_.entry(i) : cluster_.agent(i);
}

void fault_soak::pause(bool is_entry, std::size_t i, duration time)
{
    run_fault((is_entry ? "SIGSTOP of entry " : "SIGSTOP of agent ") +
                  std::to_string(i),
              time,
              [=, this]
              {
                  process(is_entry, i).signal(SIGSTOP);
                  if (is_entry)
                  {
                      callers_.set_blocked(i, true);
                  }
              },
              [=, this]
              {
                  process(is_entry, i).signal(SIGCONT);
                  if (is_entry)
                  {
                      callers_.set_blocked(i, false);
                  }
              });
}

void fault_soak::inject_process_fault(bool is_entry, std::size_t i)
{
    const auto kind = draw(0, 3);
    if (kind == 0)
    {
        pause(is_entry, i, draw_ms(200, 1600));
    }
    else if (kind == 1)
    {
        duration begin{};
        for (auto n = draw(3, 8); n != 0; --n)
        {
            const auto time = draw_ms(50, 500);
            at(begin, [=, this] { pause(is_entry, i, time); });
            begin += time + draw_ms(20, 200);
        }
    }
    else
    {
        const bool is_kill = kind == 2;
        run_fault(
            std::string(is_kill ? "SIGKILL" : "SIGTERM") + " of " +
                (is_entry ? "entry " : "agent ") + std::to_string(i),
            draw_ms(50, 1500),
            [=, this]
            { process(is_entry, i).signal(is_kill ? SIGKILL : SIGTERM); },
            [=, this] { start_when_ended(is_entry, i, ended_checks); });
    }
}

void fault_soak::start_when_ended(bool is_entry, std::size_t i, int checks_left)
{
    const auto name = (is_entry ? "entry " : "agent ") + std::to_string(i);
    if (process(is_entry, i).running())
    {
        if (checks_left == 0)
        {
            trace_.fail({}, name + " did not end");
            process(is_entry, i).signal(SIGKILL);
        }
        at(ended_check_period,
           [=, this] { start_when_ended(is_entry, i, checks_left - 1); });
        return;
    }
    const auto code = process(is_entry, i).exit_code().value_or(0);
    trace_.add("fault: start of " + name + ", exit code " +
               std::to_string(code));
    if (code != 0 && code != -SIGKILL && code != -SIGTERM)
    {
        trace_.fail({}, name + " ended with code " + std::to_string(code));
    }
    if (is_entry)
    {
        cluster_.start_entry(i);
    }
    else
    {
        cluster_.start_agent(i);
    }
}

// network

// The delay grows and shrinks again in steps, or changes at once.
void fault_soak::change_delay(const std::string& name, tcp_relay& relay,
                              int direction)
{
    const auto delay = draw_ms(200, 2000);
    const auto steps = static_cast<int>(draw(0, 1) * draw(2, 6));
    const auto step_time = draw_ms(100, 400);
    const auto time = draw_ms(200, 3000);
    for (int n = 1; n < steps; ++n)
    {
        at(step_time * n,
           [=, &relay] { set_delay(relay, direction, delay * n / steps); });
        at(step_time * steps + time + step_time * n, [=, &relay]
           { set_delay(relay, direction, delay * (steps - n) / steps); });
    }
    at(step_time * steps, [=, &relay] { set_delay(relay, direction, delay); });
    trace_.add("fault: " + name + " direction " + std::to_string(direction) +
               " delayed by " + to_text(delay) + " for " + to_text(time) +
               " in " + std::to_string(steps) + " steps of " +
               to_text(step_time));
    at(step_time * steps * 2 + time,
       [=, this, &relay]
       {
           trace_.add("fault: end of delay of " + name);
           set_delay(relay, direction, {});
       });
}

void fault_soak::inject_network_fault(bool of_callers, std::size_t entry)
{
    auto& relay =
        of_callers ? cluster_.caller_relay(entry) : cluster_.link_relay(entry);
    const auto name =
        (of_callers ? "callers' connections of entry " : "links of entry ") +
        std::to_string(entry);
    const auto block = [=, this](bool blocked, duration lasting)
    {
        if (of_callers)
        {
            callers_.set_blocked(entry, blocked, lasting);
        }
    };
    // 0: to the client, 1: to the upstream, 2: both
    const int direction = static_cast<int>(draw(0, 2));
    const auto hold = [=, &relay](bool held)
    {
        if (direction != 1)
        {
            relay.hold_to_client(held);
        }
        if (direction != 0)
        {
            relay.hold_to_upstream(held);
        }
    };
    switch (draw(0, 5))
    {
    case 0:
    case 1:
    case 2:
        block(true, {});
        change_delay(name, relay, direction);
        // The longest delay and its steps last for less than 12 s.
        at(8s, [block] { block(false, 2s); });
        break;
    case 3:
        trace_.add("fault: reset of " + name);
        relay.cut();
        break;
    case 4:
        run_fault(
            "hold of " + name + " direction " + std::to_string(direction),
            draw_ms(200, 3000),
            [=]
            {
                block(true, {});
                hold(true);
            },
            [=]
            {
                hold(false);
                block(false, {});
            });
        break;
    default:
        trace_.add("fault: loss of the state of " + name);
        if (of_callers)
        {
            callers_.forget(entry);
        }
        relay.forget();
    }
}

// targets

void fault_soak::inject_target_fault(std::size_t i)
{
    auto& target = *cluster_.targets[i];
    const auto name = "target " + std::to_string(i);
    switch (draw(0, 3))
    {
    case 0:
        trace_.add("fault: restart of " + name);
        target.restart();
        break;
    case 1:
    {
        const auto time = draw_ms(300, 3000);
        run_fault(
            "crash of " + name, time + 50ms,
            [&target, time] { target.crash(time); }, [] {});
        break;
    }
    case 2:
        run_fault(
            "unanswered starts of " + name, draw_ms(200, 3000),
            [&target] { target.set_mode(target_mode::unresponsive); },
            [&target] { target.set_mode(target_mode::healthy); });
        break;
    default:
    {
        const auto delay = draw_ms(100, 1500);
        run_fault(
            "calls of " + name + " late by " + to_text(delay),
            draw_ms(300, 3000),
            [&target, delay] { target.set_call_delay(delay); },
            [&target] { target.set_call_delay({}); });
    }
    }
}

uint64_t fault_soak::pick(uint64_t min, uint64_t max)
{
    return min + option_random_() % (max - min + 1);
}

// Most cuts are about as long as a lease.
void fault_soak::plan_cuts()
{
    for (auto n = pick(1, 4); n != 0; --n)
    {
        ++faults_;
        const auto i = static_cast<std::size_t>(pick(0, agent_count - 1));
        const auto begin = std::chrono::milliseconds(pick(0, 2000));
        const auto time = std::chrono::milliseconds(
            pick(0, 3) == 0 ? pick(1500, 5500) : pick(50, 1500));
        at(begin, [this, i, time] { cut_target(i, time); });
    }
}

void fault_soak::cut_target(std::size_t i, duration time)
{
    auto& target = *cluster_.targets[i];
    if (target.is_away())
    {
        return;
    }
    run_fault(
        "cut of target " + std::to_string(i), time,
        [&target] { target.cut_off(); }, [&target] { target.reconnect(); });
}

// suspensions

void fault_soak::plan_suspensions()
{
    for (auto n = pick(1, 3); n != 0; --n)
    {
        ++faults_;
        const auto i = static_cast<std::size_t>(pick(0, entry_count - 1));
        const auto begin = std::chrono::milliseconds(pick(0, 2000));
        const auto time = std::chrono::milliseconds(
            pick(0, 2) == 0 ? pick(1000, 4000) : pick(200, 1000));
        at(begin, [this, i, time] { suspend_entry(i, time); });
    }
}

void fault_soak::suspend_entry(std::size_t i, duration time)
{
    // TCP may deliver what was lost as late as that after the end.
    const auto lasting = time + 400ms;
    run_fault(
        "suspension of entry " + std::to_string(i), time,
        [=, this]
        {
            process(true, i).signal(SIGSTOP);
            cluster_.caller_relay(i).lose_to_upstream(time);
            cluster_.link_relay(i).lose_to_upstream(time);
            callers_.set_blocked(i, true);
        },
        [=, this]
        {
            process(true, i).signal(SIGCONT);
            callers_.set_blocked(i, false, lasting);
        });
}

// results

void fault_soak::finish()
{
    callers_.stop();
    run_for(cluster_.loop, recovery_time);
    for (std::size_t i = 0; i < entry_count; ++i)
    {
        callers_.check_served(i);
    }
    if (!run_until(cluster_.loop, drain_timeout,
                   [this] { return callers_.open_jobs() == 0; }))
    {
        trace_.fail({}, std::to_string(callers_.open_jobs()) +
                            " jobs are still open");
    }
}

bool fault_soak::failed() const
{
    return !trace_.failures().empty();
}

std::string fault_soak::summary() const
{
    return std::to_string(faults_) + " faults, " + callers_.summary() + ", " +
           std::to_string(trace_.failures().size()) + " failures";
}

std::string fault_soak::report() const
{
    auto out = trace_.report();
    for (const auto& job : trace_.failed_jobs())
    {
        if (job.empty())
        {
            continue;
        }
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            out += "entry " + std::to_string(i) + ":\n" +
                   cluster_.entry_log(i, job);
        }
        for (std::size_t i = 0; i < agent_count; ++i)
        {
            out += "agent " + std::to_string(i) + ":\n" +
                   cluster_.agent_log(i, job);
        }
    }
    return out;
}

} // namespace agatebank
