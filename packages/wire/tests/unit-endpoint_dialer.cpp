#include <agatebank/wire/endpoint_dialer.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace agatebank;

TEST_CASE("endpoint_dialer: the back-off delay doubles up to its limit, with "
          "half of it jitter")
{
    struct row
    {
        unsigned failures;
        int min_ms;
        int max_ms;
    };
    const row rows[] = {{0, 50, 100},
                        {1, 100, 200},
                        {2, 200, 400},
                        {4, 800, 1600},
                        {5, 1000, 2000},
                        {6, 1000, 2000},
                        {4000000000U, 1000, 2000}};
    for (const auto& r : rows)
    {
        SECTION(std::to_string(r.failures) + " failures")
        {
            rc::prop("the delay is within its range",
                     [&](uint64_t random)
                     {
                         const auto d = dial_delay(r.failures, random);
                         RC_ASSERT(d >= std::chrono::milliseconds(r.min_ms));
                         RC_ASSERT(d <= std::chrono::milliseconds(r.max_ms));
                     });
        }
    }
}

namespace
{

// A listener with a full backlog: the kernel drops further SYN packets, so a
// connection attempt gets no answer, as from a VM that is powered off.
class full_listener
{
  public:
    full_listener()
    {
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof(address_);
        listening_ =
            ::bind(listener_, reinterpret_cast<sockaddr*>(&address_), n) == 0 &&
            ::listen(listener_, 0) == 0;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address_), &n);
        for (int& it : fillers_)
        {
            it = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // Non-blocking: the connection completes later or never.
            static_cast<void>(
                ::connect(it, reinterpret_cast<sockaddr*>(&address_), n));
        }
    }

    ~full_listener()
    {
        for (const int it : fillers_)
        {
            ::close(it);
        }
        ::close(listener_);
    }

    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    bool listening() const
    {
        return listening_;
    }

    uint16_t port() const
    {
        return ntohs(address_.sin_port);
    }

  private:
    int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    std::array<int, 4> fillers_{};
    sockaddr_in address_{};
    bool listening_ = false;
};

} // namespace

TEST_CASE("endpoint_dialer: an unanswered connection attempt times out and is "
          "repeated before the kernel retransmits its SYN")
{
    event_loop loop;
    timer_queue timers(loop);
    const full_listener listener;
    REQUIRE(listener.listening());
    int failures = 0;
    endpoint_dialer dialer(
        timers, {{"127.0.0.1", listener.port()}}, [] { return 0U; },
        [&failures](const log_record& r) { failures += r.step == "link.dial"; },
        [](std::size_t, object_ptr<GSocketConnection>) {});
    dialer.dial(0);
    const auto stop =
        loop.after(std::chrono::milliseconds(950), [&loop] { loop.quit(); });
    loop.run();
    CHECK(failures >= 2);
}

// Guards against links that open 400 ms after their peer has started, as each
// attempt towards a machine that is not up yet waits for its time limit.
TEST_CASE("endpoint_dialer: the first attempts reach a peer that starts late")
{
    constexpr auto start_skew = std::chrono::milliseconds(300);
    constexpr auto longest_gap = std::chrono::milliseconds(200);
    duration begins{};
    for (unsigned failures = 0; begins <= start_skew; ++failures)
    {
        const auto next =
            begins + connect_time_limit(failures) + dial_delay(0, UINT64_MAX);
        CHECK(next - begins <= longest_gap);
        begins = next;
    }
    CHECK(connect_time_limit(4) == std::chrono::milliseconds(300));
}
