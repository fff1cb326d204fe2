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
constexpr uint64_t max_in_force_wait_ms = 60000;
constexpr uint64_t max_timeline_events = 100000;
constexpr std::size_t max_change_id_characters = 64;

http_response versioned(const json& body, const configuration_view& view)
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
    auto r = versioned(to_json(rows), view);
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

// A target of the inventory whose agent is not connected.
json describe_absent(const inventory_row& row, const configuration_view& view)
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

// Events name a submission by the first two fields of its id.
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
                     const auto who = authenticator_.identify(request, *view);
                     if (!who)
                     {
                         respond(detail::admin_problem(who.error()));
                         return;
                     }
                     handler({request, respond, *who, view});
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
            call.respond(versioned(agatebank::to_json(rules), *call.view));
        });
    add(server, "GET", "/v1/admin/configuration",
        [](const operator_call& call)
        {
            const auto& document = call.view->document();
            call.respond(versioned(agatebank::to_json(document), *call.view));
        });
    add(server, "GET", "/v1/admin/configuration/history",
        [](const operator_call& call)
        {
            const auto& document = call.view->document();
            call.respond(versioned({{"version", document.version.value()},
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
    const auto mode = read_mode(call.request);
    if (!mode || !edit)
    {
        call.respond(detail::admin_problem(mode ? edit.error() : mode.error()));
        return;
    }
    if (mode->dry_run)
    {
        answer_dry_run(call, *mode, *edit);
        return;
    }
    make_change(call, *mode, std::move(*edit));
}

result<admin_api::change_mode>
admin_api::read_mode(const http_request& request) const
{
    change_mode out;
    out.change_id = request.header("agatebank-change");
    if (!is_change_id(out.change_id))
    {
        return fail(errc::request_malformed, step_admin, request.peer,
                    "Agatebank-Change: expected up to 64 characters from "
                    "a-z 0-9 -");
    }
    if (out.change_id.empty())
    {
        out.change_id = hooks_.random_id();
    }
    const auto required = detail::read_if_match(request);
    const auto dry_run = detail::read_flag(request, "dry_run");
    const auto wait =
        detail::read_number(request, "wait_in_force_ms", max_in_force_wait_ms);
    if (!required || !dry_run || !wait)
    {
        return tl::unexpected(!required  ? required.error()
                              : !dry_run ? dry_run.error()
                                         : wait.error());
    }
    if (*required)
    {
        out.required_version = config_version(**required);
    }
    out.dry_run = *dry_run;
    out.in_force_wait = std::chrono::milliseconds(wait->value_or(0));
    return out;
}

void admin_api::answer_dry_run(const operator_call& call,
                               const change_mode& mode,
                               const configuration_edit& edit) const
{
    const auto& current = call.view->document();
    if (mode.required_version && *mode.required_version != current.version)
    {
        call.respond(detail::admin_problem(
            failure{make_error_code(errc::configuration_conflict), step_admin,
                    current.changed_by,
                    "version " + std::to_string(current.version.value()) +
                        " is in force"}));
        return;
    }
    const auto edited = edit.apply(current);
    if (!edited)
    {
        call.respond(detail::admin_problem(edited.error()));
        return;
    }
    const auto fault = find_fault(*edited);
    if (!fault.empty())
    {
        call.respond(detail::admin_problem(
            failure{make_error_code(errc::configuration_invalid), step_admin,
                    call.request.peer, fault}));
        return;
    }
    const auto items = difference(current, *edited);
    call.respond(
        json_response(status_ok, {{"dry_run", true},
                                  {"version", current.version.value()},
                                  {"summary", summarise(items)},
                                  {"difference", agatebank::to_json(items)}}));
}

void admin_api::make_change(const operator_call& call, const change_mode& mode,
                            configuration_edit edit)
{
    configuration_change change;
    change.edit = std::move(edit);
    change.change_id = mode.change_id;
    change.changed_by = call.who;
    change.base = call.view->shared_document();
    change.required_version = mode.required_version;
    hooks_.change(
        std::move(change),
        [this, mode, respond = call.respond](const auto& outcome)
        {
            if (!outcome)
            {
                respond(detail::admin_problem(outcome.error(), mode.change_id));
                return;
            }
            answer_accepted(*outcome, mode, respond);
        });
}

void admin_api::answer_accepted(const accepted_change& accepted,
                                const change_mode& mode,
                                const http_responder& respond)
{
    waits_.push_back(
        {accepted, mode.change_id, respond, loop_.now() + mode.in_force_wait});
    poll_in_force();
    if (!waits_.empty() && !poll_timer_)
    {
        poll_timer_ =
            loop_.every(options_.in_force_poll, [this] { poll_in_force(); });
    }
}

void admin_api::poll_in_force()
{
    const auto processes = hooks_.processes();
    const auto now = loop_.now();
    const auto is_over = [&](const in_force_wait& wait)
    {
        return now >= wait.deadline ||
               is_in_force_everywhere(processes, wait.change.version);
    };
    const auto begin =
        std::stable_partition(waits_.begin(), waits_.end(),
                              [&](const auto& w) { return !is_over(w); });
    std::vector<in_force_wait> over(std::make_move_iterator(begin),
                                    std::make_move_iterator(waits_.end()));
    waits_.erase(begin, waits_.end());
    if (waits_.empty())
    {
        poll_timer_.reset();
    }
    for (const auto& wait : over)
    {
        wait.respond(describe(wait));
    }
}

http_response admin_api::describe(const in_force_wait& wait) const
{
    const auto version = wait.change.version;
    const auto all = hooks_.processes();
    auto processes = json::array();
    for (const auto& p : all)
    {
        auto row = agatebank::to_json(p);
        row["in_force"] = p.version >= version;
        processes.push_back(std::move(row));
    }
    const bool everywhere = is_in_force_everywhere(all, version);
    const auto& history = wait.change.document->history;
    const auto it =
        std::find_if(history.begin(), history.end(),
                     [&](const auto& r) { return r.version == version; });
    const bool found = wait.change.written && it != history.end();
    auto r = json_response(
        everywhere ? status_ok : status_accepted,
        {{"version", version.value()},
         {"change_id", wait.change_id},
         {"written", wait.change.written},
         {"summary", found ? it->summary : "no difference"},
         {"in_force",
          {{"everywhere", everywhere}, {"processes", std::move(processes)}}}});
    r.headers.push_back(
        {"ETag", "\"" + std::to_string(version.value()) + "\""});
    return r;
}

void admin_api::answer_targets(const operator_call& call) const
{
    std::unordered_set<target_name> live;
    auto targets = json::array();
    for (const auto& status : hooks_.targets())
    {
        live.insert(status.target);
        auto row = agatebank::to_json(status);
        row["live"] = true;
        row["in_inventory"] = call.view->find_target(status.target) != nullptr;
        targets.push_back(std::move(row));
    }
    for (const auto& row : call.view->document().inventory)
    {
        if (live.count(row.target) == 0)
        {
            targets.push_back(describe_absent(row, *call.view));
        }
    }
    call.respond(versioned({{"targets", std::move(targets)}}, *call.view));
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
