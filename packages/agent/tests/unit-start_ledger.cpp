#include <agatebank/agent/start_ledger.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <iostream>
#include <map>
#include <set>
#include <vector>

#include <malloc.h>

using namespace agatebank;

namespace
{

const agent_incarnation self(7);
const entry_incarnation issuer(3);
constexpr std::size_t max_records = 64;
constexpr int64_t now_us = 1000;
constexpr start_refusal no_slot{errc::start_refused, "test"};

submission_id submission(uint64_t n)
{
    return {issuer, submission_sequence(n), std::chrono::seconds(600)};
}

start_order make_order(uint64_t sequence, uint64_t job = 1)
{
    start_order o;
    o.sequence = start_sequence(sequence);
    o.agent = self;
    o.submission = submission(job);
    o.task = task_index(static_cast<uint32_t>(sequence));
    o.job_tasks = 4;
    return o;
}

run_result answer(const std::string& body)
{
    run_result r;
    r.kind = report_kind::answered;
    r.body = body;
    return r;
}

// reference model that never erases a record

class model_ledger
{
  public:
    start_verdict decide(const start_order& o, const start_refusal* refusal)
    {
        if (o.agent != self)
        {
            return start_verdict::misplaced;
        }
        if (o.sequence.value() < floor)
        {
            return start_verdict::stale;
        }
        if (!state[o.sequence.value()].empty())
        {
            return start_verdict::known;
        }
        const bool late = o.deadline_us != 0 && o.deadline_us <= now_us;
        const bool fenced =
            gathered.count(o.submission) != 0 || late || refusal != nullptr;
        state[o.sequence.value()] = fenced ? "not run" : "queued";
        job[o.sequence.value()] = o.submission;
        return fenced ? start_verdict::refused : start_verdict::accepted;
    }

    bool begin(uint64_t n)
    {
        const bool may = n >= floor && state[n] == "queued";
        if (may)
        {
            state[n] = "running";
        }
        return may;
    }

    void finish(uint64_t n)
    {
        if (state[n] == "running")
        {
            state[n] = "answered";
        }
    }

    void cancel(uint64_t n)
    {
        if (n >= floor && (state[n].empty() || state[n] == "queued"))
        {
            state[n] = "not run";
        }
    }

    void gather(const submission_id& id)
    {
        gathered.insert(id);
        for (auto& [n, s] : state)
        {
            if (n >= floor && s == "queued" && job[n] == id)
            {
                s = "not run";
            }
        }
    }

    uint64_t floor = 0;
    std::map<uint64_t, std::string> state;
    std::map<uint64_t, submission_id> job;
    std::set<submission_id> gathered;
};

// random operations on the ledger and the model

struct operation
{
    unsigned kind;
    uint64_t sequence;
    uint64_t choice;
};

std::vector<operation> to_operations(const std::vector<uint32_t>& numbers)
{
    std::vector<operation> out;
    out.reserve(numbers.size());
    for (const auto n : numbers)
    {
        out.push_back({n % 10, 1 + n / 10 % 8, n / 80 % 12});
    }
    return out;
}

// Applies the same operations to a ledger and to the reference model, and
// checks that no start is begun twice or after it was reported as not run.
struct checked_ledger
{
    start_ledger ledger{self, max_records};
    model_ledger model;
    std::map<uint64_t, int> begun;
    std::set<uint64_t> reported_not_run;

    void apply(const operation& op)
    {
        const auto n = op.sequence;
        const start_sequence sequence(n);
        switch (op.kind)
        {
        case 0:
        case 1:
        case 2:
            order(op);
            break;
        case 3:
        case 4:
            begin(n);
            break;
        case 5:
            ledger.finish(sequence, answer("a" + std::to_string(n)));
            model.finish(n);
            break;
        case 6:
            ledger.cancel(sequence);
            model.cancel(n);
            break;
        case 7:
            // The floor is raised rarely: an operation below the floor is
            // refused, so most operations would test nothing else.
            if (op.choice < 4)
            {
                ledger.acknowledge(sequence);
                model.floor = std::max(model.floor, n);
            }
            break;
        case 8:
            gather(1 + op.choice % 3);
            break;
        default:
            if (op.choice % 2 == 0)
            {
                ledger.resend_all();
            }
            check_reports();
        }
    }

    void order(const operation& op)
    {
        auto o = make_order(op.sequence, 1 + op.sequence % 3);
        o.deadline_us = op.choice == 0 ? now_us : 0;
        o.agent = op.choice == 1 ? agent_incarnation(8) : self;
        const auto* refusal = op.choice == 2 ? &no_slot : nullptr;
        RC_ASSERT(ledger.decide(o, now_us, refusal) ==
                  model.decide(o, refusal));
    }

    void begin(uint64_t n)
    {
        const bool may = ledger.begin(start_sequence(n));
        RC_ASSERT(may == model.begin(n));
        if (may)
        {
            RC_ASSERT(++begun[n] == 1);
            RC_ASSERT(reported_not_run.count(n) == 0U);
            RC_ASSERT(n >= ledger.acknowledged_below().value());
        }
    }

    void gather(uint64_t job)
    {
        const auto held = ledger.gather(submission(job), 1 << 20);
        model.gather(submission(job));
        for (const auto& it : held.reported)
        {
            check(it.report);
        }
        std::size_t running = 0;
        for (const auto& [n, s] : model.state)
        {
            running += s == "running" && model.job[n] == submission(job);
        }
        RC_ASSERT(held.running == running);
    }

    void check_reports()
    {
        for (const auto& r : ledger.take_reports(1 << 20))
        {
            check(r);
        }
        RC_ASSERT(!ledger.has_reports());
    }

    void check(const start_report& r)
    {
        const auto n = r.sequence.value();
        const auto code = static_cast<errc>(r.error);
        if (code == errc::start_wrong_incarnation)
        {
            return;
        }
        if (code == errc::start_stale)
        {
            RC_ASSERT(r.kind == report_kind::failed);
            return;
        }
        if (r.kind == report_kind::not_run)
        {
            reported_not_run.insert(n);
            RC_ASSERT(begun[n] == 0);
            RC_ASSERT(model.state[n] == "not run");
            return;
        }
        RC_ASSERT(model.state[n] == "answered");
        RC_ASSERT(r.body == "a" + std::to_string(n));
    }
};

} // namespace

TEST_CASE("start_ledger: matches a model that keeps all records, for random "
          "operations")
{
    rc::prop("a start runs at most once, and never after it was refused",
             [](const std::vector<uint32_t>& numbers)
             {
                 checked_ledger checked;
                 for (const auto& op : to_operations(numbers))
                 {
                     checked.apply(op);
                 }
                 checked.check_reports();
                 RC_ASSERT(checked.ledger.size() ==
                           checked.ledger.queued() + checked.ledger.running() +
                               checked.ledger.unacknowledged());
             });
}

TEST_CASE("start_ledger: a refused or duplicate order gets the right report")
{
    struct row
    {
        const char* name;
        std::function<void(start_ledger&)> before;
        std::function<void(start_order&)> change;
        const start_refusal* refusal;
        start_verdict verdict;
        report_kind kind;
        errc error;
        std::size_t recorded;
    };
    const auto no_change = [](auto&) {
    };
    const row rows[] = {
        {"past its deadline", no_change,
         [](start_order& o) { o.deadline_us = now_us; }, nullptr,
         start_verdict::refused, report_kind::not_run,
         errc::start_past_deadline, 1},
        {"no slot", no_change, no_change, &no_slot, start_verdict::refused,
         report_kind::not_run, errc::start_refused, 1},
        {"another incarnation", no_change,
         [](start_order& o) { o.agent = agent_incarnation(8); }, nullptr,
         start_verdict::misplaced, report_kind::not_run,
         errc::start_wrong_incarnation, 0},
        {"below the floor",
         [](start_ledger& l) { l.acknowledge(start_sequence(6)); }, no_change,
         nullptr, start_verdict::stale, report_kind::failed, errc::start_stale,
         0},
        {"cancelled before its order arrives",
         [](start_ledger& l) { l.cancel(start_sequence(5)); }, no_change,
         nullptr, start_verdict::known, report_kind::not_run, errc::cancelled,
         1},
        {"of a gathered submission",
         [](start_ledger& l) { l.gather(submission(1), 1); }, no_change,
         nullptr, start_verdict::refused, report_kind::not_run,
         errc::entry_lost, 1},
        {"answered before",
         [](start_ledger& l)
         {
             l.decide(make_order(5), now_us, nullptr);
             l.begin(start_sequence(5));
             l.finish(start_sequence(5), answer("whole"));
             l.take_reports(1);
         },
         no_change, &no_slot, start_verdict::known, report_kind::answered,
         errc{}, 1},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            start_ledger ledger(self, max_records);
            r.before(ledger);
            auto o = make_order(5);
            r.change(o);
            CHECK(ledger.decide(o, now_us, r.refusal) == r.verdict);
            const auto reports = ledger.take_reports(1 << 20);
            REQUIRE(reports.size() == 1);
            CHECK(reports[0].kind == r.kind);
            CHECK(reports[0].error == static_cast<int32_t>(r.error));
            CHECK(ledger.size() == r.recorded);
            CHECK_FALSE(ledger.begin(start_sequence(5)));
        }
    }
}

TEST_CASE("start_ledger: a full ledger neither accepts nor reports a start")
{
    start_ledger ledger(self, 2);
    CHECK(ledger.decide(make_order(1), now_us, nullptr) ==
          start_verdict::accepted);
    CHECK(ledger.decide(make_order(2), now_us, nullptr) ==
          start_verdict::accepted);
    CHECK(ledger.decide(make_order(3), now_us, nullptr) ==
          start_verdict::ignored);
    ledger.cancel(start_sequence(4));
    CHECK(ledger.size() == 2);
    CHECK_FALSE(ledger.has_reports());
}

TEST_CASE(
    "start_ledger: reports are sent in batches until they are acknowledged")
{
    start_ledger ledger(self, max_records);
    for (uint64_t n = 1; n <= 3; ++n)
    {
        ledger.decide(make_order(n), now_us, nullptr);
        ledger.begin(start_sequence(n));
        ledger.finish(start_sequence(n), answer(std::string(100, 'x')));
    }
    CHECK(ledger.take_reports(150).size() == 2);
    CHECK(ledger.take_reports(150).size() == 1);
    CHECK(ledger.take_reports(150).empty());
    ledger.acknowledge(start_sequence(3));
    ledger.resend_all();
    const auto again = ledger.take_reports(150);
    REQUIRE(again.size() == 1);
    CHECK(again[0].sequence == start_sequence(3));
}

TEST_CASE("start_ledger: a record takes less than 512 bytes")
{
    constexpr uint64_t n = 20000;
    start_ledger ledger(self, n);
    const auto before = mallinfo2().uordblks;
    for (uint64_t i = 1; i <= n; ++i)
    {
        ledger.decide(make_order(i), now_us, &no_slot);
    }
    const auto bytes = (mallinfo2().uordblks - before) / n;
    std::cout << "start_ledger: " << bytes << " bytes per tracked start\n";
    CHECK(bytes < 512);
}
