#pragma once

#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/wire/link_hub.hpp>
#include <agatebank/wire/messages.hpp>

#include <functional>
#include <map>
#include <optional>

namespace agatebank
{

/// @brief Decides when an agent reports the load of its target to each of its
/// entries, and keeps what was reported. A change of accepts_work is reported
/// at once; other changes wait until the period for their size has passed.
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
    /// @brief Completes the load that is sent with a greeting, and counts it as
    /// reported.
    /// @param load without last_order_received, which differs by link
    target_load greet(link_id link, target_load load);
    /// @brief Sends the load over a link if it differs from the reported one
    /// and its period has passed.
    /// @param load without last_order_received
    /// @return time after which to call again; nothing if all is reported
    std::optional<duration> report(link_id link, target_load load,
                                   time_point now);

  private:
    struct link_state
    {
        uint64_t last_order_received = 0; ///< highest order id received
        target_load reported;             ///< last load sent
        time_point reported_at;
    };

    sender send_;
    std::map<link_id, link_state> links_;
};

} // namespace agatebank
