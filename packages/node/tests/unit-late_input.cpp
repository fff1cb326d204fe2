#include "late_input_simulation.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <iostream>
#include <optional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t first_seed = 20261204;
constexpr std::size_t jobs = 120;

// What the simulations of one row came to.
struct totals
{
    std::size_t overlaps = 0;
    int seeds_with_overlap = 0;
    refusal_counts refusals;
    std::ptrdiff_t unanswered = 0;
    int starts = 0;
    int left = 0;
    int dropped_left = 0;
    int relayed = 0;
    uint64_t silent_links = 0;
    std::optional<uint64_t> overlap_seed;       ///< the first one
    std::optional<uint64_t> false_refusal_seed; ///< the first one
};

totals play(const late_input_options& options, uint64_t seeds,
            uint64_t first = first_seed)
{
    totals out;
    for (uint64_t seed = first; seed < first + seeds; ++seed)
    {
        late_input_simulation s(seed, options);
        s.run(jobs);
        const auto& overlaps = s.runs().overlaps();
        out.overlaps += overlaps.size();
        out.seeds_with_overlap += overlaps.empty() ? 0 : 1;
        const auto refusals = s.callers().refusals();
        out.refusals += refusals;
        if (refusals.refused_jobs_started + refusals.starts_after_refusal > 0 &&
            !out.false_refusal_seed)
        {
            out.false_refusal_seed = seed;
        }
        out.unanswered += s.unanswered;
        out.starts += s.runs().starts();
        out.left += s.callers().left;
        out.dropped_left += s.dropped_left;
        out.relayed += s.relayed;
        out.silent_links += s.network().silent;
        if (!overlaps.empty() && !out.overlap_seed)
        {
            out.overlap_seed = seed;
        }
    }
    return out;
}

// How the first overlap came about; empty without one.
std::string trace_overlap(late_input_options options, const totals& t)
{
    if (!t.overlap_seed)
    {
        return {};
    }
    options.trace = true;
    late_input_simulation s(*t.overlap_seed, options);
    s.run(jobs);
    const auto& o = s.runs().overlaps().front();
    return "seed " + std::to_string(*t.overlap_seed) + ", " + o.task + " for " +
           to_ms_text(o.length) + "\n" + s.trace().text(o);
}

struct row
{
    const char* name;
    uint64_t seeds;
    std::function<void(late_input_options&)> set;
};

// Connections to cut targets are refused, and most cuts are about as long as a
// lease.
void cut_targets(late_input_options& o)
{
    o.longest_cut = 1500ms;
    o.lease.hold_ends = true;
}

const row fault_rows[] = {
    {"pauses and delays", 60,
     [](auto&) {
     }},
    {"delays, no pauses", 60,
     [](auto& o)
     {
         o.longest_pause = 20ms;
     }},
    {"pauses, no delays", 60,
     [](auto& o)
     {
         o.link.longest_delay = 2ms;
     }},
    {"pauses and delays, which are estimated", 60,
     [](auto& o)
     {
         o.link.exact_delay = false;
     }},
    {"pauses and delays, jobs are relayed", 60,
     [](auto& o)
     {
         o.relays = true;
     }},
    {"pauses that are longer than the silence timeout", 60,
     [](auto& o)
     {
         o.longest_pause = 3000ms;
     }},
    {"targets are cut off, pauses, no delays", 60,
     [](auto& o)
     {
         o.link.longest_delay = 2ms;
         cut_targets(o);
     }},
    {"targets are cut off, pauses and delays", 60,
     [](auto& o)
     {
         cut_targets(o);
     }},
};

// Without these, the other rules of the design note don't prevent overlaps.
late_input_options corrected()
{
    late_input_options out;
    out.lost_agent_grace = 1300ms;
    return out;
}

void check_refusals(const char* name, uint64_t seeds, const totals& t)
{
    const auto& n = t.refusals;
    INFO("first seed " << t.false_refusal_seed.value_or(0));
    std::cout << "late input: " << name << ": " << n.refusals << " refusals, "
              << n.refusals_after_start
              << " of these after a start for an earlier submission\n";
    CHECK(n.refused_jobs_started == 0);
    CHECK(n.starts_after_refusal == 0);
    // Refusals are frequent enough to be tested.
    CHECK(n.refusals > 20 * seeds);
}

void check_no_overlap(const row& r, late_input_options options)
{
    r.set(options);
    const auto t = play(options, r.seeds);
    INFO(r.name << ": " << t.seeds_with_overlap << " of " << r.seeds
                << " seeds; " << trace_overlap(options, t));
    CHECK(t.overlaps == 0);
    check_refusals(r.name, r.seeds, t);
}

} // namespace

// Guards against a false "not run" and a caller without an answer when
// requests, messages and timers are handled late and callers submit their jobs
// again. A refusal is false if all submissions were refused and a task starts
// before or after, or if a task starts after the refusal.
TEST_CASE("late input: 'not run' is never false and every caller that stays is "
          "answered")
{
    for (const auto& it : fault_rows)
    {
        INFO(it.name);
        late_input_options options;
        it.set(options);
        const auto t = play(options, 20);
        check_refusals(it.name, 20, t);
        CHECK(t.unanswered == 0);
        // The faults are frequent enough to be tested.
        CHECK(t.starts > 1000);
        CHECK(t.left > 500);
        CHECK(t.dropped_left > 200);
        CHECK((t.silent_links > 300 || options.longest_pause < 100ms));
        CHECK((t.relayed > 500 || !options.relays));
    }
}

// Guards against two runs of one task: an order, a cancellation or a timer that
// is handled late lets a run go on beyond the 1,300 ms after which a caller
// that has left submits its job again, or beyond an entry's wait for a lost
// agent.
TEST_CASE("late input: no task runs twice at once")
{
    for (const auto& it : fault_rows)
    {
        check_no_overlap(it, {});
    }
}

// Guards against further causes of overlaps behind the known ones.
TEST_CASE("late input: no task runs twice at once if the lease covers starts "
          "and stopped runs and an entry waits 1,300 ms for a lost agent")
{
    for (const auto& it : fault_rows)
    {
        auto options = corrected();
        it.set(options);
        if (options.link.exact_delay && !options.relays)
        {
            check_no_overlap(it, corrected());
        }
    }
}

// Guards against overlaps that the other corrections leave, such as those of a
// relayed job: its second entry learns late that the caller has left, and its
// agents count from the second entry's messages.
TEST_CASE("late input: no task runs twice at once if delays are estimated or "
          "jobs are relayed, with the other corrections")
{
    for (const auto& it : fault_rows)
    {
        auto options = corrected();
        it.set(options);
        if (!options.link.exact_delay || options.relays)
        {
            check_no_overlap(it, corrected());
        }
    }
}

// Guards against causes that the rows above meet only with other seeds: a link
// that opens while its path is slow takes its first message for fast, its nonce
// counts as heard when it arrives, and a relayed job has two links.
TEST_CASE("late input: no task runs twice at once with seeds that overlap")
{
    struct
    {
        std::size_t fault_row;
        uint64_t seed;
    } const rows[] = {{0, 770274},   {3, 20261304}, {3, 20261368},
                      {3, 20261547}, {3, 20261751}, {3, 770182},
                      {4, 20261341}, {4, 20261420}, {4, 770243}};
    for (const auto& it : rows)
    {
        const auto& r = fault_rows[it.fault_row];
        late_input_options options;
        r.set(options);
        const auto t = play(options, 1, it.seed);
        INFO(r.name << ": " << trace_overlap(options, t));
        CHECK(t.overlaps == 0);
    }
}

// Guards against a simulation that doesn't reach the cases for which a rule of
// docs/design/late-input.md was made. Three rules are not in the table, as few
// seeds or none show them alone: an entry gives up its jobs after a long pause,
// but its next messages carry the time before the pause; a late message is not
// delivered, but its link is silent by then; and a job that is admitted again
// waits for its earlier runs, see
// packages/fleet/tests/unit-readmitted_jobs.cpp.
TEST_CASE("late input: each rule prevents overlaps")
{
    const row rows[] = {
        {"a job whose caller has left is not started", 20,
         [](auto& o)
         {
             o.drop_if_left = false;
         }},
        {"a caller that leaves is noticed in the next turn", 20,
         [](auto& o)
         {
             o.notice_leaving = false;
         }},
        {"a message carries the time up to which sockets were read", 100,
         [](auto& o)
         {
             o.link.carry_read_time = false;
             o.coincidence_percent = 60;
         }},
        {"a link is silent by the time of sending", 60,
         [](auto& o)
         {
             o.link.silence_since_sent = false;
             o.coincidence_percent = 60;
         }},
        {"silence by the time of sending, late messages are dropped", 20,
         [](auto& o)
         {
             o.link.silence_since_sent = false;
             o.link.drop_late = false;
         }},
        {"a start is void 500 ms after it was sent", 100,
         [](auto& o)
         {
             o.target.refuse_late_starts = false;
             o.late_call_percent = 30;
         }},
        {"a stop makes an earlier start void", 120,
         [](auto& o)
         {
             o.target.stop_fences = false;
             o.late_call_percent = 30;
         }},
        {"the lease ends", 40,
         [](auto& o)
         {
             o.target.lease_ends = false;
         }},
        {"an order waits that is late for the lease granted before", 60,
         [](auto& o)
         {
             o.lease.hold_late_orders = false;
             o.coincidence_percent = 60;
             o.longest_pause = 790ms;
         }},
        {"the lease is bounded by when the entry was heard", 100,
         [](auto& o)
         {
             o.lease.bound_by_heard = false;
             o.coincidence_percent = 60;
         }},
        {"runs go on at a target that refuses connections", 20,
         [](auto& o)
         {
             cut_targets(o);
             o.lease.outlast_refusals = false;
         }},
    };
    for (const auto& it : rows)
    {
        INFO("off: " << it.name);
        auto options = corrected();
        // The wait for earlier runs at the same entry prevents most of these
        // overlaps, too.
        options.wait_for_earlier_runs = false;
        it.set(options);
        CHECK(play(options, it.seeds).overlaps > 0);
    }
}

// Guards against a simulation that doesn't reach the cases in which a job is
// started after it was refused: its caller has left another entry before, which
// reads the request, or learns that the caller has left, after the refusal.
TEST_CASE("late input: each rule prevents starts of refused jobs")
{
    const row rows[] = {
        {"a job whose caller has left is not started", 20,
         [](auto& o)
         {
             o.drop_if_left = false;
         }},
        {"a caller that leaves is noticed in the next turn", 60,
         [](auto& o)
         {
             o.notice_leaving = false;
         }},
    };
    for (const auto& it : rows)
    {
        INFO("off: " << it.name);
        late_input_options options;
        it.set(options);
        CHECK(play(options, it.seeds).refusals.starts_after_refusal > 0);
    }
}
