#include <agatebank/admin/admin_api.hpp>
#include <agatebank/daemon/entry_metrics.hpp>
#include <agatebank/daemon/entry_status.hpp>
#include <agatebank/daemon/process_runtime.hpp>
#include <agatebank/daemon/roles.hpp>
#include <agatebank/entry/entry_process.hpp>
#include <agatebank/observe/metrics_api.hpp>
#include <agatebank/platform/configuration_store.hpp>

#include <iostream>
#include <sstream>
#include <utility>

namespace agatebank
{

namespace
{

constexpr duration table_request_timeout = std::chrono::seconds(3);

// Loads the configuration from the table. A missing document is not an error:
// no configuration has been written yet.
configuration_loader make_configuration_loader(configuration_store& store)
{
    return [&store](configuration_loaded done)
    {
        store.load(
            [done = std::move(done)](
                const result<std::shared_ptr<const configuration>>& c)
            {
                if (!c && c.error().code == errc::configuration_unknown)
                {
                    done(std::shared_ptr<const configuration>());
                    return;
                }
                done(c);
            });
    };
}

std::string random_id()
{
    std::ostringstream os;
    os << std::hex << process_runtime::random_number();
    return os.str();
}

// Connects the operators' interface to the entry. A change that was made
// through this entry takes effect here at once, not with the next poll of the
// table.
admin_hooks make_admin_hooks(entry_process& entry, configuration_store& store)
{
    admin_hooks h;
    h.configuration = [&entry]
    {
        return entry.configuration().shared_view();
    };
    h.change = [&entry, &store](configuration_change change,
                                configuration_store::change_completion done)
    {
        store.change(std::move(change),
                     [&entry, done = std::move(done)](const auto& outcome)
                     {
                         if (outcome)
                         {
                             entry.configuration().apply_if_newer(
                                 outcome->document);
                         }
                         done(outcome);
                     });
    };
    h.targets = [&entry]
    {
        return list_targets(entry);
    };
    h.processes = [&entry]
    {
        return list_processes(entry);
    };
    h.events = [&entry](const event_filter& filter,
                        std::function<void(std::vector<event>)> done)
    {
        entry.events().collect(filter, std::move(done));
    };
    h.random_id = random_id;
    return h;
}

runtime_settings to_runtime(const entry_settings& s)
{
    return {s.name, s.failure_domain.value(), s.shared_key_file, s.log.file,
            s.log.level};
}

} // namespace

result<exit_code> run_entry(const nlohmann::json& document,
                            const std::string& file, bool check_only)
{
    auto settings = parse_entry_settings(document, file);
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
    http_client client(rt.loop, settings->platform_ca_file);
    table_client table(client, settings->platform_url, table_request_timeout);
    configuration_store_options store_options;
    store_options.seed = process_runtime::random_number();
    configuration_store store(rt.loop, table, store_options, rt.log());

    dispatch_options dispatch;
    dispatch.seed = process_runtime::random_number();
    entry_process entry({rt.loop, rt.clock, rt.auth, rt.events, rt.log(),
                         make_configuration_loader(store),
                         entry_incarnation(process_runtime::random_number()),
                         dispatch},
                        *settings);
    admin_options options;
    options.bootstrap_operator_sha256 = settings->bootstrap_operator_sha256;
    admin_api admin(rt.loop, make_admin_hooks(entry, store), options);
    admin.add_routes(entry.http());
    add_entry_metrics(rt.metrics, entry);
    add_metrics_routes(entry.http(), rt.metrics,
                       [&entry]() -> result<void>
                       {
                           if (auto reason = entry.readiness_error())
                           {
                               return tl::unexpected(std::move(*reason));
                           }
                           return {};
                       });
    auto started = entry.start();
    if (!started)
    {
        return tl::unexpected(started.error());
    }
    rt.log_info("entry started");
    const auto code = rt.run([&entry](std::function<void()> done)
                             { entry.begin_stop(std::move(done)); });
    rt.log_info("entry stopped");
    return code;
}

} // namespace agatebank
