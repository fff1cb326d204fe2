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

/// @brief Which requests belong to a queue and how its jobs are served.
struct route
{
    route_name name;
    std::string host;
    std::string path_prefix;
    service_name service;      ///< whose targets run the tasks
    uint32_t priority = 0;     ///< 0 is the most urgent
    uint32_t max_attempts = 1; ///< runs of one task that may fail
    double stretch = 1; ///< allowed multiple of the longest chain of tasks
    duration added_latency{};    ///< allowed beyond the stretched chain
    duration default_deadline{}; ///< of a job whose caller names none
};

/// @brief One version of the routes. Immutable after construction.
class route_table
{
  public:
    // construction
    route_table() = default;
    route_table(config_version version, std::vector<route> routes);

    // lookup
    config_version version() const noexcept;
    const std::vector<route>& routes() const noexcept;
    /// @brief The route of the host with the longest matching prefix.
    /// @return nullptr when there is none; the pointer lives as long as the
    /// table
    /// @complexity linear in the routes of the host
    const route* find(std::string_view host, std::string_view path) const;

  private:
    config_version version_;
    std::vector<route> routes_; ///< by host, then by falling prefix length
};

} // namespace agatebank
