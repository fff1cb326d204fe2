#pragma once

#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/fleet/report_period.hpp>
#include <agatebank/wire/link_hub.hpp>
#include <agatebank/wire/messages.hpp>

#include <functional>
#include <map>
#include <optional>

namespace agatebank
{

/// @brief Decides when an agent reports the load of its target to each of its
/// entries, and keeps what was reported.
///
/// A change of accepts_work is reported at once, other changes of class at most
/// every 25 ms. Changes of the amount of work wait for the period that the
/// entry has requested, small ones up to four times as long. Where an entry
/// requests more than 25 ms, order results carry the load: the entry wakes up
/// for them in any case.
class load_reporter
{
  public:
    using sender = std::function<void(link_id, const target_update&)>;

    // construction
    explicit load_reporter(sender send);

    // modifiers
    void add_link(link_id link);
    void remove_link(link_id link);
    /// @brief Orders were received over a link.
    void on_orders(link_id link, const run_batch& batch);
    /// @brief Sets the period that an entry requested; a new link has 25 ms.
    /// @param requested limited to 25 to 400 ms
    /// @return the period in force
    duration set_period(link_id link, duration requested);
    /// @brief Completes the load that is sent with a greeting, and counts it as
    /// reported.
    /// @param load without last_order_received, which differs by link
    target_load greet(link_id link, target_load load);
    /// @brief Sends the load over a link if it differs from the reported one
    /// and is due.
    /// @param load without last_order_received
    /// @param with_results whether order results are sent in the same write
    /// @return time after which to call again; nothing if all is reported
    std::optional<duration> report(link_id link, target_load load,
                                   bool with_results, time_point now);

  private:
    struct link_state
    {
        uint64_t last_order_received = 0; ///< highest order id received
        target_load reported;             ///< last load sent
        time_point reported_at;
        duration period = min_report_period; ///< requested by the entry
    };

    /// @brief Returns how long a changed load still has to wait; 0 if due.
    static duration time_to_report(const link_state& state,
                                   const target_load& load, bool with_results,
                                   time_point now);

    sender send_;
    std::map<link_id, link_state> links_;
};

} // namespace agatebank
