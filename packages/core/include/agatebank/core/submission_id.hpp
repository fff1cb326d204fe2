#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>

#include <chrono>
#include <compare>
#include <functional>
#include <string>
#include <string_view>

namespace agatebank
{

/// @brief Identity of a submission: the incarnation of the entry that issued
/// it, its sequence number among those issued, and its expiry.
struct submission_id
{
    entry_incarnation issuer;
    submission_sequence sequence;
    /// end of validity, in seconds since the issuing entry started
    std::chrono::seconds expiry{};

    auto operator<=>(const submission_id&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        auto seconds = static_cast<int64_t>(expiry.count());
        ar(issuer, sequence, seconds);
        expiry = std::chrono::seconds(seconds);
    }
};

/// @brief The name of a submission in events and in requests to targets: issuer
/// and sequence in hexadecimal, joined by '-'.
std::string to_name(const submission_id& id);

/// @brief Computes the message authentication code of a string with the key
/// shared by the processes, in lower-case hexadecimal.
using mac_function = std::function<std::string(std::string_view)>;

/// @brief Encodes submission ids as text and decodes them. The text contains
/// an authentication code over the id and the caller, so that any entry can
/// reject forged ids and ids of other callers without stored state. Both give
/// the same error.
///
/// @code
/// submission_id_codec codec(mac);
/// const auto text = codec.encode(id, caller);
/// const auto back = codec.decode(text, caller);
/// @endcode
class submission_id_codec
{
  public:
    /// @param mac computes the authentication code with the shared key
    explicit submission_id_codec(mac_function mac);

    /// @brief Encodes an id for the caller to which it is issued.
    /// @return issuer, sequence, expiry and authentication code in hexadecimal,
    /// joined by '-'
    std::string encode(const submission_id& id,
                       const caller_name& caller) const;

    /// @brief Decodes a text that @ref encode returned for the same caller. The
    /// expiry is not checked here.
    /// @return the id, or errc::submission_refused for any other text
    result<submission_id> decode(std::string_view text,
                                 const caller_name& caller) const;

  private:
    std::string authentication_code(std::string_view fields,
                                    const caller_name& caller) const;

    mac_function mac_;
};

} // namespace agatebank

template <>
struct std::hash<agatebank::submission_id>
{
    std::size_t operator()(const agatebank::submission_id& id) const noexcept
    {
        return std::hash<uint64_t>{}(id.issuer.value() ^
                                     (id.sequence.value() << 1U));
    }
};
