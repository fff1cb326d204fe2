#pragma once

#include <agatebank/core/submission_id.hpp>

#include <string>
#include <string_view>

namespace agatebank
{

/// @brief Computes and verifies message authentication codes (HMAC-SHA-256)
/// with the key that the processes share. With an empty key no codes are
/// computed or verified; callers must allow this on loopback only.
class authenticator
{
  public:
    // construction
    explicit authenticator(std::string key);

    // lookup
    bool enabled() const noexcept;
    /// @brief Size of a tag in bytes: 16 (HMAC-SHA-256 truncated), or 0 without
    /// a key.
    std::size_t tag_bytes() const noexcept;

    // codes
    /// @brief Computes the tag of a text.
    /// @param context what the tag is bound to besides the text, such as the
    /// connection and the position in it; prevents reuse elsewhere
    std::string tag(std::string_view context, std::string_view text) const;
    /// @brief Verifies a tag in constant time.
    bool verify(std::string_view context, std::string_view text,
                std::string_view tag) const;
    /// @brief Function that computes the codes of submission ids, untruncated
    /// and in hexadecimal.
    mac_function hex_mac() const;

  private:
    std::string key_;
};

} // namespace agatebank
