#include <agatebank/wire/tcp_connector.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <silent_clients.hpp>
#include <thread>

using namespace agatebank;

// Guards against links that open a second late after many processes have
// started at once: the queue for ten connections was full.
TEST_CASE("tcp_listener: processes that connect while this one is paused are "
          "accepted")
{
    constexpr std::size_t processes = 100;
    tcp_listener listener([](const object_ptr<GSocketConnection>&) {});
    const auto port = listener.listen({"127.0.0.1", 0});
    REQUIRE(port);
    const silent_clients waiting("127.0.0.1", *port, processes);
    // In less than the kernel's time to send a dropped packet again.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(waiting.connected() == processes);
}
