#include "demo_plan.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>

namespace agatebank
{

namespace
{

using nlohmann::json;

// The submission times are drawn uniformly from this time span.
constexpr auto arrival_span = std::chrono::seconds(8);
// One job in this many is submitted twice.
constexpr unsigned resubmission_interval = 5;

std::string read_text(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
    {
        throw std::runtime_error("cannot read " + file);
    }
    return {std::istreambuf_iterator<char>(in), {}};
}

bool has_labels(const json& row, const json& service)
{
    const auto offered = row.value("labels", std::vector<std::string>{});
    const auto required =
        service.value("required_labels", std::vector<std::string>{});
    return std::all_of(required.begin(), required.end(),
                       [&](const std::string& label) {
                           return std::find(offered.begin(), offered.end(),
                                            label) != offered.end();
                       });
}

std::vector<cluster_target> read_targets(const json& inventory,
                                         const json& rules, const json& speeds)
{
    std::vector<cluster_target> out;
    for (const auto& row : inventory.at("inventory"))
    {
        cluster_target t;
        t.name = row.at("target");
        t.failure_domain = row.at("failure_domain");
        t.slots = row.at("slots");
        t.speed = speeds.value(t.name, 1.0);
        for (const auto& service : rules.at("services"))
        {
            if (has_labels(row, service))
            {
                t.services.push_back(service.at("name"));
            }
        }
        out.push_back(std::move(t));
    }
    return out;
}

std::vector<std::string> domains_of(const std::vector<cluster_target>& targets)
{
    std::vector<std::string> out;
    for (const auto& t : targets)
    {
        if (std::find(out.begin(), out.end(), t.failure_domain) == out.end())
        {
            out.push_back(t.failure_domain);
        }
    }
    return out;
}

double fastest_speed(const std::vector<cluster_target>& targets,
                     const std::string& service)
{
    double speed = 0;
    for (const auto& t : targets)
    {
        const auto& s = t.services;
        if (std::find(s.begin(), s.end(), service) != s.end())
        {
            speed = std::max(speed, t.speed);
        }
    }
    return speed == 0 ? 1.0 : speed;
}

// Generates the jobs of one entry of the workload list.
class job_generator
{
  public:
    job_generator(demo_plan& plan, uint64_t seed) : plan_(plan), random_(seed)
    {
    }

    void add(const json& line)
    {
        const auto n = line.at("jobs").get<unsigned>();
        for (unsigned i = 0; i < n; ++i)
        {
            plan_.jobs.push_back(make(line));
        }
    }

  private:
    int64_t draw(int64_t min, int64_t max)
    {
        return std::uniform_int_distribution<int64_t>(min, max)(random_);
    }

    planned_job make(const json& line)
    {
        planned_job p;
        p.job.service = line.at("service");
        p.job.patience = line.at("patience");
        p.job.idempotent = line.at("idempotent");
        add_tasks(p, line);
        const auto entries =
            static_cast<int64_t>(plan_.cluster.entry_domains.size());
        p.at = duration(draw(0, duration(arrival_span).count()));
        p.entry = static_cast<std::size_t>(draw(0, entries - 1));
        p.caller = plan_.jobs.size() % plan_.caller_tokens.size();
        if (plan_.jobs.size() % resubmission_interval == 0)
        {
            p.resubmitted = static_cast<resubmission>(draw(1, 3));
            p.resubmission_entry =
                (p.entry + 1) % static_cast<std::size_t>(entries);
        }
        return p;
    }

    void add_tasks(planned_job& p, const json& line)
    {
        const auto n = line.at("tasks").get<unsigned>();
        int64_t longest = 0;
        for (unsigned i = 0; i < n; ++i)
        {
            const auto run_ms =
                draw(line.at("min_run_ms"), line.at("max_run_ms"));
            longest = std::max(longest, run_ms);
            p.job.tasks.push_back(
                {run_ms, p.job.service + "/" +
                             std::to_string(plan_.jobs.size()) + "/" +
                             std::to_string(i)});
        }
        p.ideal_ms = static_cast<double>(longest) /
                     fastest_speed(plan_.cluster.targets, p.job.service);
    }

    demo_plan& plan_;
    std::mt19937_64 random_;
};

} // namespace

demo_plan read_plan(const std::string& directory, uint64_t seed)
{
    demo_plan plan;
    plan.inventory_file = directory + "/inventory.json";
    plan.rules_file = directory + "/rules.json";
    plan.cluster.inventory = read_text(plan.inventory_file);
    plan.cluster.rules = read_text(plan.rules_file);
    const auto rules = json::parse(plan.cluster.rules);
    const auto demo = json::parse(read_text(directory + "/demo.json"));
    plan.cluster.targets = read_targets(json::parse(plan.cluster.inventory),
                                        rules, demo.at("speeds"));
    plan.cluster.entry_domains = domains_of(plan.cluster.targets);
    plan.cluster.operator_token = demo.at("operator_token");
    plan.caller_tokens = demo.at("callers").get<std::vector<std::string>>();
    plan.cluster.caller_token = plan.caller_tokens.front();
    plan.cluster.import = false;
    plan.currency = demo.at("currency");
    for (const auto& it : rules.at("patience"))
    {
        plan.patience.push_back(it.at("name"));
    }
    job_generator generator(plan, seed);
    for (const auto& line : demo.at("workload"))
    {
        generator.add(line);
    }
    std::stable_sort(plan.jobs.begin(), plan.jobs.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    return plan;
}

} // namespace agatebank
