#include <agatebank/wire/tcp_connector.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace agatebank;

namespace
{

// Two links connected over loopback.
struct link_pair
{
    event_loop loop;
    hybrid_clock clock{[]
                       {
                           return uint64_t{1};
                       }};
    authenticator left_auth;
    authenticator right_auth;
    tcp_listener listener;
    tcp_connector connector{std::chrono::seconds(5)};
    std::shared_ptr<void> connecting;
    std::unique_ptr<tcp_link> left;
    std::unique_ptr<tcp_link> right;
    link_handlers left_handlers;
    link_handlers right_handlers;
    link_pair(const std::string& left_key, const std::string& right_key)
        : left_auth(left_key)
        , right_auth(right_key)
        , listener(
              [this](object_ptr<GSocketConnection> c)
              {
                  right = std::make_unique<tcp_link>(
                      context(right_auth), std::move(c), right_handlers);
              })
    {
    }

    link_context context(const authenticator& auth)
    {
        link_options options;
        options.heartbeat_period = std::chrono::milliseconds(50);
        options.silence_timeout = std::chrono::seconds(2);
        return {loop, clock, auth, options,
                []
                {
                    return config_version(3);
                }};
    }

    void start()
    {
        const auto port = listener.listen({"127.0.0.1", 0});
        REQUIRE(port);
        connecting = connector.connect(
            {"127.0.0.1", *port},
            [this](result<object_ptr<GSocketConnection>> c)
            {
                REQUIRE(c);
                left = std::make_unique<tcp_link>(context(left_auth),
                                                  std::move(*c), left_handlers);
                left->send(acknowledgement{start_sequence(17)});
            });
    }

    void run()
    {
        const auto limit =
            loop.after(std::chrono::seconds(20), [this] { loop.quit(); });
        loop.run();
    }
};

} // namespace

TEST_CASE("tcp_link: messages and heartbeats are delivered, with and "
          "without a key")
{
    const char* keys[] = {"", "a shared key"};
    for (const char* key : keys)
    {
        SECTION(std::string("key '") + key + "'")
        {
            link_pair pair(key, key);
            uint64_t first_unsettled = 0;
            config_version received_version;
            pair.right_handlers.on_message = [&](message&& m)
            {
                first_unsettled =
                    std::get<acknowledgement>(m).first_unsettled.value();
            };
            pair.right_handlers.on_heartbeat = [&](const heartbeat& beat)
            {
                received_version = beat.version;
                if (pair.right->round_trip().count() > 0)
                {
                    pair.loop.quit();
                }
            };
            pair.start();
            pair.run();
            CHECK(first_unsettled == 17);
            CHECK(received_version == config_version(3));
            CHECK(pair.right->round_trip() > duration::zero());
        }
    }
}

// Guards against heartbeats on links that have other traffic: with hundreds of
// processes they would be most of the messages.
TEST_CASE("tcp_link: with the option, a heartbeat is due only after a period "
          "without any message")
{
    using std::chrono::milliseconds;
    struct row
    {
        int heartbeat_age_ms;
        int message_age_ms;
        bool due;
        bool due_when_idle;
    };
    const row rows[] = {{49, 49, false, false},
                        {50, 50, true, true},
                        {90, 49, true, false},
                        {49, 90, false, false},
                        {90, 90, true, true}};
    for (const auto& it : rows)
    {
        const time_point now{std::chrono::hours(1)};
        link_options options;
        options.heartbeat_period = milliseconds(50);
        const auto is_due = [&](bool only_when_idle)
        {
            options.heartbeat_only_when_idle = only_when_idle;
            return is_heartbeat_due(options, now,
                                    now - milliseconds(it.heartbeat_age_ms),
                                    now - milliseconds(it.message_age_ms));
        };
        CHECK(is_due(false) == it.due);
        CHECK(is_due(true) == it.due_when_idle);
    }
}

TEST_CASE("tcp_link: traffic is counted by kind of message")
{
    link_pair pair("", "");
    pair.right_handlers.on_message = [](message&&) {
    };
    int heartbeats = 0;
    pair.left_handlers.on_heartbeat = [&](const heartbeat&)
    {
        if (++heartbeats == 3)
        {
            pair.loop.quit();
        }
    };
    pair.start();
    pair.run();
    const auto kind = message(acknowledgement()).index();
    CHECK(std::string(to_kind_name(kind)) == "acknowledgement");
    const auto& sent = pair.left->traffic().kinds[kind];
    const auto& received = pair.right->traffic().kinds[kind];
    CHECK(sent.messages_sent == 1);
    CHECK(sent.messages_received == 0);
    CHECK(received.messages_received == 1);
    CHECK(received.bytes_received == sent.bytes_sent);
    CHECK(pair.left->traffic().kinds[0].messages_received == 3);
}

TEST_CASE("tcp_link: a link is closed before delivery when the peer has "
          "another key")
{
    link_pair pair("one key", "another key");
    std::error_code close_reason;
    bool delivered = false;
    pair.right_handlers.on_message = [&](message&&)
    {
        delivered = true;
    };
    pair.right_handlers.on_closed = [&](const failure& f)
    {
        close_reason = f.code;
        pair.loop.quit();
    };
    pair.start();
    pair.run();
    CHECK(close_reason == errc::message_unauthentic);
    CHECK_FALSE(delivered);
}
