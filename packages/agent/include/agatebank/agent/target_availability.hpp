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

/// @brief Body of a target's POST /v1/announcement request.
struct announcement_request
{
    std::vector<service_name> services;
    uint32_t slots = 0;
    std::string url; ///< base URL of its HTTP interface

    bool operator==(const announcement_request&) const = default;
};

/// @brief Parses and validates an announcement; unknown fields are errors.
/// @return errc::request_malformed with the path of the first invalid field,
/// the value found and what was expected
result<announcement_request> parse_announcement(std::string_view text,
                                                const std::string& peer);

/// @brief Whether an agent's local target may be given starts, and how many.
///
/// Combines the target's announcement, the configuration received from the
/// entries, and whether the agent is shutting down.
class target_availability
{
  public:
    // construction
    explicit target_availability(target_name target);

    // modifiers; each returns whether anything changed
    bool announce(announcement_request a);
    /// @brief Discards the announcement.
    bool withdraw();
    /// @brief Applies a configuration if its version is higher than the one
    /// in force.
    bool configure(const agent_configuration& c);
    /// @brief Marks the agent as shutting down; this cannot be undone.
    bool set_leaving();

    // lookup
    /// @brief Why no start can be accepted now, or null if some can.
    const start_refusal* refusal() const;
    /// @brief Why this start cannot be accepted now, or null if it can.
    const start_refusal* refusal(const start_order& order) const;
    /// @brief The target's slots, services and availability, as sent to
    /// entries: what both announcement and configuration allow.
    target_report report() const;
    uint32_t queue_allowance() const;
    const std::string& url() const;
    config_version version() const;
    bool announced() const noexcept;

  private:
    target_name target_;
    std::optional<announcement_request> announcement_;
    std::optional<agent_configuration> configuration_;
    bool leaving_ = false;
};

} // namespace agatebank
