#include "node_metrics.hpp"
#include <agatebank/daemon/node_roles.hpp>
#include <agatebank/daemon/process_runtime.hpp>
#include <agatebank/node/node_settings.hpp>
#include <agatebank/observe/metrics_api.hpp>

#include <iostream>
#include <memory>
#include <optional>
#include <platform/configuration_feed.hpp>
#include <platform/job_ingress.hpp>
#include <platform/route_decoder.hpp>
#include <platform/target_announcements.hpp>
#include <platform/target_client.hpp>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_ready = "node.ready";

node_context make_context(process_runtime& rt, timer_queue& timers,
                          const node_settings& s)
{
    process_identity self;
    self.incarnation = process_runtime::random_number();
    self.name = s.name;
    self.failure_domain = s.failure_domain;
    return {rt.loop, timers,   rt.clock,
            rt.auth, rt.log(), process_runtime::random_number,
            self};
}

result<std::unique_ptr<process_runtime>> open_runtime(const node_settings& s)
{
    return process_runtime::open(
        {s.name, s.failure_domain.value(), {}, {}, s.log_level});
}

http_server_options listen_on(const endpoint& e)
{
    http_server_options o;
    o.address = e.address;
    o.port = e.port;
    return o;
}

readiness_hook make_readiness(std::function<bool()> ready)
{
    return [ready = std::move(ready)]() -> result<void>
    {
        if (ready())
        {
            return {};
        }
        return fail(errc::not_ready, step_ready);
    };
}

result<void> listen_all(std::initializer_list<http_server*> servers)
{
    for (auto* it : servers)
    {
        const auto port = it->listen();
        if (!port)
        {
            return tl::unexpected(port.error());
        }
    }
    return {};
}

// What both roles do before they differ; nothing when only checking.
result<std::optional<node_settings>> read_settings(const nlohmann::json& json,
                                                   node_role role,
                                                   const std::string& file,
                                                   bool check_only)
{
    auto s = parse_node_settings(json, role, file);
    if (!s)
    {
        return tl::unexpected(s.error());
    }
    if (check_only)
    {
        std::cout << file << ": valid\n";
        return std::optional<node_settings>();
    }
    return std::optional<node_settings>(std::move(*s));
}

} // namespace

result<exit_code> run_entry_node(const nlohmann::json& document,
                                 const std::string& file, bool check_only)
{
    const auto read =
        read_settings(document, node_role::entry, file, check_only);
    if (!read)
    {
        return tl::unexpected(read.error());
    }
    if (!*read)
    {
        return exit_code::success;
    }
    const auto& settings = **read;
    auto runtime = open_runtime(settings);
    if (!runtime)
    {
        return tl::unexpected(runtime.error());
    }
    auto& rt = **runtime;
    timer_queue timers(rt.loop);
    entry_node node(make_context(rt, timers, settings),
                    {{settings.address, settings.link_port},
                     settings.seeds,
                     settings.remote_data_factor},
                    {platform::decode_routes});
    platform::job_ingress ingress(node, rt.log());
    http_server callers(rt.loop, listen_on(settings.callers));
    ingress.add_caller_routes(callers);
    http_server readiness(rt.loop, listen_on(settings.readiness));
    ingress.add_readiness_route(readiness);
    http_server metrics(rt.loop, listen_on(settings.metrics));
    add_node_metrics(rt.metrics, node);
    add_metrics_routes(metrics, rt.metrics,
                       make_readiness([&node] { return node.ready(); }));
    platform::configuration_feed feed(
        rt.loop, settings.table_service, process_runtime::random_number(),
        [&node](const std::string& text)
        { node.offer_configuration(text, "the table service"); },
        rt.log());
    auto started = node.start();
    if (started)
    {
        started = listen_all({&callers, &readiness, &metrics});
    }
    if (!started)
    {
        return tl::unexpected(started.error());
    }
    feed.start();
    rt.log_info("entry started");
    const auto code = rt.run([&node](std::function<void()> done)
                             { node.begin_stop(std::move(done)); });
    rt.log_info("entry stopped");
    return code;
}

result<exit_code> run_agent_node(const nlohmann::json& document,
                                 const std::string& file, bool check_only)
{
    const auto read =
        read_settings(document, node_role::agent, file, check_only);
    if (!read)
    {
        return tl::unexpected(read.error());
    }
    if (!*read)
    {
        return exit_code::success;
    }
    const auto& settings = **read;
    auto runtime = open_runtime(settings);
    if (!runtime)
    {
        return tl::unexpected(runtime.error());
    }
    auto& rt = **runtime;
    timer_queue timers(rt.loop);
    platform::target_client target(rt.loop, timers, settings.target, rt.log());
    lease_options lease;
    lease.longest = settings.longest_lease;
    agent_node node(make_context(rt, timers, settings), {settings.seeds, lease},
                    target.port());
    http_server announcements(rt.loop, listen_on(settings.announcements));
    platform::add_announcement_routes(
        announcements,
        {[&node](const target_announcement& a) { node.on_announcement(a); },
         [&node](const std::string& t) { node.on_withdrawal(t); }, rt.log()});
    http_server metrics(rt.loop, listen_on(settings.metrics));
    add_node_metrics(rt.metrics, node);
    add_metrics_routes(metrics, rt.metrics,
                       make_readiness([&node] { return node.ready(); }));
    const auto listening = listen_all({&announcements, &metrics});
    if (!listening)
    {
        return tl::unexpected(listening.error());
    }
    node.start();
    rt.log_info("agent started");
    const auto code = rt.run([&node](std::function<void()> done)
                             { node.begin_stop(std::move(done)); });
    rt.log_info("agent stopped");
    return code;
}

} // namespace agatebank
