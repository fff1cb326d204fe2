#include "scenarios.hpp"

#include "demo_plan.hpp"
#include "process_usage.hpp"
#include <agatebank/harness/cluster.hpp>
#include <agatebank/harness/run_until.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace agatebank
{

namespace
{

constexpr uint64_t plan_seed = 1;
constexpr duration ready_timeout = std::chrono::seconds(30);
constexpr duration job_wait = std::chrono::seconds(20);
constexpr unsigned parallel_jobs = 16;
constexpr int64_t task_run_ms = 1;

// A cluster with the example's targets, all at speed 1.0. If the example has
// too few targets, copies of its first target are added.
cluster_options make_options(const bench_sizes& sizes, unsigned entries,
                             unsigned agents)
{
    auto plan = read_plan(sizes.example, plan_seed);
    auto out = plan.cluster;
    out.import = true;
    out.caller_token = plan.caller_tokens.front();
    out.entry_domains.resize(entries, out.entry_domains.front());
    const auto template_target = out.targets.front();
    for (unsigned i = static_cast<unsigned>(out.targets.size()); i < agents;
         ++i)
    {
        out.targets.push_back(template_target);
        out.targets.back().name = "t-added-" + std::to_string(i);
    }
    out.targets.resize(agents);
    for (auto& it : out.targets)
    {
        it.speed = 1.0;
    }
    return out;
}

void require_ready(cluster& c, std::size_t targets)
{
    if (!c.wait_targets(0, targets, ready_timeout))
    {
        throw std::runtime_error("the targets did not become ready");
    }
}

job_request make_job(const std::string& name, unsigned tasks, int64_t run_ms)
{
    job_request job{"pall-enquiry", "by-the-hour", true, {}};
    for (unsigned i = 0; i < tasks; ++i)
    {
        job.tasks.push_back({run_ms, name + "#" + std::to_string(i)});
    }
    return job;
}

double quantile(std::vector<double> sample, double q)
{
    std::sort(sample.begin(), sample.end());
    const auto last = static_cast<double>(sample.size() - 1);
    return sample.at(static_cast<std::size_t>(std::lround(q * last)));
}

double elapsed_ms(const caller_reply& r)
{
    return static_cast<double>(r.got_us - r.sent_us) / 1000.0;
}

double total_processor_ms(cluster& c, const std::string& prefix)
{
    double sum = 0;
    for (const auto& name : c.names())
    {
        if (name.rfind(prefix, 0) == 0)
        {
            sum += read_usage(c.process(name).pid()).processor_ms;
        }
    }
    return sum;
}

// Response times in milliseconds of sequential single-task requests through the
// entry.
std::vector<double> time_requests(cluster& c, job_caller& caller,
                                  const std::string& name, unsigned n)
{
    std::vector<double> out;
    const auto ids = caller.reserve(c.entry_url(0), n);
    for (unsigned i = 0; i < n; ++i)
    {
        const auto r = caller.submit_now(
            c.entry_url(0), ids.at(i), make_job(name + std::to_string(i), 1, 0),
            job_wait);
        if (r.state != "complete")
        {
            throw std::runtime_error("a single-task request failed: " + r.body);
        }
        out.push_back(elapsed_ms(r));
    }
    return out;
}

// Response times in milliseconds of direct calls to the target with the same
// task.
std::vector<double> time_direct(cluster& c, job_caller& caller, unsigned n)
{
    std::vector<double> out;
    const auto url =
        c.target_url(c.options().targets.front().name) + "/v1/tasks";
    for (unsigned i = 0; i < n; ++i)
    {
        const auto r = caller.call_now("POST", url,
                                       R"({"run_ms":0,"echo":"direct-)" +
                                           std::to_string(i) + "\"}");
        out.push_back(elapsed_ms(r));
    }
    return out;
}

// Compares n requests through the entry with n direct calls, after n / 10
// unmeasured warm-up requests through the entry.
std::vector<bench_row> compare_latency(cluster& c, job_caller& caller,
                                       const std::string& connection_mode,
                                       unsigned n, const std::string& target)
{
    time_requests(c, caller, connection_mode + " first ", n / 10);
    const auto direct = time_direct(c, caller, n);
    const auto before = total_processor_ms(c, "entry-");
    const auto through_entry = time_requests(c, caller, connection_mode, n);
    const auto used = total_processor_ms(c, "entry-") - before;
    const double p99 = quantile(through_entry, 0.99) - quantile(direct, 0.99);
    return {
        {"direct call, median, " + connection_mode, quantile(direct, 0.5), "ms",
         ""},
        {"direct call, 99th percentile, " + connection_mode,
         quantile(direct, 0.99), "ms", ""},
        {"whole path, median, " + connection_mode, quantile(through_entry, 0.5),
         "ms", ""},
        {"whole path, 99th percentile, " + connection_mode,
         quantile(through_entry, 0.99), "ms", ""},
        {"added at the 99th percentile, " + connection_mode, p99, "ms", target},
        {"entry's processor time per single-task request, " + connection_mode,
         used / n, "ms", ""}};
}

double agent_metric(cluster& c, const std::string& name)
{
    const auto r = c.caller().call_now(
        "GET",
        c.agent_url(c.options().targets.front().name) + "/metrics?format=json");
    const auto document = nlohmann::json::parse(r.body);
    for (const auto& it : document.at("metrics"))
    {
        if (it.at("name") == name)
        {
            return it.at("value").get<double>();
        }
    }
    return 0;
}

double control_bytes(cluster& c)
{
    return agent_metric(c, "agatebank_link_bytes_sent") +
           agent_metric(c, "agatebank_link_bytes_received");
}

} // namespace

std::vector<bench_row> measure_latency(const bench_sizes& sizes)
{
    event_loop loop;
    cluster c(loop, make_options(sizes, 1, 1));
    require_ready(c, 1);
    job_caller persistent_caller(loop, c.options().caller_token, true);
    auto out = compare_latency(c, persistent_caller, "kept connection",
                               sizes.latency_requests, "< 3 ms");
    const auto fresh = compare_latency(c, c.caller(), "new connection",
                                       sizes.latency_requests, "< 3 ms");
    out.insert(out.end(), fresh.begin(), fresh.end());
    return out;
}

std::vector<bench_row> measure_jobs(const bench_sizes& sizes)
{
    event_loop loop;
    cluster c(loop, make_options(sizes, 1, 10));
    require_ready(c, 10);
    const auto ids = c.caller().reserve(c.entry_url(0), sizes.jobs);
    const auto entry = total_processor_ms(c, "entry-");
    const auto agents = total_processor_ms(c, "agent-");
    const auto load_start = loop.now();
    unsigned sent = 0;
    unsigned done = 0;
    unsigned complete = 0;
    const auto send_more = [&]
    {
        while (sent < sizes.jobs && sent - done < parallel_jobs)
        {
            const auto job = make_job("job-" + std::to_string(sent),
                                      sizes.job_tasks, task_run_ms);
            c.caller().submit(c.entry_url(0), ids.at(sent), job, job_wait,
                              [&](const caller_reply& r)
                              {
                                  ++done;
                                  complete += r.state == "complete" ? 1U : 0U;
                              });
            ++sent;
        }
        return done == sizes.jobs;
    };
    run_until(loop, std::chrono::minutes(2), send_more);
    const auto took =
        std::chrono::duration<double>(loop.now() - load_start).count();
    const double tasks = double(complete) * sizes.job_tasks;
    const auto entry_ms = total_processor_ms(c, "entry-") - entry;
    const auto agents_ms = total_processor_ms(c, "agent-") - agents;
    return {
        {"jobs complete", double(complete), "of " + std::to_string(done), ""},
        {"starts a second, all processes on one machine", tasks / took, "1/s",
         ""},
        {"entry's processor time per job of " +
             std::to_string(sizes.job_tasks) + " tasks",
         entry_ms / complete, "ms", "< 5 ms"},
        {"entry's processor time per start", 1000 * entry_ms / tasks, "us", ""},
        {"starts a second that one core of entry carries",
         1000 * tasks / entry_ms, "1/s", ">= 5000/s"},
        {"agent's processor time per start", 1000 * agents_ms / tasks, "us",
         ""}};
}

std::vector<bench_row> measure_idle(const bench_sizes& sizes, unsigned entries,
                                    unsigned agents)
{
    event_loop loop;
    cluster c(loop, make_options(sizes, entries, agents));
    require_ready(c, agents);
    run_for(loop, std::chrono::seconds(2));
    const auto agent_pid =
        c.process("agent-" + c.options().targets.front().name).pid();
    const auto entry_pid = c.process("entry-1").pid();
    const auto agent = read_usage(agent_pid);
    const auto entry = read_usage(entry_pid);
    const auto bytes = control_bytes(c);
    run_for(loop, std::chrono::seconds(sizes.idle_s));
    const auto agent_end = read_usage(agent_pid);
    const auto entry_end = read_usage(entry_pid);
    const double s = sizes.idle_s;
    const auto of = " with " + std::to_string(entries) + " entries and " +
                    std::to_string(agents) + " agents";
    const auto share = [s](const process_usage& a, const process_usage& b)
    {
        return (b.processor_ms - a.processor_ms) / (10 * s);
    };
    return {{"idle agent's processor time" + of, share(agent, agent_end),
             "% of a core", "<= 1.1 %"},
            {"idle agent's memory" + of, double(agent_end.resident_kib) / 1024,
             "MiB", "< 32 MB"},
            {"idle agent's control traffic" + of,
             (control_bytes(c) - bytes) / s / 1000, "KB/s", "< 3 KB/s"},
            {"idle entry's processor time" + of, share(entry, entry_end),
             "% of a core", ""},
            {"idle entry's memory" + of, double(entry_end.resident_kib) / 1024,
             "MiB", ""}};
}

} // namespace agatebank
