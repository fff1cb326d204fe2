#include <agatebank/entry/caller_api.hpp>
#include <agatebank/entry/job_document.hpp>
#include <agatebank/http/bearer_token.hpp>

#include <charconv>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_authenticate = "caller.authenticate";
constexpr const char* step_request = "caller.request";
constexpr int64_t max_reserved_ids = 1000;
constexpr int64_t max_wait_ms = 3600L * 1000;
/// Wait of a job submission without wait_ms; a GET without it does not wait.
constexpr int64_t default_wait_ms = 30L * 1000;

// Reads a whole number from min to max from a query parameter. Returns `absent`
// when the parameter is missing or empty.
result<int64_t> read_parameter(const http_request& rq, const std::string& name,
                               int64_t fallback, int64_t min, int64_t max)
{
    const auto& text = rq.parameter(name);
    if (text.empty())
    {
        return fallback;
    }
    int64_t n = 0;
    const auto* end = text.data() + text.size();
    const auto r = std::from_chars(text.data(), end, n);
    if (r.ec != std::errc{} || r.ptr != end || n < min || n > max)
    {
        return fail(errc::request_malformed, step_request, {},
                    "parameter " + name + ": found \"" + text +
                        "\", expected a whole number from " +
                        std::to_string(min) + " to " + std::to_string(max));
    }
    return n;
}

const caller_rule* authenticate(const configuration_view& view,
                                const http_request& rq)
{
    const auto token = bearer_token(rq);
    return token.empty() ? nullptr : view.find_caller(sha256_hex(token));
}

} // namespace

void serve_request(submission_service& submissions,
                   const forward_request& request, http_responder respond)
{
    const duration wait(request.wait_us);
    switch (request.kind)
    {
    case forward_kind::submit:
        submissions.submit(request.submission, request.submission_text,
                           request.caller, request.body, wait,
                           std::move(respond));
        return;
    case forward_kind::show:
        submissions.show(request.submission, request.submission_text, wait,
                         std::move(respond));
        return;
    case forward_kind::cancel:
        submissions.cancel(request.submission, request.submission_text,
                           std::move(respond));
        return;
    }
}

caller_api::caller_api(http_server& server, entry_incarnation self,
                       submission_id_codec codec,
                       submission_service& submissions, forwarder& forwarding,
                       current_view view, refusal_reason reason)
    : server_(server)
    , self_(self)
    , codec_(std::move(codec))
    , submissions_(submissions)
    , forwarder_(forwarding)
    , view_(std::move(view))
    , refusal_reason_(std::move(reason))
{
    add_route("POST", "/v1/submissions",
              [this](const auto& caller, const auto& rq, auto respond)
              { reserve_ids(caller, rq, respond); });
    add_route("POST", "/v1/jobs",
              [this](const auto& caller, const auto& rq, auto respond)
              { submit_job(caller, rq, std::move(respond)); });
    const struct
    {
        const char* method;
        forward_kind kind;
    } routes[] = {
        {"PUT", forward_kind::submit},
        {"GET", forward_kind::show},
        {"DELETE", forward_kind::cancel},
    };
    for (const auto& route : routes)
    {
        add_route(route.method, "/v1/submissions/{id}",
                  [this, kind = route.kind](const auto& caller, const auto& rq,
                                            auto respond)
                  { serve_or_forward(kind, caller, rq, std::move(respond)); });
    }
}

void caller_api::add_route(const std::string& method,
                           const std::string& pattern, caller_handler handler)
{
    server_.route(
        method, pattern,
        [this, handler = std::move(handler)](const http_request& rq,
                                             const http_responder& respond)
        {
            if (const auto why = refusal_reason_())
            {
                auto r = refusal_response(503, *why);
                r.headers.push_back({"Retry-After", "1"});
                respond(r);
                return;
            }
            const auto* caller = authenticate(view_(), rq);
            if (caller == nullptr)
            {
                auto r = refusal_response(
                    401, {errc::unauthorised, step_authenticate, {}, {}});
                r.headers.push_back({"WWW-Authenticate", "Bearer"});
                respond(r);
                return;
            }
            // Each response carries a new submission id, which saves the
            // caller the request that reserves one for its next job.
            const auto name = caller->name;
            handler(*caller, rq,
                    [this, name, respond](http_response r)
                    {
                        r.headers.push_back(
                            {"Agatebank-Submission", submissions_.issue(name)});
                        respond(std::move(r));
                    });
        });
}

void caller_api::reserve_ids(const caller_rule& caller, const http_request& rq,
                             const http_responder& respond)
{
    const auto count = read_parameter(rq, "count", 1, 1, max_reserved_ids);
    if (!count)
    {
        respond(refusal_response(400, count.error()));
        return;
    }
    auto ids = nlohmann::json::array();
    for (int64_t i = 0; i < *count; ++i)
    {
        ids.push_back(submissions_.issue(caller.name));
    }
    respond(json_response(
        201, {{"submissions", std::move(ids)},
              {"valid_s", submissions_.limits().validity.count()}}));
}

void caller_api::submit_job(const caller_rule& caller, const http_request& rq,
                            http_responder respond)
{
    const auto wait =
        read_parameter(rq, "wait_ms", default_wait_ms, 0, max_wait_ms);
    if (!wait)
    {
        respond(refusal_response(400, wait.error()));
        return;
    }
    const auto job = parse_job(rq.body, submissions_.limits().job);
    if (job && !job->idempotent)
    {
        respond(
            refusal_response(422, {errc::submission_required,
                                   step_request,
                                   {},
                                   "reserve an id with POST /v1/submissions"}));
        return;
    }
    const auto text = submissions_.issue(caller.name);
    const auto id = codec_.decode(text, caller.name);
    submissions_.submit(*id, text, caller.name, rq.body,
                        std::chrono::milliseconds(*wait), std::move(respond));
}

void caller_api::serve_or_forward(forward_kind kind, const caller_rule& caller,
                                  const http_request& rq,
                                  http_responder respond)
{
    const auto& text = rq.captures.at("id");
    const auto id = codec_.decode(text, caller.name);
    if (!id)
    {
        respond(refusal_response(403, id.error()));
        return;
    }
    const int64_t fallback = kind == forward_kind::submit ? default_wait_ms : 0;
    const auto wait = read_parameter(rq, "wait_ms", fallback, 0, max_wait_ms);
    if (!wait)
    {
        respond(refusal_response(400, wait.error()));
        return;
    }
    forward_request request;
    request.kind = kind;
    request.submission = *id;
    request.submission_text = text;
    request.caller = caller.name;
    request.wait_us = duration(std::chrono::milliseconds(*wait)).count();
    request.body = rq.body;
    if (id->issuer == self_)
    {
        serve_request(submissions_, request, std::move(respond));
        return;
    }
    forwarder_.forward(std::move(request), std::move(respond));
}

} // namespace agatebank
