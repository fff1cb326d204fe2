#include "fault_schedule.hpp"

#include <csignal>

namespace agatebank
{

namespace
{

constexpr auto min_fault_duration = std::chrono::milliseconds(500);
constexpr auto max_fault_duration = std::chrono::milliseconds(3000);
constexpr auto max_second_fault_delay = std::chrono::milliseconds(500);
constexpr auto recovery_time = std::chrono::milliseconds(1500);
constexpr auto stop_timeout = std::chrono::seconds(20);

void add_process_faults(std::vector<timed_fault>& out, const std::string& name)
{
    out.push_back({"kill", name,
                   [name](cluster_fixture& t) { t.nodes.process(name).kill(); },
                   [name](cluster_fixture& t)
                   {
                       t.nodes.start(name);
                   }});
    out.push_back({"suspend", name,
                   [name](cluster_fixture& t)
                   { t.nodes.process(name).signal(SIGSTOP); },
                   [name](cluster_fixture& t)
                   {
                       t.nodes.process(name).signal(SIGCONT);
                   }});
    out.push_back({"stop", name,
                   [name](cluster_fixture& t)
                   { t.nodes.process(name).signal(SIGTERM); },
                   [name](cluster_fixture& t)
                   {
                       auto& p = t.nodes.process(name);
                       CHECK(p.wait(stop_timeout).value_or(-1) == 0);
                       t.nodes.start(name);
                   }});
}

void add_link_faults(std::vector<timed_fault>& out, const std::string& target,
                     std::size_t entry)
{
    const auto component = target + "-link-" + std::to_string(entry + 1);
    out.push_back({"cut", component,
                   [=](cluster_fixture& t)
                   { t.nodes.relay(target, entry).cut(); },
                   [](cluster_fixture&) {
                   }});
    out.push_back({"forget", component,
                   [=](cluster_fixture& t)
                   { t.nodes.relay(target, entry).forget(); },
                   [](cluster_fixture&) {
                   }});
    out.push_back({"hold", component,
                   [=](cluster_fixture& t)
                   { t.nodes.relay(target, entry).hold(true); },
                   [=](cluster_fixture& t)
                   {
                       t.nodes.relay(target, entry).hold(false);
                   }});
    out.push_back({"block", component,
                   [=](cluster_fixture& t)
                   {
                       t.nodes.relay(target, entry).block(true);
                       t.nodes.relay(target, entry).forget();
                   },
                   [=](cluster_fixture& t)
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
                       [=](cluster_fixture& t) {
                           t.nodes.target_mode(name, {{"mode", mode}});
                       },
                       [=](cluster_fixture& t)
                       {
                           t.nodes.target_mode(name, {{"mode", "ok"}});
                       }});
    }
    const auto path = "/v1/admin/targets/" + name;
    out.push_back({"drain", "target-" + name,
                   [=](cluster_fixture& t)
                   { t.nodes.admin(0, "POST", path + "/drain"); },
                   [=](cluster_fixture& t)
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
                       [faults = row.faults](cluster_fixture& t)
                       { t.nodes.platform_faults(faults); },
                       [](cluster_fixture& t)
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

fault_schedule::fault_schedule(cluster_fixture& t, uint64_t seed)
    : fixture_(t), faults_(all_faults(t.nodes.options())), random_(seed)
{
}

duration fault_schedule::draw_duration(duration min, duration max)
{
    return duration(std::uniform_int_distribution<int64_t>(
        min.count(), max.count())(random_));
}

void fault_schedule::run_round()
{
    const auto& first = faults_[random_() % faults_.size()];
    const auto* second = &faults_[random_() % faults_.size()];
    while (second->component == first.component)
    {
        second = &faults_[random_() % faults_.size()];
    }
    history_ += first.name + " " + first.component + " and " + second->name +
                " " + second->component + "\n";
    first.inject(fixture_);
    run_for(fixture_.loop, draw_duration({}, max_second_fault_delay));
    second->inject(fixture_);
    run_for(fixture_.loop,
            draw_duration(min_fault_duration, max_fault_duration));
    for (const auto* fault : {&first, second})
    {
        fault->remove(fixture_);
    }
    run_for(fixture_.loop, recovery_time);
}

const std::string& fault_schedule::history() const noexcept
{
    return history_;
}

} // namespace agatebank
