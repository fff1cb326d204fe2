#include <agatebank/wire/codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace agatebank;

namespace
{

message sample_orders()
{
    start_order order;
    order.sequence = start_sequence(9);
    order.submission.issuer = entry_incarnation(5);
    order.submission.expiry = std::chrono::seconds(60);
    order.service = service_name("pall");
    order.payload = std::string(100000, 'x');
    return start_orders{{order, order}};
}

} // namespace

TEST_CASE("codec: decoding restores an encoded message")
{
    const auto bytes = encode({42, 7}, sample_orders());
    const auto decoded = decode_message(bytes);
    REQUIRE(decoded);
    CHECK(decoded->stamp == hybrid_stamp{42, 7});
    const auto& orders = std::get<start_orders>(decoded->body).orders;
    REQUIRE(orders.size() == 2);
    CHECK(orders[1].sequence == start_sequence(9));
    CHECK(orders[1].submission.expiry == std::chrono::seconds(60));
    CHECK(orders[1].payload.size() == 100000);
}

TEST_CASE("codec: damaged input is refused, or decoded without a crash")
{
    const auto encoded = encode({42, 7}, sample_orders());
    SECTION("truncated")
    {
        rc::prop("every prefix is refused",
                 [&]
                 {
                     const auto n =
                         *rc::gen::inRange<std::size_t>(0, encoded.size());
                     RC_ASSERT(!decode_message(encoded.substr(0, n)));
                 });
    }
    SECTION("bytes left over")
    {
        CHECK(!decode_message(encoded + "x"));
    }
    SECTION("random bytes are decoded or refused without a crash")
    {
        rc::prop("random bytes",
                 [](const std::string& bytes)
                 {
                     (void)decode_message(bytes);
                     (void)decode_announcement(bytes);
                 });
    }
    SECTION("one changed byte is decoded or refused without a crash")
    {
        rc::prop("mutation",
                 [&]
                 {
                     auto bytes = encoded.substr(0, 200);
                     const auto at =
                         *rc::gen::inRange<std::size_t>(0, bytes.size());
                     bytes[at] = *rc::gen::arbitrary<char>();
                     (void)decode_message(bytes);
                 });
    }
}
