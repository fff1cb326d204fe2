#include <agatebank/http/bearer_token.hpp>

#include <glib.h>

namespace agatebank
{

std::string sha256_hex(std::string_view text)
{
    char* hex = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(text.data()),
        text.size());
    std::string out = hex;
    g_free(hex);
    return out;
}

std::string bearer_token(const http_request& request)
{
    constexpr std::string_view scheme = "bearer ";
    const auto& value = request.header("authorization");
    if (g_ascii_strncasecmp(value.c_str(), scheme.data(), scheme.size()) != 0)
    {
        return {};
    }
    return value.substr(scheme.size());
}

} // namespace agatebank
