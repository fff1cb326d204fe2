#include "allocation_meter.hpp"
#include "mutation.hpp"
#include <agatebank/wire/codec.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace agatebank;

namespace
{

constexpr unsigned seed = 20261204;
constexpr int rounds_per_file = 3000;
// Upper bound of the bytes allocated per byte of a message: an element takes
// more bytes in memory than in a message, and a vector doubles its capacity as
// it grows.
constexpr std::size_t memory_per_byte = 32;
constexpr std::size_t base_memory_limit = 256U << 10U;

// Encodes a sample message of every type with the default field values.
template <std::size_t... Is>
std::vector<std::string> encode_samples(std::index_sequence<Is...>)
{
    return {encode({1, 2}, message(std::in_place_index<Is>))...};
}

std::vector<std::string> sample_messages()
{
    auto out = encode_samples(
        std::make_index_sequence<std::variant_size_v<message>>());
    for (auto& file : read_corpus("wire"))
    {
        out.push_back(std::move(file));
    }
    return out;
}

} // namespace

TEST_CASE("fuzz: mutated messages and announcements are decoded or refused")
{
    mutator mutate(seed);
    std::size_t decoded = 0;
    std::size_t refused = 0;
    for (const auto& sample : sample_messages())
    {
        for (int i = 0; i < rounds_per_file; ++i)
        {
            const auto bytes = mutate(sample);
            allocation_meter::reset();
            const auto m = decode_message(bytes);
            const auto a = decode_announcement(bytes);
            const auto largest = allocation_meter::largest();
            ++(m ? decoded : refused);
            if (largest > base_memory_limit + memory_per_byte * bytes.size())
            {
                FAIL("allocated " << largest << " for " << bytes.size());
            }
            if (m && !decode_message(encode(m->stamp, m->body)))
            {
                FAIL("a decoded message cannot be decoded after encoding");
            }
            if (!m && m.error().code != errc::message_malformed)
            {
                FAIL("unexpected error: " << m.error().to_string());
            }
        }
    }
    // Both results must be frequent; otherwise the mutations exercise only one
    // path of the decoder.
    CHECK(decoded > 1000);
    CHECK(refused > 1000);
}

TEST_CASE("fuzz: a false length in a message causes no large allocation")
{
    // Encodes each message type with a false length: the bytes after the type's
    // number are all 0xff.
    for (std::size_t kind = 0; kind < std::variant_size_v<message>; ++kind)
    {
        auto bytes = encode({1, 2}, message(heartbeat{}));
        bytes.resize(13); // keep the byte order and the stamp
        bytes.push_back(static_cast<char>(kind));
        bytes += std::string(3, '\0') + std::string(200, '\xff');
        allocation_meter::reset();
        CHECK_FALSE(decode_message(bytes));
        CHECK(allocation_meter::largest() <= base_memory_limit);
    }
}

TEST_CASE("fuzz: values out of range are refused")
{
    struct row
    {
        const char* name;
        message sample;
        std::size_t from_end; ///< offset of the value, in bytes
        char value;
    };
    start_report report;
    const row rows[] = {
        {"bool", target_report{}, 1, 2},
        {"report kind", start_reports{{report}}, 21, 9},
        {"target state", agent_configuration{}, 16, 9},
        {"unknown message type", heartbeat{}, 36, 99},
    };
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            auto bytes = encode({1, 2}, row.sample);
            REQUIRE(decode_message(bytes));
            REQUIRE(bytes.size() >= row.from_end);
            auto& value = bytes[bytes.size() - row.from_end];
            REQUIRE(value >= 0);
            REQUIRE(value <= 3);
            value = row.value;
            CHECK_FALSE(decode_message(bytes));
        }
    }
}
