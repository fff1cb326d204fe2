#pragma once

#include <agatebank/loop/object_ptr.hpp>

#include <cstdint>

namespace agatebank
{

/// @brief Reserves a block of TCP ports on this machine, so that tests that run
/// in parallel don't use the same ports. The first port of the block stays
/// bound and serves as the lock.
class port_block
{
  public:
    // construction
    /// @throw std::runtime_error if all blocks are reserved
    port_block();

    // modifiers
    /// @brief The next unused port of the block.
    /// @throw std::runtime_error if no port of the block is left
    uint16_t take();

  private:
    object_ptr<GSocket> lock_;
    uint16_t next_ = 0;
    uint16_t end_ = 0;
};

} // namespace agatebank
