#pragma once

#include <agatebank/http/http_server.hpp>

#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief Options of a stand-in that listens at an address.
inline http_server_options listen_at(const std::string& address, uint16_t port)
{
    http_server_options o;
    o.address = address;
    o.port = port;
    return o;
}

} // namespace agatebank
