#pragma once

#include <agatebank/loop/object_ptr.hpp>

#include <cstdint>

namespace agatebank
{

/// @brief A block of ports that no other holder of a block uses. The first
/// port of the block is kept bound as its lock, on this machine.
class port_block
{
  public:
    // construction
    /// @throw std::runtime_error when all blocks are taken
    port_block();

    // modifiers
    /// @brief The next unused port of the block.
    /// @throw std::runtime_error when the block is used up
    uint16_t take();

  private:
    object_ptr<GSocket> lock_;
    uint16_t next_ = 0;
    uint16_t end_ = 0;
};

} // namespace agatebank
