#include <agatebank/core/configuration_view.hpp>
#include <agatebank/core/submission_id.hpp>

#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_decode = "submission_id.decode";
constexpr std::size_t code_hex_digits = 32; // 128 bits

std::string to_hex(uint64_t value)
{
    std::array<char, 16> buf{};
    const auto end =
        std::to_chars(buf.data(), buf.data() + buf.size(), value, 16).ptr;
    return {buf.data(), end};
}

// Removes the next field from a text of fields joined by '-' and returns it.
std::string_view take_field(std::string_view& text)
{
    const auto end = text.find('-');
    const auto field = text.substr(0, end);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
    return field;
}

bool parse_hex(std::string_view field, uint64_t& value)
{
    const auto* end = field.data() + field.size();
    const auto r = std::from_chars(field.data(), end, value, 16);
    return r.ec == std::errc{} && r.ptr == end && !field.empty();
}

} // namespace

std::string to_name(const submission_id& id)
{
    return to_hex(id.issuer.value()) + "-" + to_hex(id.sequence.value());
}

submission_id_codec::submission_id_codec(mac_function mac)
    : mac_(std::move(mac))
{
}

std::string submission_id_codec::encode(const submission_id& id,
                                        const caller_name& caller) const
{
    const std::string fields =
        to_name(id) + "-" + to_hex(static_cast<uint64_t>(id.expiry.count()));
    return fields + "-" + authentication_code(fields, caller);
}

result<submission_id>
submission_id_codec::decode(std::string_view text,
                            const caller_name& caller) const
{
    const auto refused = []
    {
        return fail(errc::submission_refused, step_decode);
    };
    const auto last = text.rfind('-');
    if (last == std::string_view::npos)
    {
        return refused();
    }
    auto fields = text.substr(0, last);
    if (!equal_in_constant_time(text.substr(last + 1),
                                authentication_code(fields, caller)))
    {
        return refused();
    }
    uint64_t issuer = 0;
    uint64_t sequence = 0;
    uint64_t expiry = 0;
    if (!parse_hex(take_field(fields), issuer) ||
        !parse_hex(take_field(fields), sequence) ||
        !parse_hex(take_field(fields), expiry) || !fields.empty())
    {
        return refused();
    }
    return submission_id{entry_incarnation(issuer),
                         submission_sequence(sequence),
                         std::chrono::seconds(expiry)};
}

std::string
submission_id_codec::authentication_code(std::string_view fields,
                                         const caller_name& caller) const
{
    auto text = "submission " + std::string(fields) + " " + caller.value();
    return mac_(text).substr(0, code_hex_digits);
}

} // namespace agatebank
