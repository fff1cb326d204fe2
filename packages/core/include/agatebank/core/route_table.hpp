#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatebank
{

/// @brief Name of a route; a route is a queue of jobs.
using route_name = strong_id<struct route_name_tag, std::string>;

/// @brief Selects requests by host and path prefix and sets how their jobs are
/// served.
struct route
{
    route_name name;
    std::string host;
    std::string path_prefix;
    service_name service;      ///< its targets run the tasks
    uint32_t priority = 0;     ///< 0 is the most urgent
    uint32_t max_attempts = 1; ///< attempts of one task that may fail
    double stretch = 1;        ///< time objective of a job / its critical path
    duration added_latency{};  ///< added to the time objective
    duration default_deadline{}; ///< of a job without a deadline
};

/// @brief One version of the routes; immutable after construction.
class route_table
{
  public:
    // construction
    route_table() = default;
    route_table(config_version version, std::vector<route> routes);

    // lookup
    config_version version() const noexcept;
    const std::vector<route>& routes() const noexcept;
    /// @brief Finds the route of a host with the longest prefix of @p path.
    /// @return nullptr if there is none; the pointer is valid as long as the
    /// table
    /// @complexity O(n) for n routes of the host
    const route* find(std::string_view host, std::string_view path) const;

  private:
    config_version version_;
    std::vector<route> routes_; ///< by host, then by decreasing prefix length
};

} // namespace agatebank
