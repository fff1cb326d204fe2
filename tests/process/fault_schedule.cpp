#include "fault_schedule.hpp"

#include <csignal>

namespace agatebank
{

namespace
{

constexpr auto min_length = std::chrono::milliseconds(500);
constexpr auto max_length = std::chrono::milliseconds(3000);
constexpr auto max_offset = std::chrono::milliseconds(500);
constexpr auto settle_time = std::chrono::milliseconds(1500);
constexpr auto stop_time = std::chrono::seconds(20);

void add_process_faults(std::vector<timed_fault>& out, const std::string& name)
{
    out.push_back({"kill", name,
                   [name](trial& t) { t.nodes.process(name).kill(); },
                   [name](trial& t)
                   {
                       t.nodes.start(name);
                   }});
    out.push_back({"freeze", name,
                   [name](trial& t) { t.nodes.process(name).signal(SIGSTOP); },
                   [name](trial& t)
                   {
                       t.nodes.process(name).signal(SIGCONT);
                   }});
    out.push_back({"stop", name,
                   [name](trial& t) { t.nodes.process(name).signal(SIGTERM); },
                   [name](trial& t)
                   {
                       auto& p = t.nodes.process(name);
                       CHECK(p.wait(stop_time).value_or(-1) == 0);
                       t.nodes.start(name);
                   }});
}

void add_link_faults(std::vector<timed_fault>& out, const std::string& target,
                     std::size_t entry)
{
    const auto victim = target + "-link-" + std::to_string(entry + 1);
    out.push_back({"cut", victim,
                   [=](trial& t) { t.nodes.relay(target, entry).cut(); },
                   [](trial&) {
                   }});
    out.push_back({"forget", victim,
                   [=](trial& t) { t.nodes.relay(target, entry).forget(); },
                   [](trial&) {
                   }});
    out.push_back({"hold", victim,
                   [=](trial& t) { t.nodes.relay(target, entry).hold(true); },
                   [=](trial& t)
                   {
                       t.nodes.relay(target, entry).hold(false);
                   }});
    out.push_back({"block", victim,
                   [=](trial& t)
                   {
                       t.nodes.relay(target, entry).block(true);
                       t.nodes.relay(target, entry).forget();
                   },
                   [=](trial& t)
                   {
                       t.nodes.relay(target, entry).block(false);
                   }});
}

void add_target_faults(std::vector<timed_fault>& out, const std::string& name)
{
    for (const char* mode : {"hang", "fail_fast", "garbage",
                             "half_answer_then_close", "close_after_head"})
    {
        out.push_back({mode, "target-" + name,
                       [=](trial& t) {
                           t.nodes.target_mode(name, {{"mode", mode}});
                       },
                       [=](trial& t)
                       {
                           t.nodes.target_mode(name, {{"mode", "ok"}});
                       }});
    }
    const auto path = "/v1/admin/targets/" + name;
    out.push_back({"drain", "target-" + name,
                   [=](trial& t) { t.nodes.admin(0, "POST", path + "/drain"); },
                   [=](trial& t)
                   {
                       t.nodes.admin(1, "POST", path + "/start");
                   }});
}

void add_store_faults(std::vector<timed_fault>& out)
{
    const struct
    {
        const char* name;
        nlohmann::json faults;
    } rows[] = {
        {"outage", {{"outage", true}}},
        {"slow", {{"delay_ms", 1500}}},
        {"lost replies", {{"lose_replies", 3}}},
        {"rate limit", {{"max_reads_per_s", 1}, {"max_writes_per_s", 1}}},
    };
    for (const auto& row : rows)
    {
        out.push_back({row.name, "store",
                       [faults = row.faults](trial& t)
                       { t.nodes.platform_faults(faults); },
                       [](trial& t)
                       {
                           t.nodes.platform_faults({{"outage", false},
                                                    {"delay_ms", 0},
                                                    {"lose_replies", 0},
                                                    {"max_reads_per_s", 2000},
                                                    {"max_writes_per_s", 300}});
                       }});
    }
}

} // namespace

std::vector<timed_fault> all_faults(const cluster_options& options)
{
    std::vector<timed_fault> out;
    add_store_faults(out);
    for (std::size_t i = 0; i < options.entry_domains.size(); ++i)
    {
        add_process_faults(out, "entry-" + std::to_string(i + 1));
    }
    for (const auto& t : options.targets)
    {
        add_process_faults(out, "agent-" + t.name);
        add_process_faults(out, "target-" + t.name);
        add_target_faults(out, t.name);
        for (std::size_t i = 0; i < options.entry_domains.size(); ++i)
        {
            add_link_faults(out, t.name, i);
        }
    }
    return out;
}

fault_schedule::fault_schedule(trial& t, uint64_t seed)
    : trial_(t), faults_(all_faults(t.nodes.options())), random_(seed)
{
}

duration fault_schedule::draw(duration min, duration max)
{
    return duration(std::uniform_int_distribution<int64_t>(
        min.count(), max.count())(random_));
}

void fault_schedule::run_round()
{
    const auto& a = faults_[random_() % faults_.size()];
    const auto* b = &faults_[random_() % faults_.size()];
    while (b->victim == a.victim)
    {
        b = &faults_[random_() % faults_.size()];
    }
    history_ +=
        a.name + " " + a.victim + " and " + b->name + " " + b->victim + "\n";
    a.begin(trial_);
    run_for(trial_.loop, draw({}, max_offset));
    b->begin(trial_);
    run_for(trial_.loop, draw(min_length, max_length));
    for (const auto* fault : {&a, b})
    {
        fault->end(trial_);
    }
    run_for(trial_.loop, settle_time);
}

const std::string& fault_schedule::history() const noexcept
{
    return history_;
}

} // namespace agatebank
