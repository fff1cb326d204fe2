#include <agatebank/wire/link_hub.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <vector>

#include <sys/socket.h>

using namespace agatebank;

namespace
{

object_ptr<GSocketConnection> to_connection(int fd)
{
    const object_ptr<GSocket> socket(g_socket_new_from_fd(fd, nullptr));
    REQUIRE(socket);
    return object_ptr<GSocketConnection>(
        g_socket_connection_factory_create_connection(socket.get()));
}

// Two hubs in one loop; what the left one sends, the right one receives.
struct hub_pair
{
    event_loop loop;
    hybrid_clock clock{[]
                       {
                           return uint64_t{1};
                       }};
    authenticator auth{""};
    hub_handlers right_handlers;
    link_hub left{context(),
                  {[](link_id, message&&) {},
                   {},
                   [](link_id, const failure&) {
                   }}};
    link_hub right{context(),
                   {[this](link_id id, message&& m)
                    { right_handlers.on_message(id, std::move(m)); },
                    {},
                    [](link_id, const failure&) {
                    }}};
    std::vector<link_id> left_ids;
    std::vector<link_id> right_ids;

    link_context context()
    {
        return {loop,
                clock,
                auth,
                {},
                []
                {
                    return config_version(1);
                }};
    }

    void connect()
    {
        std::array<int, 2> fds{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds.data()) == 0);
        left_ids.push_back(left.add(to_connection(fds[0])));
        right_ids.push_back(right.add(to_connection(fds[1])));
    }

    void run(duration limit)
    {
        const auto timer = loop.after(limit, [this] { loop.quit(); });
        loop.run();
    }
};

} // namespace

// Guards against use of a link that a callback in the same batch of events has
// destroyed, and against links that are not read since they were opened within
// a callback and got the descriptor of a closed one.
TEST_CASE("link_hub: links may be closed and opened by the callback of a "
          "message")
{
    struct row
    {
        bool close_self;
        bool close_others;
        bool open_one;
        unsigned received;
        std::size_t left_open;
    };
    const row rows[] = {{false, false, false, 3, 3}, {true, false, false, 3, 0},
                        {false, true, false, 1, 1},  {true, true, false, 1, 0},
                        {false, false, true, 4, 4},  {true, true, true, 2, 0}};
    for (const auto& it : rows)
    {
        hub_pair hubs;
        unsigned received = 0;
        bool opened = false;
        hubs.right_handlers.on_message = [&](link_id id, message&&)
        {
            ++received;
            for (const auto other : std::vector(hubs.right_ids))
            {
                if (other == id ? it.close_self : it.close_others)
                {
                    hubs.right.close(other);
                }
            }
            if (it.open_one && !std::exchange(opened, true))
            {
                hubs.connect();
                hubs.left.send(hubs.left_ids.back(), acknowledgement());
            }
        };
        for (int n = 0; n < 3; ++n)
        {
            hubs.connect();
        }
        for (const auto id : hubs.left_ids)
        {
            hubs.left.send(id, acknowledgement());
        }
        hubs.run(std::chrono::milliseconds(100));
        CHECK(received == it.received);
        CHECK(hubs.right.size() == it.left_open);
        CHECK(hubs.loop.sockets().size() ==
              hubs.left.size() + hubs.right.size());
    }
}

// Guards against data that stays in the send buffer of a link whose peer reads
// slowly, and against messages of another order.
TEST_CASE("link_hub: a backlog is written when the socket is writable again")
{
    constexpr uint64_t messages = 300;
    constexpr std::size_t text_bytes = 20'000; // more than the kernel buffers
    hub_pair hubs;
    uint64_t in_order = 0;
    hubs.right_handlers.on_message = [&](link_id, message&& m)
    {
        const auto& d = std::get<configuration_document>(m);
        in_order += d.version == config_version(in_order) ? 1 : 0;
        if (in_order == messages)
        {
            hubs.loop.quit();
        }
    };
    hubs.connect();
    configuration_document document;
    document.text = std::string(text_bytes, 'x');
    for (uint64_t i = 0; i < messages; ++i)
    {
        document.version = config_version(i);
        hubs.left.send(hubs.left_ids[0], document);
    }
    hubs.run(std::chrono::seconds(20));
    CHECK(in_order == messages);
}
