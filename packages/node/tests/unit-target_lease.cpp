#include <agatebank/node/target_lease.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

} // namespace

TEST_CASE("target_lease: the lease is not extended before an answer has given "
          "the target's clock")
{
    target_lease lease({});
    CHECK_FALSE(lease.may_extend(start));
    lease.on_answer(target_time(5000), start + 2ms);
    CHECK(lease.may_extend(start + 2ms));
    REQUIRE(lease.clock(start + 102ms));
    CHECK(lease.clock(start + 102ms)->value() == 5100);
}

TEST_CASE("target_lease: without answers, extensions stop and the lease then "
          "expires, allowing for a slow target clock")
{
    target_lease lease({});
    lease.on_answer(target_time(5000), start);
    struct row
    {
        duration after; ///< time since the last answer
        bool may_extend;
    };
    const row rows[] = {{100ms, true}, {600ms, true}, {700ms, false}};
    for (const auto& it : rows)
    {
        CHECK(lease.may_extend(start + it.after) == it.may_extend);
    }
    lease.on_extension_sent(start + 600ms);
    // A lease of 1 s lasts 1,020 ms on a target clock that is 2 % slow.
    CHECK_FALSE(lease.has_expired(start + 600ms + 1020ms));
    CHECK(lease.has_expired(start + 600ms + 1110ms));
}

TEST_CASE("target_lease: a reset discards the old incarnation's clock and last "
          "answer")
{
    target_lease lease({});
    lease.on_answer(target_time(5000), start);
    lease.reset();
    CHECK_FALSE(lease.is_connected(start));
    CHECK_FALSE(lease.clock(start));
}
