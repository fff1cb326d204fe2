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

/// @brief Receives the configuration read from the platform's table, or null
/// when none has been written.
using configuration_loaded =
    std::function<void(result<std::shared_ptr<const configuration>>)>;
/// @brief Reads the configuration from the platform's table.
using configuration_loader = std::function<void(configuration_loaded)>;

/// @brief Stores the configuration in force in this process. Its version only
/// increases, in whatever order the store and the peers deliver versions.
class configuration_holder
{
  public:
    using change_handler = std::function<void()>;

    // construction
    /// @param loader reads the store; not called while a read is in progress
    configuration_holder(event_loop& loop, event_ring& events, log_sink log,
                         configuration_loader loader, duration poll_period);

    /// @brief Adds a handler called after each change of the configuration.
    void on_change(change_handler handler);

    // modifiers
    /// @brief Reads the store at once and then once per poll period.
    void start();
    /// @brief Puts a configuration in force if its version is higher.
    void apply_if_newer(std::shared_ptr<const configuration> c);
    /// @brief Parses a document received from a peer and applies it like
    /// @ref apply_if_newer; a parse error is logged.
    /// @param peer named in the error
    void apply_text_if_newer(const std::string& text, const std::string& peer);
    /// @brief Reads the store now, unless a read is in progress.
    void refresh();

    // lookup
    const configuration_view& view() const noexcept;
    /// @brief The view with shared ownership; null while not @ref known.
    std::shared_ptr<const configuration_view> shared_view() const;
    config_version version() const noexcept;
    /// @brief Whether the store has been read or a configuration has been
    /// passed to @ref apply_if_newer. An empty store counts as read.
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
    bool failing_ = false; ///< the last read failed and was logged
    watch timer_;
};

} // namespace agatebank
