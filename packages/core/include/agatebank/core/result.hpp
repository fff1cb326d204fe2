#pragma once

#include <agatebank/core/error.hpp>

#include <tl/expected.hpp>

#include <string>
#include <utility>

namespace agatebank
{

/// @brief An error with the step and the peer at which it occurred.
struct failure
{
    std::error_code code;
    std::string step; ///< operation that failed, such as "config.fetch"
    std::string peer; ///< address or name of the remote side or file, or empty
    std::string detail; ///< path, value found and expected, or other details

    /// @brief A human-readable line: step, peer, message and detail.
    std::string to_string() const;
};

/// @brief A value, or the failure because of which there is none.
template <class T>
using result = tl::expected<T, failure>;

/// @brief Makes the error value of a @ref result.
/// @param code error code
/// @param step operation that failed
/// @param peer address or name of the remote side or file, may be empty
/// @param detail further details, may be empty
inline tl::unexpected<failure> fail(std::error_code code, std::string step,
                                    std::string peer = {},
                                    std::string detail = {})
{
    return tl::unexpected<failure>(
        failure{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace agatebank
