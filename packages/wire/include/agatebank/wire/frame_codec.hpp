#pragma once

#include <agatebank/wire/authenticator.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agatebank
{

constexpr std::size_t nonce_bytes = 16;
/// Size of the length in front of each frame.
constexpr std::size_t frame_length_bytes = 4;

/// @brief Returns the lowest @p bytes bytes of a number, lowest first.
std::string encode_number(uint64_t n, std::size_t bytes);

/// @param bytes at most eight bytes, lowest first
uint64_t decode_number(std::string_view bytes);

/// @brief Tags the frames that one side of a link sends and verifies those that
/// it receives. A tag covers the nonces of both sides and the frame's position
/// in the stream.
class frame_codec
{
  public:
    // construction
    /// @brief Chooses a random nonce.
    explicit frame_codec(const authenticator& auth);

    // modifiers
    /// @param nonce what the peer sent first
    void set_remote_nonce(std::string nonce);
    /// @brief Returns the next frame to send, with its length in front.
    std::string encode(std::string_view payload);
    /// @brief Verifies the next frame received.
    /// @param frame without its length, at least as long as a tag
    /// @return its payload, a part of @p frame; empty if the tag is wrong
    std::optional<std::string_view> decode(std::string_view frame);

    // lookup
    const std::string& local_nonce() const noexcept;
    bool has_remote_nonce() const noexcept;

  private:
    const authenticator& auth_;
    std::string local_nonce_;
    std::string remote_nonce_;
    uint64_t frames_sent_ = 0;
    uint64_t frames_received_ = 0;
};

} // namespace agatebank
