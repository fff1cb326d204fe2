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

/// @brief Supplies random numbers over the whole range.
using random_source = std::function<uint64_t()>;

/// @brief Time before another attempt: doubles with each failure from 100 ms
/// up to @p longest, of which a random half is jitter.
/// @param failures attempts that failed in a row, from 0
duration dial_delay(unsigned failures, uint64_t random,
                    duration longest = std::chrono::seconds(2));

/// @brief Dials processes, again after each failure. Each is addressed by the
/// position at which it was added.
class endpoint_dialer
{
  public:
    using on_connected =
        std::function<void(std::size_t, object_ptr<GSocketConnection>)>;

    // construction
    endpoint_dialer(timer_queue& timers, std::vector<endpoint> entries,
                    random_source random, log_sink log, on_connected connected,
                    duration longest_delay = std::chrono::seconds(2));

    // modifiers
    /// @brief Adds an endpoint. @return its position
    std::size_t add(const endpoint& remote);
    /// @brief Dials an entry now.
    void dial(std::size_t entry);
    /// @brief Dials an entry after its back-off time.
    void dial_later(std::size_t entry);
    /// @brief The entry has answered; the back-off starts anew.
    void reset(std::size_t entry);
    /// @brief Gives up the attempt at one entry.
    void pause(std::size_t entry);
    /// @brief Gives up all attempts.
    void stop();

    // lookup
    const std::vector<endpoint>& entries() const noexcept;

  private:
    void on_timeout(std::size_t entry);

    struct attempt
    {
        std::shared_ptr<void> connecting;
        timer_id timer;
        unsigned failures = 0;
    };

    timer_queue& timers_;
    std::vector<endpoint> entries_;
    random_source random_;
    log_sink log_;
    on_connected connected_;
    tcp_connector connector_;
    std::vector<attempt> attempts_;
    duration longest_delay_;
    bool stopped_ = false;
};

} // namespace agatebank
