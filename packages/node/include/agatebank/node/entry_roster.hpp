#pragma once

#include <agatebank/wire/messages.hpp>

#include <set>
#include <vector>

namespace agatebank
{

/// @brief The link addresses of all known entries: the seeds in the settings
/// and those received from other processes. Entries are never removed.
class entry_roster
{
  public:
    // modifiers
    /// @brief Adds an entry. @return whether it is new
    bool add(const entry_address& entry)
    {
        return entries_.insert(entry).second;
    }

    // lookup
    /// @brief The message that shares the known entries with a peer.
    entry_list to_message() const
    {
        return {{entries_.begin(), entries_.end()}};
    }

  private:
    std::set<entry_address> entries_;
};

} // namespace agatebank
