#pragma once

#include <agatebank/wire/messages.hpp>

#include <set>
#include <vector>

namespace agatebank
{

/// @brief The entries that a process has heard of: the seeds of its settings,
/// and those that others told of.
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
    known_entries to_message() const
    {
        return {{entries_.begin(), entries_.end()}};
    }

  private:
    std::set<entry_address> entries_;
};

} // namespace agatebank
