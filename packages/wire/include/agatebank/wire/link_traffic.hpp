#pragma once

#include <agatebank/wire/messages.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace agatebank
{

/// @brief Number of kinds of messages. A kind is the index of its alternative
/// in @ref message.
constexpr std::size_t message_kind_count = std::variant_size_v<message>;

/// @brief Returns the name of a kind of message, such as "order_results".
/// @param kind less than message_kind_count
const char* to_kind_name(std::size_t kind) noexcept;

/// @brief Messages of one kind and their encoded size, without frame headers
/// and tags.
struct kind_traffic
{
    uint64_t messages_sent = 0;
    uint64_t messages_received = 0;
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
};

/// @brief Messages and bytes sent and received over a link.
struct link_traffic
{
    uint64_t messages_sent = 0;
    uint64_t messages_received = 0;
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
    std::array<kind_traffic, message_kind_count> kinds{};

    link_traffic& operator+=(const link_traffic& other);
};

} // namespace agatebank
