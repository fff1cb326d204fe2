#include <agatebank/observe/metrics_api.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* prometheus_content_type =
    "text/plain; version=0.0.4; charset=utf-8";

http_response render(const metrics_registry& metrics, const http_request& rq)
{
    if (rq.parameter("format") == "json")
    {
        return json_response(200, metrics.to_json());
    }
    http_response r;
    r.content_type = prometheus_content_type;
    r.body = metrics.to_prometheus();
    return r;
}

} // namespace

void add_metrics_routes(http_server& server, const metrics_registry& metrics,
                        readiness_hook ready)
{
    server.route("GET", "/metrics",
                 [&metrics](const http_request& rq, const auto& respond)
                 { respond(render(metrics, rq)); });
    server.route("GET", "/healthz",
                 [](const http_request&, const auto& respond) {
                     respond(json_response(200, {{"status", "ok"}}));
                 });
    server.route(
        "GET", "/readyz",
        [ready = std::move(ready)](const http_request&, const auto& respond)
        {
            const auto readiness = ready();
            respond(readiness ? json_response(200, {{"status", "ready"}})
                              : problem_response(503, readiness.error(),
                                                 execution_status::not_run));
        });
}

} // namespace agatebank
