#pragma once

#include <agatebank/core/submission_id.hpp>

#include <string>
#include <string_view>

namespace agatebank
{

/// @brief Authentication codes under the key shared by the processes
/// (HMAC-SHA-256). With an empty key no codes are made or checked, which is
/// allowed on loopback only.
class authenticator
{
  public:
    // construction
    explicit authenticator(std::string key);

    // lookup
    bool enabled() const noexcept;
    /// @brief Bytes of a tag: 16, or 0 without a key.
    std::size_t tag_bytes() const noexcept;

    // codes
    /// @brief Tag of a text in its context (connection and position).
    std::string tag(std::string_view context, std::string_view text) const;
    /// @brief Checks a tag in constant time.
    bool verify(std::string_view context, std::string_view text,
                std::string_view tag) const;
    /// @brief The code for submission ids, in hexadecimal.
    mac_function hex_mac() const;

  private:
    std::string key_;
};

} // namespace agatebank
