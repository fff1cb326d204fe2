#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/strong_id.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace agatebank
{

/// @brief Version of the table in which operators request evacuations. 0: the
/// table has not been read.
using evacuation_version = strong_id<struct evacuation_version_tag, uint64_t>;

/// @brief The failure domains that operators have taken out of service, as of
/// one version of the table. Processes pass it on to each other, so it reaches
/// a process that has no contact with the table service.
///
/// Load pattern: a failure domain is emptied while the service is under load,
/// and messages of several entries arrive out of order.
class evacuation_state
{
  public:
    // construction
    evacuation_state() = default;
    evacuation_state(evacuation_version version,
                     std::set<failure_domain_name> domains);

    // modifiers
    /// @brief Replaces this state by another if that has a higher version.
    /// @return whether it was replaced
    bool merge(const evacuation_state& other);

    // lookup
    evacuation_version version() const noexcept;
    const std::set<failure_domain_name>& domains() const noexcept;
    bool is_evacuated(const failure_domain_name& domain) const;
    /// @brief Text for the log, such as "table version 7: z1, z2".
    std::string to_text() const;

    bool operator==(const evacuation_state&) const = default;

  private:
    evacuation_version version_;
    std::set<failure_domain_name> domains_;
};

} // namespace agatebank
