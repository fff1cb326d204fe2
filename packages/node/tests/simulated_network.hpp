#pragma once

#include "simulated_process.hpp"
#include <agatebank/core/units.hpp>
#include <agatebank/wire/delay_estimator.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>
#include <vector>

/// @file
/// Links between processes that deliver late, on a virtual clock.

namespace agatebank
{

/// @brief The rules of docs/design/late-input.md that concern links, and the
/// greatest delay of a message.
struct link_rules
{
    /// silence counts from the sending of the newest message; otherwise from
    /// its arrival
    bool silence_since_sent = true;
    /// a message that was under way for longer than the silence timeout is not
    /// delivered
    bool drop_late = true;
    /// a message carries the time up to which its sender had read its sockets;
    /// otherwise the time of sending
    bool carry_read_time = true;
    /// the delay is known exactly; otherwise delay_estimator estimates it from
    /// the link's own messages
    bool exact_delay = true;
    duration longest_delay = std::chrono::seconds(2);
};

using simulated_link = uint64_t;

/// @brief Callbacks of the owner of a process's links.
struct link_owner
{
    std::function<void(simulated_link, std::size_t peer)> on_opened;
    std::function<void(simulated_link, std::size_t peer)> on_closed;
    std::function<void(simulated_link)> on_heartbeat = {};
};

/// @brief Links that deliver in order, with delays that grow and shrink by
/// direction, and that follow the rules of tcp_link and endpoint_dialer. What
/// was sent before a close is delivered before it.
class simulated_network
{
  public:
    using callback = event_queue::callback;

    /// @param faults_end delays grow no more from then on
    simulated_network(event_queue& events, random_choice& random,
                      link_rules rules, time_point faults_end)
        : events_(events)
        , random_(random)
        , rules_(rules)
        , faults_end_(faults_end)
    {
    }

    void add(simulated_process& process, link_owner owner)
    {
        nodes_.push_back({&process, std::move(owner),
                          std::chrono::seconds(random_.below(1000))});
        const auto self = nodes_.size() - 1;
        process.every(check_period, [this, self] { check(self); });
    }

    /// @brief Connects two processes, with repetitions until it succeeds.
    void dial(std::size_t from, std::size_t to, unsigned failures = 0)
    {
        const auto out = delay(from, to, events_.now());
        const auto round_trip = out + delay(to, from, events_.now() + out);
        const auto limit =
            failures < quick_attempts ? quick_connect_timeout : connect_timeout;
        if (round_trip > limit)
        {
            nodes_[from].process->after(
                limit + random_.between(ms(50), ms(600)),
                [this, from, to, failures] { dial(from, to, failures + 1); });
            return;
        }
        const auto link = ++last_link_;
        auto& c = links_[link];
        c.ends[0].node = from;
        c.ends[1].node = to;
        events_.at(out, [this, link] { accept(link, 1); });
        events_.at(round_trip, [this, link] { accept(link, 0); });
    }

    /// @brief Sends a message, which calls @p body where it is received.
    void send(simulated_link link, std::size_t from, callback body)
    {
        const auto side = side_of(link, from);
        auto& end = links_.at(link).ends[side];
        if (!end.open)
        {
            return;
        }
        const auto& sender = nodes_[from];
        const auto stamp = rules_.carry_read_time
                               ? sender.process->iteration_began()
                               : events_.now();
        end.last_sent = events_.now();
        transmit(link, side,
                 [this, link, side, stamp, body = std::move(body)]
                 { receive(link, 1 - side, stamp, body); });
    }

    void close(simulated_link link, std::size_t node)
    {
        auto& end = links_.at(link).ends[side_of(link, node)];
        if (end.open)
        {
            end.open = false;
            send_close(link, side_of(link, node));
        }
    }

    bool is_open(simulated_link link, std::size_t node) const
    {
        return links_.at(link).ends[side_of(link, node)].open;
    }

    /// @brief When the newest message was sent, as the receiver knows it. Kept
    /// after a close.
    time_point last_heard(simulated_link link, std::size_t node) const
    {
        return links_.at(link).ends[side_of(link, node)].last_heard;
    }

    duration delay(std::size_t from, std::size_t to, time_point t)
    {
        auto& path = paths_[{from, to}];
        while (path.end <= t)
        {
            extend(path);
        }
        std::erase_if(path.episodes, [this](const episode& it)
                      { return it.end() < events_.now(); });
        duration longest{};
        for (const auto& it : path.episodes)
        {
            longest = std::max(longest, it.delay(t));
        }
        return least_delay + longest;
    }

    /// @brief Lets the delay of a path grow from now on.
    void congest(std::size_t from, std::size_t to)
    {
        if (events_.now() + ms(4000) < faults_end_)
        {
            paths_[{from, to}].episodes.push_back(new_episode(events_.now()));
        }
    }

    uint64_t silent = 0;  ///< links closed for silence
    uint64_t dropped = 0; ///< messages not delivered, as they were late

  private:
    using ms = std::chrono::milliseconds;

    static constexpr duration silence_timeout = ms(800);
    static constexpr duration heartbeat_period = ms(200);
    static constexpr duration check_period = ms(100);
    static constexpr duration least_delay = ms(1);
    static constexpr unsigned quick_attempts = 4;
    static constexpr duration quick_connect_timeout = ms(100);
    static constexpr duration connect_timeout = ms(300);

    struct network_node
    {
        simulated_process* process;
        link_owner owner;
        duration clock_offset; ///< of its clock, to the virtual one
    };

    struct link_end
    {
        std::size_t node = 0;
        bool open = false;
        time_point last_heard;
        time_point last_sent;
        time_point last_arrival; ///< of what it sent, at the peer
        delay_estimator delays;
    };

    struct connection
    {
        link_end ends[2];
    };

    // A time in which the delay of a path grows to a peak and shrinks again.
    struct episode
    {
        time_point begin;
        duration rise;
        duration hold;
        duration fall;
        duration peak;

        time_point end() const
        {
            return begin + rise + hold + fall;
        }

        duration delay(time_point t) const
        {
            const auto share = [this](duration part, duration whole)
            {
                return duration(peak.count() * part.count() / whole.count());
            };
            const auto age = t - begin;
            if (age < duration(0) || age >= rise + hold + fall)
            {
                return duration(0);
            }
            return age < rise          ? share(age, rise)
                   : age < rise + hold ? peak
                                       : share(rise + hold + fall - age, fall);
        }
    };

    struct network_path
    {
        std::vector<episode> episodes;
        time_point end; ///< of the time for which episodes are chosen
    };

    // Half of the peaks are below the silence timeout.
    episode new_episode(time_point begin)
    {
        const auto peak =
            random_.percent(50)
                ? std::min<duration>(rules_.longest_delay, silence_timeout)
                : rules_.longest_delay;
        return {begin, random_.between(ms(5), ms(1000)),
                random_.between(ms(0), ms(1500)),
                random_.between(ms(50), ms(1000)),
                random_.between(ms(0), peak)};
    }

    void extend(network_path& p)
    {
        if (p.end == time_point())
        {
            p.end = events_.now();
        }
        const auto e = new_episode(p.end + random_.between(ms(100), ms(3000)));
        p.end = e.end();
        if (p.end < faults_end_)
        {
            p.episodes.push_back(e);
        }
    }

    std::size_t side_of(simulated_link link, std::size_t node) const
    {
        return links_.at(link).ends[0].node == node ? 0 : 1;
    }

    // Each direction keeps its order.
    void transmit(simulated_link link, std::size_t side, callback fn)
    {
        auto& c = links_.at(link);
        auto& end = c.ends[side];
        const auto to = c.ends[1 - side].node;
        end.last_arrival =
            std::max(end.last_arrival,
                     events_.now() + delay(end.node, to, events_.now()));
        events_.at(end.last_arrival - events_.now(),
                   [this, to, queue = link * 2 + side, fn = std::move(fn)]
                   { nodes_[to].process->handle(queue, fn); });
    }

    void accept(simulated_link link, std::size_t side)
    {
        const auto node = links_.at(link).ends[side].node;
        nodes_[node].process->handle(
            link * 2 + 1 - side,
            [this, link, side, node]
            {
                auto& c = links_.at(link);
                auto& end = c.ends[side];
                end.open = true;
                end.last_heard = end.last_sent = events_.now();
                transmit(link, side,
                         [this, link, side] { receive_nonce(link, 1 - side); });
                nodes_[node].owner.on_opened(link, c.ends[1 - side].node);
            });
    }

    // A nonce carries no time.
    void receive_nonce(simulated_link link, std::size_t side)
    {
        auto& end = links_.at(link).ends[side];
        if (end.open && !close_if_silent(link, side))
        {
            end.last_heard = events_.now();
        }
    }

    void receive(simulated_link link, std::size_t side, time_point stamp,
                 const callback& body)
    {
        auto& c = links_.at(link);
        auto& end = c.ends[side];
        if (!end.open || close_if_silent(link, side))
        {
            return;
        }
        const auto now = events_.now();
        const auto late =
            rules_.exact_delay
                ? now - stamp
                : end.delays.observe(
                      (stamp + nodes_[c.ends[1 - side].node].clock_offset)
                          .time_since_epoch()
                          .count(),
                      now + nodes_[end.node].clock_offset);
        if (late > silence_timeout && rules_.drop_late)
        {
            ++dropped;
            close_silent(link, side);
            return;
        }
        const auto heard = rules_.silence_since_sent ? now - late : now;
        end.last_heard = std::max(end.last_heard, heard);
        const auto& on_heartbeat = nodes_[end.node].owner.on_heartbeat;
        if (body)
        {
            body();
        }
        else if (on_heartbeat)
        {
            on_heartbeat(link);
        }
    }

    void check(std::size_t node)
    {
        for (auto& [link, c] : links_)
        {
            const auto side = side_of(link, node);
            auto& end = c.ends[side];
            if (end.node != node || !end.open || close_if_silent(link, side))
            {
                continue;
            }
            if (events_.now() - end.last_sent >= heartbeat_period)
            {
                send(link, node, {});
            }
        }
    }

    bool close_if_silent(simulated_link link, std::size_t side)
    {
        const auto& end = links_.at(link).ends[side];
        if (events_.now() - end.last_heard <= silence_timeout)
        {
            return false;
        }
        close_silent(link, side);
        return true;
    }

    void close_silent(simulated_link link, std::size_t side)
    {
        ++silent;
        lose(link, side);
    }

    void lose(simulated_link link, std::size_t side)
    {
        auto& c = links_.at(link);
        auto& end = c.ends[side];
        if (!end.open)
        {
            return;
        }
        end.open = false;
        send_close(link, side);
        nodes_[end.node].owner.on_closed(link, c.ends[1 - side].node);
    }

    void send_close(simulated_link link, std::size_t side)
    {
        transmit(link, side, [this, link, side] { lose(link, 1 - side); });
    }

    event_queue& events_;
    random_choice& random_;
    link_rules rules_;
    time_point faults_end_;
    std::vector<network_node> nodes_;
    std::map<simulated_link, connection> links_;
    std::map<std::pair<std::size_t, std::size_t>, network_path> paths_;
    simulated_link last_link_ = 0;
};

} // namespace agatebank
