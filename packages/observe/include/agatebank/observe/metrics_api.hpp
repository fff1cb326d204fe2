#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/observe/metrics_registry.hpp>

#include <functional>

namespace agatebank
{

/// @brief Whether the process can serve requests now; a failure gives the
/// reason why not.
using readiness_hook = std::function<result<void>()>;

/// @brief Adds `GET /metrics` (Prometheus text; JSON with `?format=json`),
/// `GET /healthz` (200 while the event loop runs) and `GET /readyz` (200, or
/// 503 with the failure that @p ready returns).
/// @param server the server that the routes are added to
/// @param metrics must outlive the server
/// @param ready called at each `GET /readyz`
void add_metrics_routes(http_server& server, const metrics_registry& metrics,
                        readiness_hook ready);

} // namespace agatebank
