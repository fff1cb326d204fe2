#pragma once

#include <agatebank/wire/authenticator.hpp>
#include <agatebank/wire/codec.hpp>
#include <agatebank/wire/frame_codec.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace agatebank
{

/// @brief A link to a peer whose bytes a test writes, with the clock readings
/// that it chooses. Both sides use the clock of this process.
class raw_peer
{
  public:
    static constexpr duration silence_timeout = std::chrono::milliseconds(800);

    raw_peer()
    {
        std::array<int, 2> fds{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds.data()) == 0);
        fd_ = fds[1];
        const object_ptr<GSocket> socket(g_socket_new_from_fd(fds[0], nullptr));
        REQUIRE(socket);
        link_options options;
        options.heartbeat_period = std::chrono::milliseconds(200);
        options.silence_timeout = silence_timeout;
        options.heartbeat_only_when_idle = true;
        link_handlers handlers;
        handlers.on_message = [this](message&&)
        {
            ++delivered;
        };
        handlers.on_closed = [this](const failure& why)
        {
            closed = why.code;
        };
        link = std::make_unique<tcp_link>(
            link_context{loop, clock, auth_, options,
                         []
                         {
                             return config_version();
                         }},
            object_ptr<GSocketConnection>(
                g_socket_connection_factory_create_connection(socket.get())),
            std::move(handlers));
    }

    ~raw_peer()
    {
        ::close(fd_);
    }

    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    void write_nonce()
    {
        write(codec_.local_nonce());
    }

    /// @param sent the clock reading in the frame
    void write_message(const message& m, time_point sent)
    {
        write(codec_.encode(
            encode_number(
                static_cast<uint64_t>(sent.time_since_epoch().count()), 8) +
            encode(clock.tick(), m)));
    }

    /// @brief Writes a heartbeat.
    /// @param sent its clock reading and that of its frame
    /// @param echoed reading of the link's clock that is answered
    void write_heartbeat(time_point sent, std::optional<time_point> echoed = {})
    {
        heartbeat beat;
        beat.clock_us = sent.time_since_epoch().count();
        if (echoed)
        {
            beat.echo_us = echoed->time_since_epoch().count();
        }
        write_message(beat, sent);
    }

    /// @brief Writes a part of a frame that is never complete.
    void write_part(std::size_t bytes)
    {
        if (!std::exchange(in_long_frame_, true))
        {
            write(encode_number(long_frame_bytes, frame_length_bytes));
        }
        write(std::string(bytes, 'x'));
    }

    void run(duration d)
    {
        const auto timer = loop.after(d, [this] { loop.quit(); });
        loop.run();
    }

    event_loop loop;
    hybrid_clock clock{[]
                       {
                           return uint64_t{1};
                       }};
    std::unique_ptr<tcp_link> link;
    int delivered = 0;
    std::optional<std::error_code> closed;

  private:
    static constexpr std::size_t long_frame_bytes = 8U << 20U;

    void write(const std::string& bytes)
    {
        REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }

    authenticator auth_{""};
    frame_codec codec_{auth_};
    int fd_ = -1;
    bool in_long_frame_ = false;
};

} // namespace agatebank
