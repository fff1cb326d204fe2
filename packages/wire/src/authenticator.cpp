#include <agatebank/core/configuration_view.hpp>
#include <agatebank/wire/authenticator.hpp>

#include <glib.h>

#include <array>
#include <utility>

namespace agatebank
{

namespace
{

constexpr std::size_t truncated_tag_bytes = 16;
constexpr std::size_t digest_bytes = 32;

const guchar* as_bytes(std::string_view text)
{
    return reinterpret_cast<const guchar*>(text.data());
}

} // namespace

authenticator::authenticator(std::string key) : key_(std::move(key)) {}

bool authenticator::enabled() const noexcept
{
    return !key_.empty();
}

std::size_t authenticator::tag_bytes() const noexcept
{
    return enabled() ? truncated_tag_bytes : 0;
}

std::string authenticator::tag(std::string_view context,
                               std::string_view text) const
{
    if (!enabled())
    {
        return {};
    }
    GHmac* hmac = g_hmac_new(G_CHECKSUM_SHA256, as_bytes(key_), key_.size());
    g_hmac_update(hmac, as_bytes(context), static_cast<gssize>(context.size()));
    g_hmac_update(hmac, as_bytes(text), static_cast<gssize>(text.size()));
    std::array<guchar, digest_bytes> digest{};
    gsize n = digest.size();
    g_hmac_get_digest(hmac, digest.data(), &n);
    g_hmac_unref(hmac);
    return {reinterpret_cast<const char*>(digest.data()), truncated_tag_bytes};
}

bool authenticator::verify(std::string_view context, std::string_view text,
                           std::string_view received_tag) const
{
    return equal_in_constant_time(tag(context, text), received_tag);
}

mac_function authenticator::hex_mac() const
{
    return [key = key_](std::string_view text)
    {
        char* hex =
            g_compute_hmac_for_data(G_CHECKSUM_SHA256, as_bytes(key),
                                    key.size(), as_bytes(text), text.size());
        std::string out = hex;
        g_free(hex);
        return out;
    };
}

} // namespace agatebank
