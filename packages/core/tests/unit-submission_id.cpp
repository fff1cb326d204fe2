#include <agatebank/core/submission_id.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <string>

using namespace agatebank;

namespace
{

// Replaces the keyed authentication code by the 16 hexadecimal digits of a
// hash, repeated to 32. Not secure, but it depends on the whole text.
std::string fake_mac(std::string_view text)
{
    const auto h = std::hash<std::string_view>{}(text);
    std::string out;
    for (unsigned i = 0; i < 32; ++i)
    {
        out += "0123456789abcdef"[(h >> (i % 16 * 4)) & 15U];
    }
    return out;
}

const submission_id sample{entry_incarnation(0xabcdef), submission_sequence(7),
                           std::chrono::seconds(600)};

} // namespace

TEST_CASE("submission_id: forged text and text of another caller are refused")
{
    const submission_id_codec codec(fake_mac);
    const caller_name owner("hall-1");
    const auto text = codec.encode(sample, owner);

    SECTION("accepted from its owner")
    {
        CHECK(codec.decode(text, owner) == sample);
    }

    struct row
    {
        const char* name;
        std::string text;
        const char* caller;
    };
    const row rows[] = {
        {"another caller", text, "hall-2"},
        {"forged sequence", "abcdef-8-258" + text.substr(text.rfind('-')),
         "hall-1"},
        {"forged issuer", "abcdee-7-258" + text.substr(text.rfind('-')),
         "hall-1"},
        {"forged expiry", "abcdef-7-259" + text.substr(text.rfind('-')),
         "hall-1"},
        {"no code", "abcdef-7-258", "hall-1"},
        {"empty", "", "hall-1"},
        {"only dashes", "----", "hall-1"},
        {"truncated code", text.substr(0, text.size() - 1), "hall-1"},
    };
    for (const auto& r : rows)
    {
        SECTION(std::string("refused: ") + r.name)
        {
            const auto got = codec.decode(r.text, caller_name(r.caller));
            REQUIRE(!got);
            CHECK(got.error().code == errc::submission_refused);
            CHECK(got.error().detail.empty());
        }
    }
}

TEST_CASE("submission_id: any id round-trips through text")
{
    rc::prop("decode(encode(id)) == id",
             [](uint64_t issuer, uint64_t sequence, uint32_t expiry)
             {
                 const submission_id_codec codec(fake_mac);
                 const submission_id id{entry_incarnation(issuer),
                                        submission_sequence(sequence),
                                        std::chrono::seconds(expiry)};
                 const caller_name caller("c");
                 RC_ASSERT(codec.decode(codec.encode(id, caller), caller) ==
                           id);
             });
}
