#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/observe/metrics_registry.hpp>

#include <functional>

namespace agatebank
{

/// @brief Tells whether the process may be given requests now.
using readiness_hook = std::function<result<void>()>;

/// @brief Adds `GET /metrics` (Prometheus text; JSON with `?format=json`),
/// `GET /healthz` (200 while the process runs its loop) and `GET /readyz`
/// (200, or 503 with the failure that @p ready gives).
/// @param server gets the routes
/// @param metrics must outlive the server
/// @param ready asked at each request
void add_metrics_routes(http_server& server, const metrics_registry& metrics,
                        readiness_hook ready);

} // namespace agatebank
