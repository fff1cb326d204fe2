#pragma once

#include <agatebank/http/http_server.hpp>

#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief Server options of a stand-in that listens on an address and port.
inline http_server_options listen_at(const std::string& address, uint16_t port)
{
    http_server_options o;
    o.address = address;
    o.port = port;
    return o;
}

} // namespace agatebank
