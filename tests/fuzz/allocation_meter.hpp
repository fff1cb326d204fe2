#pragma once

#include <cstddef>

namespace agatebank
{

/// @brief Measures the largest single allocation of the test program, to show
/// that a small input cannot cause a large allocation.
struct allocation_meter
{
    /// @brief Resets the measured maximum to zero.
    static void reset() noexcept;
    /// @brief Returns the size of the largest allocation since @ref reset, in
    /// bytes.
    static std::size_t largest() noexcept;
};

} // namespace agatebank
