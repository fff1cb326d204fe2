#pragma once

#include <agatebank/core/configuration_view.hpp>
#include <agatebank/core/event.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Receives the configuration in the platform's table; nothing when
/// none was ever written.
using configuration_loaded =
    std::function<void(result<std::shared_ptr<const configuration>>)>;
/// @brief Reads the configuration from the platform's table.
using configuration_loader = std::function<void(configuration_loaded)>;

/// @brief The configuration in force in this process. Its version only
/// rises, whatever the store and the peers give, in whatever order.
class configuration_holder
{
  public:
    using change_handler = std::function<void()>;

    // construction
    configuration_holder(event_loop& loop, event_ring& events, log_sink log,
                         configuration_loader loader, duration poll_period);

    void on_change(change_handler handler);

    // modifiers
    /// @brief Begins to poll the store.
    void start();
    /// @brief Puts a configuration in force if its version is higher.
    void adopt(std::shared_ptr<const configuration> c);
    /// @brief Takes a document from a peer.
    void adopt_text(const std::string& text, const std::string& peer);
    /// @brief Reads the store soon: a higher version is known to exist.
    void refresh();

    // lookup
    const configuration_view& view() const noexcept;
    /// @brief The view, kept alive by the caller; null while not known.
    std::shared_ptr<const configuration_view> shared_view() const;
    config_version version() const noexcept;
    /// @brief Whether the store or a peer has answered.
    bool known() const noexcept;

  private:
    void poll();

    event_loop& loop_;
    event_ring& events_;
    log_sink log_;
    configuration_loader loader_;
    duration poll_period_;
    std::vector<change_handler> handlers_;
    std::shared_ptr<const configuration_view> view_;
    bool known_ = false;
    bool loading_ = false;
    bool failing_ = false;
    watch timer_;
};

} // namespace agatebank
