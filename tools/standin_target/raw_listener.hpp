#pragma once

#include "fault_mode.hpp"
#include "task_request.hpp"
#include <agatebank/loop/event_loop.hpp>

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief Callbacks of the raw listener.
struct raw_handlers
{
    std::function<fault_mode()> mode;    ///< returns the current mode
    std::function<void()> on_connection; ///< connection closed before reading
    std::function<void(const task_request&)> on_task; ///< head was read
    /// the exchange ended with this outcome
    std::function<void(const task_request&, const std::string&)> on_end;
};

/// @brief Accepts connections and ends each exchange in the malformed or
/// incomplete way that the fault mode prescribes. An HTTP server library cannot
/// produce these failures.
class raw_listener
{
  public:
    // construction
    /// @throw std::runtime_error if listening on the address fails
    raw_listener(const std::string& address, raw_handlers handlers);
    ~raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    // lookup
    uint16_t port() const noexcept;

  private:
    struct exchange;

    static gboolean on_incoming(GSocketService* service,
                                GSocketConnection* connection, GObject* source,
                                gpointer self);

    object_ptr<GSocketService> service_;
    std::shared_ptr<raw_handlers> handlers_;
    uint16_t port_ = 0;
};

} // namespace agatebank
