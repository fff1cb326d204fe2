#pragma once

#include <cstddef>

namespace agatebank
{

/// @brief Measures the largest single allocation of the test program, to show
/// that input cannot claim more memory than it is worth.
struct allocation_meter
{
    /// @brief Starts a measurement at zero.
    static void reset() noexcept;
    /// @brief Bytes of the largest allocation since @ref reset.
    static std::size_t largest() noexcept;
};

} // namespace agatebank
