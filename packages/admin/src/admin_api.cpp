#include "admin_problem.hpp"
#include "query_parameter.hpp"
#include <agatebank/admin/admin_api.hpp>
#include <agatebank/core/configuration_document.hpp>
#include <agatebank/core/inventory_csv.hpp>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace agatebank
{

namespace
{

using nlohmann::json;

constexpr const char* step_admin = "admin.call";
constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr uint64_t max_in_force_timeout_ms = 60000;
constexpr uint64_t max_timeline_events = 100000;
constexpr std::size_t max_change_id_characters = 64;

// A response with the version of the configuration as its ETag.
http_response json_response_with_etag(const json& body,
                                      const configuration_view& view)
{
    auto r = json_response(status_ok, body);
    r.headers.push_back(
        {"ETag", "\"" + std::to_string(view.version().value()) + "\""});
    return r;
}

bool is_csv(const std::string& media_type)
{
    return media_type.rfind("text/csv", 0) == 0;
}

http_response inventory_response(const http_request& request,
                                 const configuration_view& view)
{
    const auto& rows = view.document().inventory;
    auto r = json_response_with_etag(to_json(rows), view);
    if (is_csv(request.header("accept")))
    {
        r.content_type = "text/csv";
        r.body = to_csv(rows);
    }
    return r;
}

json to_json(const std::vector<change_record>& history)
{
    auto out = json::array();
    for (const auto& record : history)
    {
        out.push_back(agatebank::to_json(record));
    }
    return out;
}

template <class T>
json to_json_array(const std::vector<T>& values)
{
    auto out = json::array();
    for (const auto& v : values)
    {
        out.push_back(agatebank::to_json(v));
    }
    return out;
}

result<configuration_edit> read_inventory(const http_request& request)
{
    const auto rows = is_csv(request.header("content-type"))
                          ? parse_inventory_csv(request.body, request.peer)
                          : parse_inventory(request.body, request.peer);
    return rows.map([](auto r) { return replace_inventory(std::move(r)); });
}

result<configuration_edit> read_rules(const http_request& request)
{
    return parse_rules(request.body, request.peer)
        .map([](auto rules) { return replace_rules(std::move(rules)); });
}

// The status of a target that is in the inventory but that no agent reports.
json describe_target_without_agent(const inventory_row& row,
                                   const configuration_view& view)
{
    target_status status;
    status.target = row.target;
    status.worker = row.worker;
    status.failure_domain = row.failure_domain;
    status.state = view.state_of(row.target);
    status.slots = row.slots;
    auto out = agatebank::to_json(status);
    out["live"] = false;
    out["in_inventory"] = true;
    return out;
}

// Returns the first two fields of a submission id, separated by '-': events
// carry only these.
std::string to_event_submission(const std::string& id)
{
    const auto first = id.find('-');
    return first == std::string::npos ? id
                                      : id.substr(0, id.find('-', first + 1));
}

bool is_change_id(const std::string& text)
{
    return text.size() <= max_change_id_characters &&
           std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return (c >= '0' && c <= '9') ||
                                  (c >= 'a' && c <= 'z') || c == '-';
                       });
}

} // namespace

admin_api::admin_api(event_loop& loop, admin_hooks hooks, admin_options options)
    : loop_(loop)
    , hooks_(std::move(hooks))
    , options_(std::move(options))
    , authenticator_(options_.bootstrap_operator_sha256)
{
}

void admin_api::add_routes(http_server& server)
{
    add_document_routes(server);
    add_change_routes(server);
    add_status_routes(server);
}

void admin_api::add(http_server& server, const std::string& method,
                    const std::string& path, operator_handler handler)
{
    server.route(method, path,
                 [this, handler = std::move(handler)](
                     const http_request& request, const http_responder& respond)
                 {
                     const auto view = hooks_.configuration();
                     if (!view)
                     {
                         respond(detail::admin_problem(failure{
                             make_error_code(errc::configuration_unknown),
                             step_admin, request.peer, ""}));
                         return;
                     }
                     const auto name = authenticator_.identify(request, *view);
                     if (!name)
                     {
                         respond(detail::admin_problem(name.error()));
                         return;
                     }
                     handler({request, respond, *name, view});
                 });
}

void admin_api::add_document_routes(http_server& server)
{
    add(server, "GET", "/v1/admin/inventory",
        [](const operator_call& call)
        { call.respond(inventory_response(call.request, *call.view)); });
    add(server, "GET", "/v1/admin/rules",
        [](const operator_call& call)
        {
            const auto& rules = call.view->document().rules;
            call.respond(
                json_response_with_etag(agatebank::to_json(rules), *call.view));
        });
    add(server, "GET", "/v1/admin/configuration",
        [](const operator_call& call)
        {
            const auto& document = call.view->document();
            call.respond(json_response_with_etag(agatebank::to_json(document),
                                                 *call.view));
        });
    add(server, "GET", "/v1/admin/configuration/history",
        [](const operator_call& call)
        {
            const auto& document = call.view->document();
            call.respond(json_response_with_etag(
                {{"version", document.version.value()},
                 {"history", to_json(document.history)}},
                *call.view));
        });
}

void admin_api::add_change_routes(http_server& server)
{
    add(server, "PUT", "/v1/admin/inventory",
        [this](const operator_call& call)
        { handle_change(call, read_inventory(call.request)); });
    add(server, "PUT", "/v1/admin/rules",
        [this](const operator_call& call)
        { handle_change(call, read_rules(call.request)); });
    add_target_route(server, "drain", target_state::draining);
    add_target_route(server, "start", target_state::active);
    add_target_route(server, "stop", target_state::stopped);
}

void admin_api::add_target_route(http_server& server, const char* verb,
                                 target_state state)
{
    add(server, "POST", std::string("/v1/admin/targets/{name}/") + verb,
        [this, state](const operator_call& call)
        {
            const target_name target(call.request.captures.at("name"));
            handle_change(call, set_target_state(target, state));
        });
}

void admin_api::add_status_routes(http_server& server)
{
    add(server, "GET", "/v1/admin/targets",
        [this](const operator_call& call) { answer_targets(call); });
    add(server, "GET", "/v1/admin/status",
        [this](const operator_call& call)
        {
            const auto processes = hooks_.processes();
            const auto version = call.view->version();
            call.respond(json_response(
                status_ok,
                {{"version", version.value()},
                 {"everywhere", is_in_force_everywhere(processes, version)},
                 {"processes", to_json_array(processes)}}));
        });
    add(server, "GET", "/v1/admin/timeline",
        [this](const operator_call& call) { answer_timeline(call); });
}

void admin_api::handle_change(const operator_call& call,
                              result<configuration_edit> edit)
{
    const auto options = read_change_options(call.request);
    if (!options || !edit)
    {
        call.respond(
            detail::admin_problem(options ? edit.error() : options.error()));
        return;
    }
    if (options->dry_run)
    {
        answer_dry_run(call, *options, *edit);
        return;
    }
    make_change(call, *options, std::move(*edit));
}

result<admin_api::change_options>
admin_api::read_change_options(const http_request& request) const
{
    change_options out;
    out.change_id = request.header("agatebank-change");
    if (!is_change_id(out.change_id))
    {
        return fail(errc::request_malformed, step_admin, request.peer,
                    "Agatebank-Change: expected at most 64 characters, each "
                    "a-z, 0-9 or -");
    }
    if (out.change_id.empty())
    {
        out.change_id = hooks_.random_id();
    }
    const auto required = detail::read_if_match(request);
    const auto dry_run = detail::read_flag(request, "dry_run");
    const auto timeout = detail::read_number(request, "wait_in_force_ms",
                                             max_in_force_timeout_ms);
    if (!required || !dry_run || !timeout)
    {
        return tl::unexpected(!required  ? required.error()
                              : !dry_run ? dry_run.error()
                                         : timeout.error());
    }
    if (*required)
    {
        out.required_version = config_version(**required);
    }
    out.dry_run = *dry_run;
    out.in_force_timeout = std::chrono::milliseconds(timeout->value_or(0));
    return out;
}

void admin_api::answer_dry_run(const operator_call& call,
                               const change_options& options,
                               const configuration_edit& edit) const
{
    const auto& current = call.view->document();
    if (options.required_version &&
        *options.required_version != current.version)
    {
        call.respond(detail::admin_problem(failure{
            make_error_code(errc::configuration_conflict), step_admin,
            current.changed_by,
            "If-Match requires version " +
                std::to_string(options.required_version->value()) +
                ", but version " + std::to_string(current.version.value()) +
                " is in force"}));
        return;
    }
    const auto edited = edit.apply(current);
    if (!edited)
    {
        call.respond(detail::admin_problem(edited.error()));
        return;
    }
    const auto error = find_validation_error(*edited);
    if (!error.empty())
    {
        call.respond(detail::admin_problem(
            failure{make_error_code(errc::configuration_invalid), step_admin,
                    call.request.peer, error}));
        return;
    }
    const auto items = difference(current, *edited);
    call.respond(
        json_response(status_ok, {{"dry_run", true},
                                  {"version", current.version.value()},
                                  {"summary", summarise(items)},
                                  {"difference", agatebank::to_json(items)}}));
}

void admin_api::make_change(const operator_call& call,
                            const change_options& options,
                            configuration_edit edit)
{
    configuration_change change;
    change.edit = std::move(edit);
    change.change_id = options.change_id;
    change.changed_by = call.name;
    change.base = call.view->shared_document();
    change.required_version = options.required_version;
    hooks_.change(std::move(change),
                  [this, options, respond = call.respond](const auto& outcome)
                  {
                      if (!outcome)
                      {
                          respond(detail::admin_problem(outcome.error(),
                                                        options.change_id));
                          return;
                      }
                      answer_accepted(*outcome, options, respond);
                  });
}

void admin_api::answer_accepted(const accepted_change& accepted,
                                const change_options& options,
                                const http_responder& respond)
{
    pending_responses_.push_back({accepted, options.change_id, respond,
                                  loop_.now() + options.in_force_timeout});
    poll_in_force();
    if (!pending_responses_.empty() && !poll_timer_)
    {
        poll_timer_ = loop_.every(options_.in_force_poll_period,
                                  [this] { poll_in_force(); });
    }
}

void admin_api::poll_in_force()
{
    const auto processes = hooks_.processes();
    const auto now = loop_.now();
    const auto is_complete = [&](const pending_response& pending)
    {
        return now >= pending.deadline ||
               is_in_force_everywhere(processes, pending.change.version);
    };
    const auto first_complete = std::stable_partition(
        pending_responses_.begin(), pending_responses_.end(),
        [&](const auto& p) { return !is_complete(p); });
    std::vector<pending_response> complete(
        std::make_move_iterator(first_complete),
        std::make_move_iterator(pending_responses_.end()));
    pending_responses_.erase(first_complete, pending_responses_.end());
    if (pending_responses_.empty())
    {
        poll_timer_.reset();
    }
    for (const auto& pending : complete)
    {
        pending.respond(describe(pending));
    }
}

http_response admin_api::describe(const pending_response& pending) const
{
    const auto version = pending.change.version;
    const auto all = hooks_.processes();
    auto processes = json::array();
    for (const auto& p : all)
    {
        auto row = agatebank::to_json(p);
        row["in_force"] = p.version >= version;
        processes.push_back(std::move(row));
    }
    const bool everywhere = is_in_force_everywhere(all, version);
    const auto& history = pending.change.document->history;
    const auto it =
        std::find_if(history.begin(), history.end(),
                     [&](const auto& r) { return r.version == version; });
    const bool found = pending.change.written && it != history.end();
    auto r = json_response(
        everywhere ? status_ok : status_accepted,
        {{"version", version.value()},
         {"change_id", pending.change_id},
         {"written", pending.change.written},
         {"summary", found ? it->summary : "no difference"},
         {"in_force",
          {{"everywhere", everywhere}, {"processes", std::move(processes)}}}});
    r.headers.push_back(
        {"ETag", "\"" + std::to_string(version.value()) + "\""});
    return r;
}

void admin_api::answer_targets(const operator_call& call) const
{
    std::unordered_set<target_name> reported;
    auto targets = json::array();
    for (const auto& status : hooks_.targets())
    {
        reported.insert(status.target);
        auto row = agatebank::to_json(status);
        row["live"] = true;
        row["in_inventory"] = call.view->find_target(status.target) != nullptr;
        targets.push_back(std::move(row));
    }
    for (const auto& row : call.view->document().inventory)
    {
        if (reported.count(row.target) == 0)
        {
            targets.push_back(describe_target_without_agent(row, *call.view));
        }
    }
    call.respond(
        json_response_with_etag({{"targets", std::move(targets)}}, *call.view));
}

void admin_api::answer_timeline(const operator_call& call) const
{
    const auto from = detail::read_number(call.request, "from_us", UINT64_MAX);
    const auto to = detail::read_number(call.request, "to_us", UINT64_MAX);
    const auto max =
        detail::read_number(call.request, "max_events", max_timeline_events);
    if (!from || !to || !max)
    {
        call.respond(detail::admin_problem(!from ? from.error()
                                           : !to ? to.error()
                                                 : max.error()));
        return;
    }
    event_filter filter;
    filter.submission =
        to_event_submission(call.request.parameter("submission"));
    filter.target = call.request.parameter("target");
    filter.from_us = from->value_or(filter.from_us);
    filter.to_us = to->value_or(filter.to_us);
    filter.max_events = static_cast<uint32_t>(max->value_or(filter.max_events));
    hooks_.events(filter,
                  [respond = call.respond](const std::vector<event>& events) {
                      respond(json_response(
                          status_ok, {{"events", to_json_array(events)}}));
                  });
}

} // namespace agatebank
