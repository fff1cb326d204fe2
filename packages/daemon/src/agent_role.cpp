#include <agatebank/agent/agent_process.hpp>
#include <agatebank/daemon/agent_metrics.hpp>
#include <agatebank/daemon/process_runtime.hpp>
#include <agatebank/daemon/roles.hpp>
#include <agatebank/observe/metrics_api.hpp>

#include <iostream>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_ready = "agent.ready";

runtime_settings to_runtime(const agent_settings& s)
{
    return {s.name, s.failure_domain.value(), s.shared_key_file, s.log_file,
            s.log_level};
}

} // namespace

result<exit_code> run_agent(const nlohmann::json& document,
                            const std::string& file, bool check_only)
{
    auto settings = parse_agent_settings(document, file);
    if (!settings)
    {
        return tl::unexpected(settings.error());
    }
    if (check_only)
    {
        std::cout << file << ": valid\n";
        return exit_code::success;
    }
    auto runtime = process_runtime::open(to_runtime(*settings));
    if (!runtime)
    {
        return tl::unexpected(runtime.error());
    }
    auto& rt = **runtime;
    agent_process agent(rt.loop, rt.clock, rt.auth, rt.events, rt.log(),
                        *settings, process_runtime::random_number);
    add_agent_metrics(rt.metrics, agent);
    add_metrics_routes(agent.http(), rt.metrics,
                       [&agent]() -> result<void>
                       {
                           if (agent.ready())
                           {
                               return {};
                           }
                           return fail(errc::not_ready, step_ready);
                       });
    auto started = agent.start();
    if (!started)
    {
        return tl::unexpected(started.error());
    }
    rt.log_info("agent started");
    const auto code = rt.run([&agent](std::function<void()> done)
                             { agent.begin_stop(std::move(done)); });
    rt.log_info("agent stopped");
    return code;
}

} // namespace agatebank
