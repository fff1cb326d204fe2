#pragma once

#include <agatebank/core/error.hpp>

#include <tl/expected.hpp>

#include <string>
#include <utility>

namespace agatebank
{

/// @brief An error with the step and the peer at which it arose.
struct failure
{
    std::error_code code;
    std::string step;   ///< what was being done, such as "config.fetch"
    std::string peer;   ///< address or name of the other side, may be empty
    std::string detail; ///< path, found and expected, or other particulars

    /// @brief One line for people: step, peer, message and detail.
    std::string to_string() const;
};

/// @brief A value or the failure that prevented it.
template <class T>
using result = tl::expected<T, failure>;

/// @brief Makes the failing side of a @ref result.
/// @param code what went wrong
/// @param step the step at which it arose
/// @param peer the peer at which it arose, may be empty
/// @param detail further particulars, may be empty
inline tl::unexpected<failure> fail(std::error_code code, std::string step,
                                    std::string peer = {},
                                    std::string detail = {})
{
    return tl::unexpected<failure>(
        failure{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace agatebank
