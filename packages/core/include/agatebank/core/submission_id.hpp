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

/// @brief Identity of a submission: the entry incarnation that issued it, a
/// position among those issued, and the end of its validity.
struct submission_id
{
    entry_incarnation issuer;
    submission_sequence sequence;
    /// end of validity, in seconds since the issuer started
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

/// @brief The name of a submission in events and towards targets: issuer and
/// sequence in hexadecimal, joined by '-'.
std::string to_name(const submission_id& id);

/// @brief Computes the lower-case hexadecimal authentication code of a text
/// under the key shared by the processes.
using mac_function = std::function<std::string(std::string_view)>;

/// @brief Turns submission ids into text and back. The text carries an
/// authentication code over the id and the caller, so that a forged id and
/// an id of another caller are refused alike, by any entry, without state.
///
/// @code
/// submission_id_codec codec(mac);
/// const auto text = codec.encode(id, caller);
/// const auto back = codec.decode(text, caller);
/// @endcode
class submission_id_codec
{
  public:
    /// @brief @param mac the authentication code of the shared key
    explicit submission_id_codec(mac_function mac);

    /// @brief The text of an id for its caller.
    /// @return four fields in hexadecimal joined by '-'
    std::string encode(const submission_id& id,
                       const caller_name& caller) const;

    /// @brief Reads a text that @ref encode made for this caller.
    /// @return the id, or errc::submission_refused for any other text
    result<submission_id> decode(std::string_view text,
                                 const caller_name& caller) const;

  private:
    std::string code_of(std::string_view fields,
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
