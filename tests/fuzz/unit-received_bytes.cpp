#include "allocation_meter.hpp"
#include "mutation.hpp"
#include <agatebank/wire/datagram_socket.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <catch2/catch.hpp>

#include <list>
#include <memory>
#include <string>

using namespace agatebank;

namespace
{

constexpr unsigned seed = 20261204;
constexpr int rounds = 400;
constexpr std::size_t max_frame = 64U << 10U;
constexpr std::size_t nonce_bytes = 16;
/// Reading of the sender's clock in front of each message.
const std::string clock_reading(8, '\1');
const auto run_limit = std::chrono::seconds(10);

uint64_t fixed_clock()
{
    return 1;
}

std::string frame(const std::string& payload, std::size_t length)
{
    std::string out;
    for (int shift = 0; shift < 32; shift += 8)
    {
        out.push_back(static_cast<char>((length >> shift) & 0xffU));
    }
    return out + payload;
}

// A link that receives raw bytes from a client.
struct link_fixture
{
    event_loop loop;
    hybrid_clock clock{fixed_clock};
    authenticator auth;
    std::size_t messages = 0;
    std::size_t closed = 0;
    std::error_code close_reason;
    std::list<std::unique_ptr<tcp_link>> links;
    tcp_listener listener;
    uint16_t port = 0;

    explicit link_fixture(const std::string& key)
        : auth(key)
        , listener([this](object_ptr<GSocketConnection> c)
                   { accept(std::move(c)); })
    {
        const auto listening = listener.listen({"127.0.0.1", 0});
        REQUIRE(listening);
        port = *listening;
    }

    void accept(object_ptr<GSocketConnection> c)
    {
        link_options options;
        options.max_frame_bytes = max_frame;
        link_handlers handlers;
        handlers.on_message = [this](message&&)
        {
            ++messages;
        };
        handlers.on_heartbeat = [this](const heartbeat&)
        {
            ++messages;
        };
        handlers.on_closed = [this](const failure& f)
        {
            ++closed;
            close_reason = f.code;
            loop.quit();
        };
        links.push_back(std::make_unique<tcp_link>(
            link_context{loop, clock, auth, options,
                         []
                         {
                             return config_version(1);
                         }},
            std::move(c), std::move(handlers)));
    }

    // Sends all bytes, shuts down the sending side and waits until the link has
    // closed.
    void feed(const std::string& bytes)
    {
        const object_ptr<GSocketClient> client(g_socket_client_new());
        const object_ptr<GSocketConnection> c(g_socket_client_connect_to_host(
            client.get(), "127.0.0.1", port, nullptr, nullptr));
        REQUIRE(c);
        auto* out = g_io_stream_get_output_stream(G_IO_STREAM(c.get()));
        g_output_stream_write_all(out, bytes.data(), bytes.size(), nullptr,
                                  nullptr, nullptr);
        g_socket_shutdown(g_socket_connection_get_socket(c.get()), FALSE, TRUE,
                          nullptr);
        const auto limit = loop.after(run_limit, [this] { loop.quit(); });
        loop.run();
        links.clear();
    }
};

} // namespace

TEST_CASE("fuzz: an invalid stream closes its link once with the right error")
{
    const auto good = clock_reading + encode({1, 0}, message(heartbeat{}));
    const std::string nonce(nonce_bytes, 'n');
    struct row
    {
        const char* name;
        const char* key;
        std::string bytes;
        errc error;
        std::size_t messages;
    };
    const row rows[] = {
        {"ends immediately", "", "", errc::peer_closed, 0},
        {"ends in the nonce", "", nonce.substr(1), errc::peer_closed, 0},
        {"length of 4 GB", "", nonce + frame("", 0xffffffff),
         errc::message_too_large, 0},
        {"length over the limit", "", nonce + frame("", max_frame + 1),
         errc::message_too_large, 0},
        {"ends in a frame", "", nonce + frame("abc", max_frame),
         errc::peer_closed, 0},
        {"empty frame", "", nonce + frame("", 0), errc::message_malformed, 0},
        {"frame that ends in the clock reading", "",
         nonce + frame(clock_reading.substr(1), clock_reading.size() - 1),
         errc::message_malformed, 0},
        {"empty frame under a key", "key", nonce + frame("", 0),
         errc::message_too_large, 0},
        {"no tag under a key", "key", nonce + frame(good, good.size()),
         errc::message_unauthentic, 0},
        {"valid frame, then an invalid one", "",
         nonce + frame(good, good.size()) +
             frame(clock_reading + "rubbish", 15),
         errc::message_malformed, 1}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            link_fixture f(row.key);
            allocation_meter::reset();
            f.feed(row.bytes);
            CHECK(f.closed == 1);
            CHECK(f.close_reason == row.error);
            CHECK(f.messages == row.messages);
            CHECK(allocation_meter::largest() <= 4 * max_frame);
        }
    }
}

TEST_CASE("fuzz: each mutated stream closes its link exactly once")
{
    mutator mutate(seed);
    std::string stream(nonce_bytes, 'n');
    for (const auto& file : read_corpus("wire"))
    {
        const auto payload = clock_reading + file;
        stream += frame(payload, payload.size());
    }
    link_fixture f("");
    allocation_meter::reset();
    for (int i = 0; i < rounds; ++i)
    {
        f.feed(mutate(stream));
    }
    CHECK(f.closed == rounds);
    CHECK(f.messages > 0);
    CHECK(allocation_meter::largest() <= 8 * max_frame);
}

TEST_CASE("fuzz: an invalid datagram is counted and dropped")
{
    event_loop loop;
    hybrid_clock clock(fixed_clock);
    const authenticator auth("key");
    std::size_t received = 0;
    datagram_socket socket(clock, auth,
                           [&](const entry_announcement&)
                           {
                               ++received;
                               loop.quit();
                           });
    // A TCP listener finds a free port; the datagram socket binds to the same
    // number.
    uint16_t port = 0;
    {
        tcp_listener probe([](object_ptr<GSocketConnection>) {});
        port = probe.listen({"127.0.0.1", 0}).value();
    }
    REQUIRE(socket.bind({"127.0.0.1", port}));
    datagram_socket sender(clock, auth, [](const entry_announcement&) {});
    REQUIRE(sender.bind({"127.0.0.1", 0}));
    const object_ptr<GSocket> raw(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                               G_SOCKET_TYPE_DATAGRAM,
                                               G_SOCKET_PROTOCOL_UDP, nullptr));
    const object_ptr<GSocketAddress> address(
        g_inet_socket_address_new_from_string("127.0.0.1", port));
    const auto payload = encode({1, 0}, entry_announcement{});
    const auto good = auth.tag("announcement", payload) + payload;
    mutator mutate(seed);
    std::size_t bad = 0;
    for (int i = 0; i < rounds; ++i)
    {
        const auto bytes = mutate(good);
        if (bytes == good)
        {
            continue;
        }
        ++bad;
        g_socket_send_to(raw.get(), address.get(), bytes.data(), bytes.size(),
                         nullptr, nullptr);
        while (g_main_context_iteration(nullptr, FALSE) == TRUE)
        {
        }
    }
    sender.send({"127.0.0.1", port}, entry_announcement{});
    const auto limit = loop.after(run_limit, [&] { loop.quit(); });
    loop.run();
    CHECK(received == 1);
    CHECK(socket.dropped() == bad);
}
