#pragma once

#include <agatebank/admin/live_status.hpp>
#include <agatebank/admin/operator_authenticator.hpp>
#include <agatebank/core/configuration_view.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/platform/configuration_store.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What the operators' interface asks of the entry it is part of.
struct admin_hooks
{
    /// The configuration in force; null while none is known, in which case
    /// every call is refused. An empty table is a document of version 0.
    std::function<std::shared_ptr<const configuration_view>()> configuration;
    /// Makes a change, as @ref configuration_store::change.
    std::function<void(configuration_change,
                       configuration_store::change_completion)>
        change;
    std::function<std::vector<target_status>()> targets;
    std::function<std::vector<process_status>()> processes;
    /// Collects events of all processes.
    std::function<void(const event_filter&,
                       std::function<void(std::vector<event>)>)>
        events;
    /// Draws a random id for a change.
    std::function<std::string()> random_id;
};

/// @brief Tunables of @ref admin_api.
struct admin_options
{
    std::string bootstrap_operator_sha256; ///< see operator_authenticator
    duration in_force_poll = std::chrono::milliseconds(20);
};

/// @brief The operators' HTTP interface, `/v1/admin/...`.
///
/// A change may carry `If-Match: "<version>"`, `Agatebank-Change: <id>`
/// (the same id again is the same change), `?dry_run=true` and
/// `?wait_in_force_ms=N`.
///
/// @code
/// admin_api admin(loop, hooks, options);
/// admin.add_routes(server);
/// @endcode
class admin_api
{
  public:
    // construction
    admin_api(event_loop& loop, admin_hooks hooks, admin_options options);

    // routes
    /// @brief Adds the routes; the object must outlive the server.
    void add_routes(http_server& server);

  private:
    // An authenticated request.
    struct operator_call
    {
        const http_request& request;
        const http_responder& respond;
        operator_name who;
        std::shared_ptr<const configuration_view> view;
    };
    using operator_handler = std::function<void(const operator_call&)>;

    // How a change is to be made and answered.
    struct change_mode
    {
        std::string change_id;
        std::optional<config_version> required_version;
        bool dry_run = false;
        duration in_force_wait{};
    };

    // A change that waits to be in force.
    struct in_force_wait
    {
        accepted_change change;
        std::string change_id;
        http_responder respond;
        time_point deadline;
    };

    void add(http_server& server, const std::string& method,
             const std::string& path, operator_handler handler);
    void add_document_routes(http_server& server);
    void add_change_routes(http_server& server);
    void add_status_routes(http_server& server);
    void add_target_route(http_server& server, const char* verb,
                          target_state state);

    void handle_change(const operator_call& call,
                       result<configuration_edit> edit);
    result<change_mode> read_mode(const http_request& request) const;
    void answer_dry_run(const operator_call& call, const change_mode& mode,
                        const configuration_edit& edit) const;
    void make_change(const operator_call& call, const change_mode& mode,
                     configuration_edit edit);
    void answer_accepted(const accepted_change& accepted,
                         const change_mode& mode,
                         const http_responder& respond);
    void poll_in_force();
    http_response describe(const in_force_wait& wait) const;
    void answer_targets(const operator_call& call) const;
    void answer_timeline(const operator_call& call) const;

    event_loop& loop_;
    admin_hooks hooks_;
    admin_options options_;
    operator_authenticator authenticator_;
    std::vector<in_force_wait> waits_;
    watch poll_timer_;
};

} // namespace agatebank
