#include "node_metrics.hpp"
#include "process_metrics.hpp"
#include <agatebank/daemon/node_roles.hpp>
#include <agatebank/daemon/process_runtime.hpp>
#include <agatebank/loop/poll_spacing.hpp>
#include <agatebank/node/node_settings.hpp>
#include <agatebank/observe/metrics_api.hpp>

#include <functional>
#include <iostream>
#include <platform/configuration_feed.hpp>
#include <platform/job_explainer.hpp>
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
constexpr const char* step_reload = "settings.reload";

node_context make_context(process_runtime& rt, timer_queue& timers,
                          const node_settings& s, process_metrics& measured)
{
    process_identity self;
    self.incarnation = process_runtime::random_number();
    self.name = s.name;
    self.failure_domain = s.failure_domain;
    return {rt.loop,  timers,
            rt.clock, rt.auth,
            rt.log(), process_runtime::random_number,
            self,     measured.observer()};
}

http_server_options to_server_options(const endpoint& e)
{
    http_server_options o;
    o.address = e.address;
    o.port = e.port;
    return o;
}

readiness_hook make_readiness_hook(std::function<bool()> ready)
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
    for (auto* server : servers)
    {
        const auto port = server->listen();
        if (!port)
        {
            return tl::unexpected(port.error());
        }
    }
    return {};
}

// Reads and validates the settings file again.
using settings_reader = std::function<result<node_settings>()>;

// Builds the node of one role and runs it until it is stopped.
using role_function = std::function<result<exit_code>(
    process_runtime&, const node_settings&, const settings_reader&)>;

result<node_settings> read_node_settings(node_role role,
                                         const std::string& file)
{
    const auto document = read_settings(file, step_reload);
    if (!document)
    {
        return tl::unexpected(document.error());
    }
    return parse_node_settings(*document, role, file);
}

// Does the steps that both roles have in common: validates the settings, opens
// the process runtime and calls the role's own function.
result<exit_code> run_role(const nlohmann::json& document, node_role role,
                           const std::string& file, bool check_only,
                           const role_function& run_node)
{
    const auto settings = parse_node_settings(document, role, file);
    if (!settings)
    {
        return tl::unexpected(settings.error());
    }
    if (check_only)
    {
        std::cout << file << ": valid\n";
        return exit_code::success;
    }
    const auto runtime =
        process_runtime::open({settings->name,
                               settings->failure_domain.value(),
                               {},
                               {},
                               settings->log_level});
    if (!runtime)
    {
        return tl::unexpected(runtime.error());
    }
    return run_node(**runtime, *settings,
                    [role, &file] { return read_node_settings(role, file); });
}

// Runs a started node until its graceful stop is complete. A reload adds new
// seeds and sets the log level; a changed address or port takes effect at the
// next start only.
template <class Node>
exit_code run_until_stopped(process_runtime& rt, Node& node,
                            const std::string& role,
                            const settings_reader& reread_settings)
{
    rt.log_info(role + " started");
    const auto reload = [&rt, &node, &reread_settings]() -> result<void>
    {
        const auto settings = reread_settings();
        if (!settings)
        {
            return tl::unexpected(settings.error());
        }
        node.add_seeds(settings->seeds);
        return rt.set_log_level(settings->log_level);
    };
    const auto code = rt.run([&node](std::function<void()> done)
                             { node.begin_stop(std::move(done)); },
                             reload);
    rt.log_info(role + " stopped");
    return code;
}

result<exit_code> run_entry_role(process_runtime& rt,
                                 const node_settings& settings,
                                 const settings_reader& reread_settings)
{
    set_poll_spacing(settings.poll_spacing);
    timer_queue timers(rt.loop);
    process_metrics measured(rt.metrics, rt.loop, settings.processor_share,
                             {phase_settings, phase_listening, phase_link,
                              phase_configuration, phase_greeting, phase_target,
                              phase_ready, phase_order, phase_answer},
                             rt.log());
    measured.complete(phase_settings);
    entry_node node(make_context(rt, timers, settings, measured),
                    {{settings.address, settings.link_port},
                     settings.seeds,
                     settings.remote_data_factor,
                     settings.announcement_period,
                     settings.processor_share,
                     settings.relay,
                     settings.advertised_address},
                    {platform::decode_routes, processor_time});
    platform::job_ingress ingress(rt.loop, timers, node, rt.log());
    rt.metrics.add_gauge(
        {"agatebank_requests_held",
         "Requests that waited for the first configuration.",
         {}},
        [&ingress] { return static_cast<double>(ingress.requests_held()); });
    rt.metrics.add_gauge(
        {"agatebank_jobs_read_late",
         "Jobs that were read after their caller had closed the connection.",
         {}},
        [&ingress] { return static_cast<double>(ingress.jobs_read_late()); });
    http_server callers(rt.loop, to_server_options(settings.callers));
    ingress.add_caller_routes(callers);
    node.on_pause([&callers](time_point began)
                  { return callers.on_pause(began); });
    rt.metrics.add_gauge(
        {"agatebank_caller_connections", "Open connections of callers.", {}},
        [&callers] { return static_cast<double>(callers.connections()); });
    rt.metrics.add_gauge({"agatebank_caller_connections_accepted",
                          "Connections of callers that were accepted.",
                          {}},
                         [&callers]
                         { return static_cast<double>(callers.accepted()); });
    http_server readiness(rt.loop, to_server_options(settings.readiness));
    ingress.add_readiness_route(readiness);
    platform::job_explainer explainer(
        {[&node]() -> const route_table& { return node.routes(); },
         [&node, &rt](job_submission job)
         { return node.scheduler().explain(std::move(job), rt.loop.now()); },
         [&node, relay = settings.relay]
         {
             return relay && node.loads().own().over();
         }});
    http_server metrics(rt.loop, to_server_options(settings.metrics));
    explainer.add_route(metrics);
    add_node_metrics(rt.metrics, node);
    add_explainer_metrics(rt.metrics, explainer);
    add_metrics_routes(metrics, rt.metrics,
                       make_readiness_hook([&node] { return node.ready(); }));
    platform::configuration_feed feed(
        rt.loop,
        {settings.table_service, process_runtime::random_number(),
         settings.announcement_period.count() != 0,
         settings.table_silence_limit},
        {[&node](const std::string& text)
         { node.update_configuration(text, "the table service"); },
         [&node](const evacuation_state& state)
         {
             node.update_evacuation(state, "the table service");
         }},
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
    measured.complete(phase_listening);
    feed.start();
    return run_until_stopped(rt, node, "entry", reread_settings);
}

result<exit_code> run_agent_role(process_runtime& rt,
                                 const node_settings& settings,
                                 const settings_reader& reread_settings)
{
    timer_queue timers(rt.loop);
    platform::target_client target(rt.loop, timers, settings.target, rt.log());
    lease_options lease;
    lease.max_duration = settings.max_lease;
    process_metrics measured(rt.metrics, rt.loop, settings.processor_share,
                             {phase_settings, phase_listening, phase_link,
                              phase_announcement, phase_greeting, phase_target,
                              phase_order, phase_run},
                             rt.log());
    measured.complete(phase_settings);
    agent_node node(make_context(rt, timers, settings, measured),
                    {settings.seeds,
                     lease,
                     {settings.order_returns, settings.order_returns}},
                    target.port());
    http_server announcements(rt.loop,
                              to_server_options(settings.announcements));
    platform::add_announcement_routes(
        announcements,
        {[&node](const target_announcement& a)
         { return node.on_announcement(a); },
         [&node](const std::string& t) { node.on_deregistration(t); },
         [&rt] { return rt.loop.now(); },
         [&settings]
         {
             return platform::announcement_limits{settings.target,
                                                  g_get_real_time() / 1000};
         },
         rt.log()});
    http_server metrics(rt.loop, to_server_options(settings.metrics));
    add_node_metrics(rt.metrics, node);
    add_metrics_routes(metrics, rt.metrics,
                       make_readiness_hook([&node] { return node.ready(); }));
    const auto listening = listen_all({&announcements, &metrics});
    if (!listening)
    {
        return tl::unexpected(listening.error());
    }
    measured.complete(phase_listening);
    node.start();
    return run_until_stopped(rt, node, "agent", reread_settings);
}

} // namespace

result<exit_code> run_entry_node(const nlohmann::json& document,
                                 const std::string& file, bool check_only)
{
    return run_role(document, node_role::entry, file, check_only,
                    run_entry_role);
}

result<exit_code> run_agent_node(const nlohmann::json& document,
                                 const std::string& file, bool check_only)
{
    return run_role(document, node_role::agent, file, check_only,
                    run_agent_role);
}

} // namespace agatebank
