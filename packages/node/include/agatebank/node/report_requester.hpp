#pragma once

#include <agatebank/core/log.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/wire/link_hub.hpp>
#include <agatebank/wire/messages.hpp>

#include <cstdint>
#include <functional>
#include <set>

namespace agatebank
{

/// @brief Actions of a report_requester.
struct report_requester_hooks
{
    std::function<void(link_id, const report_request&)> send;
    log_sink log;
};

/// @brief Load reports that an entry has received, by kind.
struct load_report_counts
{
    uint64_t greetings = 0;     ///< with target_hello
    uint64_t class_changes = 0; ///< accepts_work, suspect, cold or capacity
    uint64_t other_changes = 0;
};

/// @brief Requests from the agents of an entry how often they report their
/// load, so that receiving the reports takes a bounded share of the entry's
/// processor time. Messages: one per link, and one per agent each time the
/// period changes by a quarter; memory grows with the links to agents.
class report_requester
{
  public:
    // construction
    /// @param processor_share cores; 0: not limited
    report_requester(double processor_share, report_requester_hooks hooks);

    // modifiers
    /// @brief An agent has greeted: requests the period from it. Does nothing
    /// if it greets again over the same link.
    void add_link(link_id link);
    /// @brief Does nothing if the link belongs to no agent.
    void remove_link(link_id link);
    void count_greeting() noexcept;
    void count_update(const target_load& previous, const target_load& load);

    // lookup
    /// @brief The period requested last; 25 ms before the first request.
    duration period() const noexcept;
    const load_report_counts& counts() const noexcept;

  private:
    /// @brief Requests the period from all agents if it has changed by a
    /// quarter. @return whether it did
    bool update();

    double processor_share_;
    report_requester_hooks hooks_;
    std::set<link_id> links_;
    duration period_;
    load_report_counts counts_;
};

} // namespace agatebank
