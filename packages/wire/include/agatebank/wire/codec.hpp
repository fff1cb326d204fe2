#pragma once

#include <agatebank/core/hybrid_clock.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/wire/messages.hpp>

#include <string>
#include <string_view>

namespace agatebank
{

/// @brief A message with the stamp of the sender's hybrid clock.
template <class Message>
struct stamped
{
    hybrid_stamp stamp;
    Message body;
};

/// @brief Encodes a message in cereal's portable binary format.
std::string encode(const hybrid_stamp& stamp, const message& m);
/// @brief Encodes an announcement for a datagram.
std::string encode(const hybrid_stamp& stamp, const entry_announcement& a);

/// @brief Decodes a message. The memory used is bounded by the size of the
/// input.
/// @return the message, or errc::message_malformed when bytes are missing or
/// left over or a value is out of range
result<stamped<message>> decode_message(std::string_view bytes);
/// @brief Decodes an announcement; see @ref decode_message.
result<stamped<entry_announcement>> decode_announcement(std::string_view bytes);

} // namespace agatebank
