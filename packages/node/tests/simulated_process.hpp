#pragma once

#include <agatebank/core/units.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <utility>

/// @file
/// Processes that are paused, on a virtual clock.

namespace agatebank
{

/// @brief A virtual clock and the events to come. Events of one time keep the
/// order in which they were added.
class event_queue
{
  public:
    using callback = std::function<void()>;

    explicit event_queue(time_point begin) : now_(begin) {}

    time_point now() const noexcept
    {
        return now_;
    }

    void at(duration delay, callback fn)
    {
        events_.emplace(now_ + delay, std::move(fn));
    }

    void run(time_point end)
    {
        while (!events_.empty() && events_.begin()->first <= end)
        {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

  private:
    time_point now_;
    std::multimap<time_point, callback> events_;
};

/// @brief The random choices of one simulation.
class random_choice
{
  public:
    explicit random_choice(uint64_t seed) : engine_(seed) {}

    uint64_t below(std::size_t n)
    {
        return engine_() % n;
    }

    /// @return whole milliseconds, from @p least to less than @p most
    duration between(duration least, duration most)
    {
        const auto n = std::max<int64_t>(1, (most - least).count() / 1000);
        return least +
               std::chrono::milliseconds(below(static_cast<std::size_t>(n)));
    }

    bool percent(unsigned n)
    {
        return engine_() % 100 < n;
    }

  private:
    std::mt19937_64 engine_;
};

/// @brief The event loop of a process that may be paused. What arrives during
/// a pause is handled at its end: in order within each queue (a socket or a
/// timer), and in any order across queues.
class simulated_process
{
  public:
    using callback = event_queue::callback;
    using queue_id = uint64_t;

    simulated_process(event_queue& events, random_choice& random)
        : events_(events), random_(random)
    {
    }

    /// @brief Handles an input of a socket.
    void handle(queue_id queue, callback fn)
    {
        if (paused_)
        {
            backlog_[queue].push_back(std::move(fn));
            return;
        }
        fn();
    }

    /// @brief Handles an input that arrives at a socket of its own.
    void receive_after(duration delay, callback fn)
    {
        call_after(delay, first_own_socket + ++last_queue_, std::move(fn));
    }

    void after(duration delay, callback fn)
    {
        call_after(delay, first_timer + ++last_queue_, std::move(fn));
    }

    /// @brief Calls @p fn periodically, once for all calls that a pause has
    /// delayed.
    void every(duration period, const callback& fn)
    {
        after(period,
              [this, period, fn]
              {
                  fn();
                  every(period, fn);
              });
    }

    /// @param d what arrives is handled within this time
    void pause(duration d)
    {
        if (paused_)
        {
            return;
        }
        paused_ = true;
        paused_since_ = events_.now();
        if (random_.percent(50))
        {
            events_.at(d, [this] { end_pause_while_idle(); });
            return;
        }
        const auto first = random_.between(duration(0), d);
        events_.at(first, [this, rest = d - first]
                   { end_pause_within_iteration(rest); });
    }

    /// @brief When the current iteration of the loop began: what had arrived by
    /// then has been handled at its end.
    time_point iteration_began() const
    {
        return iteration_began_.value_or(events_.now());
    }

    bool paused() const noexcept
    {
        return paused_;
    }

  private:
    static constexpr queue_id first_own_socket = queue_id{1} << 32U;
    static constexpr queue_id first_timer = queue_id{1} << 40U;

    void call_after(duration delay, queue_id queue, callback fn)
    {
        events_.at(delay,
                   [this, queue, fn = std::move(fn)] { handle(queue, fn); });
    }

    // The iteration that was waiting for input began before the pause, and
    // handles all that has arrived.
    void end_pause_while_idle()
    {
        iteration_began_ = paused_since_;
        handle_backlog(0);
        iteration_began_.reset();
        paused_ = false;
    }

    // The iteration that was paused began before the pause. It calls the timers
    // that are due but reads no sockets again. The next one reads them, and is
    // paused too.
    void end_pause_within_iteration(duration rest)
    {
        iteration_began_ = paused_since_;
        handle_backlog(first_timer);
        iteration_began_.reset();
        paused_since_ = events_.now();
        events_.at(rest, [this] { end_pause_while_idle(); });
    }

    void handle_backlog(queue_id first)
    {
        while (!backlog_.empty() && backlog_.rbegin()->first >= first)
        {
            const auto begin = backlog_.lower_bound(first);
            const auto n = std::distance(begin, backlog_.end());
            const auto it =
                std::next(begin, static_cast<std::ptrdiff_t>(random_.below(
                                     static_cast<std::size_t>(n))));
            const auto fn = std::move(it->second.front());
            it->second.pop_front();
            if (it->second.empty())
            {
                backlog_.erase(it);
            }
            fn();
        }
    }

    event_queue& events_;
    random_choice& random_;
    std::map<queue_id, std::deque<callback>> backlog_;
    queue_id last_queue_ = 0;
    time_point paused_since_;
    std::optional<time_point> iteration_began_;
    bool paused_ = false;
};

} // namespace agatebank
