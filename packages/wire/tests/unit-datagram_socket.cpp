#include <agatebank/wire/datagram_socket.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;

TEST_CASE("datagram_socket: a datagram with an invalid tag is dropped and "
          "counted")
{
    event_loop loop;
    hybrid_clock clock([] { return uint64_t{1}; });
    const authenticator valid_auth("key");
    const authenticator forged_auth("other");
    const endpoint address{"127.0.0.1", 39217};
    int accepted = 0;
    datagram_socket receiver(clock, valid_auth,
                             [&](const entry_announcement& a)
                             {
                                 ++accepted;
                                 CHECK(a.port == 99);
                                 loop.quit();
                             });
    REQUIRE(receiver.bind(address));
    datagram_socket forger(clock, forged_auth,
                           [](const entry_announcement&) {});
    REQUIRE(forger.bind({"127.0.0.1", 0}));
    datagram_socket sender(clock, valid_auth, [](const entry_announcement&) {});
    REQUIRE(sender.bind({"127.0.0.1", 0}));

    entry_announcement a;
    a.port = 99;
    forger.send(address, a);
    sender.send(address, a);
    const auto limit =
        loop.after(std::chrono::seconds(20), [&] { loop.quit(); });
    loop.run();
    CHECK(accepted == 1);
    CHECK(receiver.dropped() == 1);
}
