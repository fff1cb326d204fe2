#pragma once

#include <agatebank/core/log.hpp>
#include <agatebank/loop/timer_queue.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace agatebank
{

/// @brief Returns random numbers over the whole range of uint64_t.
using random_source = std::function<uint64_t()>;

/// @brief Back-off delay before the next connection attempt. Its upper bound
/// starts at 100 ms and doubles with each failure, up to @p max_delay and at
/// most 3.2 s; the upper half of the delay is random jitter.
/// @param failures number of consecutive failed attempts, from 0
/// @param random random number over the whole range, for the jitter
duration dial_delay(unsigned failures, uint64_t random,
                    duration max_delay = std::chrono::seconds(2));

/// @brief Returns the time after which a connection attempt is given up: 100 ms
/// for the first four attempts, then 300 ms.
/// @param failures number of consecutive failed attempts, from 0
duration connect_time_limit(unsigned failures);

/// @brief Connects to endpoints and retries after each failure, with a back-off
/// delay that grows from the fifth failure on.
///
/// Load pattern: all VMs return from a power loss within a few hundred
/// milliseconds, and no process can serve before it has its links. An endpoint
/// is identified by its index in @ref endpoints.
class endpoint_dialer
{
  public:
    using on_connected =
        std::function<void(std::size_t, object_ptr<GSocketConnection>)>;
    using on_failed = std::function<void(std::size_t)>;

    // construction
    /// @param failed called after each failed attempt; may be empty
    endpoint_dialer(timer_queue& timers, std::vector<endpoint> endpoints,
                    random_source random, log_sink log, on_connected connected,
                    duration max_delay = std::chrono::seconds(2),
                    on_failed failed = {});

    // modifiers
    /// @brief Adds an endpoint. @return its index
    std::size_t add(const endpoint& remote);
    /// @brief Connects to an endpoint at once.
    void dial(std::size_t index);
    /// @brief Connects to an endpoint after its back-off delay.
    void schedule_dial(std::size_t index);
    /// @brief Resets an endpoint's back-off delay, once the endpoint answers.
    void reset_backoff(std::size_t index);
    /// @brief Cancels an endpoint's current or scheduled attempt.
    void cancel(std::size_t index);
    /// @brief Cancels all attempts and starts no more.
    void stop();

    // lookup
    const std::vector<endpoint>& endpoints() const noexcept;

  private:
    struct attempt
    {
        std::shared_ptr<void> connecting;
        timer_id timer;
        unsigned failures = 0;
    };

    void on_timeout(std::size_t index);
    void retry_after_failure(std::size_t index);

    timer_queue& timers_;
    std::vector<endpoint> endpoints_;
    random_source random_;
    log_sink log_;
    on_connected connected_;
    on_failed failed_;
    tcp_connector connector_;
    std::vector<attempt> attempts_;
    duration max_delay_;
    bool stopped_ = false;
};

} // namespace agatebank
