#pragma once

#include <agatebank/agent/start_ledger.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/wire/messages.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatebank
{

/// @brief What a target says of itself.
struct target_announcement
{
    std::vector<service_name> services;
    uint32_t slots = 0;
    std::string url; ///< base of its HTTP interface

    bool operator==(const target_announcement&) const = default;
};

/// @brief Reads an announcement; unknown fields are refused.
/// @return errc::request_malformed with path, found and expected
result<target_announcement> parse_announcement(std::string_view text,
                                               const std::string& peer);

/// @brief What the target beside an agent may do now: joins what it
/// announces, what the configuration allows, and whether the agent stops.
class target_gate
{
  public:
    // construction
    explicit target_gate(target_name target);

    // modifiers; each returns whether anything changed
    bool announce(target_announcement a);
    bool withdraw();
    /// @brief Takes a configuration unless its version is not higher than
    /// that in force.
    bool configure(const agent_configuration& c);
    bool leave();

    // lookup
    /// @brief Why no start may be taken, or null.
    const start_refusal* refusal() const;
    /// @brief Why this start may not be taken, or null.
    const start_refusal* refusal(const start_order& order) const;
    /// @brief State of the target for the entries.
    target_report report() const;
    uint32_t queue_allowance() const;
    const std::string& url() const;
    config_version version() const;
    bool announced() const noexcept;

  private:
    target_name target_;
    std::optional<target_announcement> announcement_;
    std::optional<agent_configuration> configuration_;
    bool leaving_ = false;
};

} // namespace agatebank
