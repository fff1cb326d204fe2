#include "node_cluster.hpp"

#include <agatebank/harness/cluster.hpp>
#include <agatebank/harness/run_until.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

std::string make_directory()
{
    char* made = g_dir_make_tmp("agatebank-XXXXXX", nullptr);
    std::string out = made;
    g_free(made);
    return out;
}

int64_t to_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

std::string at(const std::string& ip, uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

node_cluster::node_cluster(const cluster_plan& plan)
    : plan_(plan)
    , directory_(make_directory())
    , link_port_(ports_.take())
    , callers_port_(ports_.take())
    , readiness_port_(ports_.take())
    , metrics_port_(ports_.take())
    , control_port_(ports_.take())
    , target_port_(ports_.take())
    , store_port_(ports_.take())
    , entries_(plan.entries)
    , agents_(plan.agents)
    , client_(loop)
{
    for (std::size_t i = 0; i < plan.entries; ++i)
    {
        stores.push_back(
            std::make_unique<store_stand_in>(loop, entry_ip(i), store_port_));
        if (plan.network)
        {
            const auto add_relay = [this, i](auto& relays, uint16_t port)
            {
                relays.push_back(
                    std::make_unique<tcp_relay>(endpoint{reachable_ip(i), port},
                                                endpoint{entry_ip(i), port}));
            };
            add_relay(link_relays_, link_port_);
            add_relay(caller_relays_, callers_port_);
        }
    }
    configure(1);
    for (std::size_t i = 0; i < plan.entries; ++i)
    {
        start_entry(i);
    }
    for (std::size_t i = 0; i < plan.agents; ++i)
    {
        targets.push_back(std::make_unique<target_stand_in>(
            loop, timers, ledger, "i-" + std::to_string(i), agent_ip(i),
            target_port_, at(agent_ip(i), control_port_), plan.run_time));
        targets.back()->set_failure_domain(
            "z" + std::to_string(i % plan.domains + 1));
        if (plan.announcement_period.count() != 0)
        {
            targets.back()->set_announcement_period(
                plan.announcement_period, plan.announcement_period *
                                              static_cast<int>(i) /
                                              static_cast<int>(plan.agents));
        }
        start_agent(i);
    }
}

node_cluster::~node_cluster()
{
    entries_.clear();
    agents_.clear();
    if (std::getenv("AGATEBANK_KEEP_LOGS") == nullptr)
    {
        std::filesystem::remove_all(directory_);
    }
}

// settings

std::string node_cluster::entry_ip(std::size_t i) const
{
    return "127.0.1." + std::to_string(i + 1);
}

std::string node_cluster::reachable_ip(std::size_t entry) const
{
    return plan_.network ? "127.0.4." + std::to_string(entry + 1)
                         : entry_ip(entry);
}

std::string node_cluster::agent_ip(std::size_t i) const
{
    return "127.0.2." + std::to_string(i + 1);
}

std::string node_cluster::file(const std::string& name) const
{
    return directory_ + "/" + name;
}

std::string
node_cluster::configuration(uint64_t version,
                            const std::vector<std::string>& more_prefixes)
{
    auto routes = json::array();
    auto prefixes = more_prefixes;
    prefixes.emplace_back("/q/");
    for (const auto& it : prefixes)
    {
        routes.push_back({{"name", "r" + it},
                          {"host", "desk.example"},
                          {"pathPrefix", it},
                          {"kind", "unsafe"},
                          {"timeoutMs", 1500},
                          {"targetLatencyMs", 60},
                          {"priority", 0},
                          {"service", "desk"},
                          {"maxAttempts", 3},
                          {"stretch", 1.6}});
    }
    return json{{"version", version}, {"routes", routes}}.dump();
}

void node_cluster::configure(uint64_t version,
                             const std::vector<std::string>& more_prefixes)
{
    for (const auto& it : stores)
    {
        it->write(configuration(version, more_prefixes));
    }
}

std::string node_cluster::agent_name(std::size_t i)
{
    return "agent-" + std::to_string(i);
}

json node_cluster::agent_settings(std::size_t i, bool with_seed) const
{
    const auto ip = agent_ip(i);
    auto seeds = json::array();
    if (with_seed)
    {
        seeds.push_back(at(reachable_ip(0), control_port_));
    }
    return {{"link_port", link_port_},
            {"seeds", seeds},
            {"metrics", at(ip, metrics_port_)},
            {"announcements", at(ip, control_port_)},
            {"target", at(ip, target_port_)}};
}

void node_cluster::write_settings(const std::string& name,
                                  const json& settings) const
{
    const json document{{"name", name},
                        {"failure_domain", "z1"},
                        {"log_level", plan_.log_level},
                        {"node", settings}};
    std::ofstream(file(name + ".json")) << document.dump();
}

// processes

std::unique_ptr<child_process> node_cluster::run(const char* role,
                                                 const std::string& name,
                                                 const json& settings)
{
    write_settings(name, settings);
    return std::make_unique<child_process>(
        loop,
        std::vector<std::string>{program_path("agatebankd"), role, "--config",
                                 file(name + ".json")},
        file(name + ".log"));
}

void node_cluster::start_entry(std::size_t i)
{
    const auto ip = entry_ip(i);
    json settings{{"address", ip},
                  {"link_port", link_port_},
                  {"seeds", {at(reachable_ip(0), control_port_)}},
                  {"metrics", at(ip, metrics_port_)},
                  {"callers", at(ip, callers_port_)},
                  {"readiness", at(ip, readiness_port_)},
                  {"table_service", stores[i]->address()}};
    if (plan_.network)
    {
        settings["advertised_address"] = reachable_ip(i);
    }
    if (plan_.poll_spacing_us != 0)
    {
        settings["poll_spacing_us"] = plan_.poll_spacing_us;
    }
    if (plan_.announcement_period.count() != 0)
    {
        settings["announcement_period_ms"] = to_ms(plan_.announcement_period);
    }
    if (plan_.processor_share > 0)
    {
        settings["processor_share"] = plan_.processor_share;
    }
    if (!plan_.relay_shares.empty())
    {
        settings["relay"] = true;
        settings["processor_share"] = plan_.relay_shares.at(i);
    }
    silent_links_.erase(i);
    entries_[i] = run("entry", "entry-" + std::to_string(i), settings);
}

void node_cluster::silence_links(std::size_t i)
{
    silent_links_.try_emplace(i, entry_ip(i), link_port_);
}

void node_cluster::start_agent(std::size_t i)
{
    agents_[i] =
        run("agent", agent_name(i), agent_settings(i, plan_.seeded_agents));
}

void node_cluster::write_agent_settings(std::size_t i, bool with_seed,
                                        const std::string& text)
{
    if (text.empty())
    {
        write_settings(agent_name(i), agent_settings(i, with_seed));
        return;
    }
    std::ofstream(file(agent_name(i) + ".json")) << text;
}

bool node_cluster::agent_logged(std::size_t i, const std::string& text) const
{
    return !agent_log(i, text).empty();
}

std::string node_cluster::entry_log(std::size_t i,
                                    const std::string& text) const
{
    return log_lines("entry-" + std::to_string(i), text);
}

std::string node_cluster::agent_log(std::size_t i,
                                    const std::string& text) const
{
    return log_lines(agent_name(i), text);
}

std::string node_cluster::log_lines(const std::string& name,
                                    const std::string& text) const
{
    std::ifstream in(file(name + ".log"));
    std::string out;
    for (std::string line; std::getline(in, line);)
    {
        if (line.find(text) != std::string::npos)
        {
            out += line + "\n";
        }
    }
    return out;
}

tcp_relay& node_cluster::link_relay(std::size_t entry)
{
    return *link_relays_.at(entry);
}

tcp_relay& node_cluster::caller_relay(std::size_t entry)
{
    return *caller_relays_.at(entry);
}

child_process& node_cluster::entry(std::size_t i)
{
    return *entries_[i];
}

child_process& node_cluster::agent(std::size_t i)
{
    return *agents_[i];
}

unsigned node_cluster::readiness(std::size_t i)
{
    http_call call;
    call.url = "http://" + at(entry_ip(i), readiness_port_) + "/v1/readiness";
    call.timeout = 1s;
    std::optional<unsigned> status;
    const auto handle = client_.send(call, [&status](const auto& r)
                                     { status = r ? r->status : 0; });
    run_until(loop, 2s, [&status] { return status.has_value(); });
    return status.value_or(0);
}

void node_cluster::evacuate(const std::string& domain, const std::string& value)
{
    for (const auto& it : stores)
    {
        it->put("evacuate/" + domain, value);
    }
}

void node_cluster::return_to_service(const std::string& domain)
{
    for (const auto& it : stores)
    {
        it->erase("evacuate/" + domain);
    }
}

double node_cluster::agent_metric(std::size_t i, const std::string& name)
{
    return metric(agent_ip(i), name);
}

double node_cluster::entry_metric(std::size_t i, const std::string& name)
{
    return metric(entry_ip(i), name);
}

double node_cluster::metric(const std::string& ip, const std::string& name)
{
    http_call call;
    call.url = "http://" + at(ip, metrics_port_) + "/metrics";
    call.timeout = 1s;
    std::optional<std::string> body;
    const auto handle = client_.send(call, [&body](const auto& r)
                                     { body = r ? r->body : std::string(); });
    run_until(loop, 2s, [&body] { return body.has_value(); });
    std::istringstream lines(body.value_or(""));
    for (std::string line; std::getline(lines, line);)
    {
        if (line.rfind(name + " ", 0) == 0)
        {
            return std::stod(line.substr(name.size()));
        }
    }
    return -1;
}

// An entry is ready with its first target. The last wait lets every entry learn
// of all targets, so that each can place jobs on all.
bool node_cluster::wait_ready(duration timeout)
{
    const auto end = loop.now() + timeout;
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        while (readiness(i) != 200)
        {
            if (loop.now() > end)
            {
                return false;
            }
            run_for(loop, 50ms);
        }
    }
    run_for(loop, 500ms);
    return true;
}

// callers

std::string node_cluster::job_body(unsigned tasks, const std::string& payload,
                                   duration estimate)
{
    json step{{"count", tasks},
              {"cpu", 1000},
              {"memMb", 8},
              {"estimateMs", to_ms(estimate)}};
    if (payload.starts_with(kind_payload))
    {
        step["requirements"] = payload.substr(kind_payload.size());
    }
    return json{
        {"spec", payload}, {"bestEffort", true}, {"steps", json::array({step})}}
        .dump();
}

std::string node_cluster::metrics_url(std::size_t entry) const
{
    return "http://" + at(entry_ip(entry), metrics_port_);
}

endpoint node_cluster::callers(std::size_t entry) const
{
    return {reachable_ip(entry), callers_port_};
}

endpoint node_cluster::links(std::size_t entry) const
{
    return {entry_ip(entry), link_port_};
}

std::size_t node_cluster::submit(std::size_t entry, const std::string& id,
                                 unsigned tasks, duration deadline,
                                 const std::string& prefix,
                                 const std::string& payload)
{
    return send_job(callers(entry), prefix + id,
                    job_body(tasks, payload, plan_.estimate), deadline);
}

std::size_t node_cluster::submit_to(const endpoint& callers,
                                    const std::string& id, duration deadline)
{
    return send_job(callers, "/q/" + id, job_body(1, "x", plan_.estimate),
                    deadline);
}

std::size_t node_cluster::send_job(const endpoint& callers,
                                   const std::string& path,
                                   const std::string& body, duration deadline)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + callers.to_string() + path;
    call.headers = {{"Host", "desk.example"},
                    {"Deadline-Ms", std::to_string(to_ms(deadline))}};
    call.body = body;
    call.timeout = deadline + 2s;
    call.may_resend = plan_.keep_connections;
    jobs_.push_back(std::make_unique<caller_job>());
    auto* j = jobs_.back().get();
    j->submitted = loop.now();
    j->call = client_.send(call,
                           [this, j](const auto& r)
                           {
                               j->ended = true;
                               j->took = loop.now() - j->submitted;
                               if (!r)
                               {
                                   return;
                               }
                               j->status = r->status;
                               j->body = r->body;
                               for (const auto& h : r->headers)
                               {
                                   if (h.name == "Retry-After")
                                   {
                                       j->retry_after = h.value;
                                   }
                               }
                           });
    return jobs_.size() - 1;
}

void node_cluster::disconnect(std::size_t job)
{
    jobs_[job]->call.reset();
    jobs_[job]->ended = true;
}

const caller_job& node_cluster::job(std::size_t n) const
{
    return *jobs_[n];
}

bool node_cluster::wait_ended(std::size_t job, duration timeout)
{
    return run_until(loop, timeout, [this, job] { return jobs_[job]->ended; });
}

endpoint node_cluster::announcements(std::size_t agent) const
{
    return {agent_ip(agent), control_port_};
}

} // namespace agatebank
