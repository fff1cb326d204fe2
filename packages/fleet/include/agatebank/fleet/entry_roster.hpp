#pragma once

#include <agatebank/core/entry_record.hpp>
#include <agatebank/core/units.hpp>

#include <map>
#include <optional>
#include <vector>

namespace agatebank
{

/// @brief The entries that a process knows, merged from its settings and from
/// the changes that other processes pass on. Merging is commutative and
/// idempotent, so all processes reach the same roster, whatever the order in
/// which changes arrive.
///
/// Load pattern: machines come, go and return at other addresses while hundreds
/// of processes hold rosters. Only changes are passed on, and each change once.
class entry_roster
{
  public:
    // construction
    /// @param self the record of this process, if it is an entry
    explicit entry_roster(std::optional<entry_record> self = std::nullopt);

    // modifiers
    /// @brief Adds an address from the settings. @return whether it is new
    bool add_seed(const entry_address& address, time_point now);
    /// @brief Merges records from another process.
    /// @return the records that changed here, to be passed on. A record that
    /// calls this process gone is answered by one with a higher version.
    std::vector<entry_record> merge(const std::vector<entry_record>& received,
                                    time_point now);
    /// @brief Records that an entry is gone.
    /// @return the change, to be passed on; nothing if it is gone already
    std::optional<entry_record> mark_gone(const entry_address& address,
                                          time_point now);
    /// @brief Erases records that have been gone for longer than the time in
    /// which a process could still pass on an older one.
    void erase_long_gone(time_point now);

    // lookup
    /// @brief All records, including those of gone entries.
    std::vector<entry_record> records() const;
    /// @brief The entries that are not gone, without this process.
    std::vector<entry_record> others() const;
    bool is_member(const entry_address& address) const;

  private:
    struct known_entry
    {
        entry_record record;
        time_point changed_at;
    };

    // Returns the record to keep, if the received one changes it.
    std::optional<entry_record> to_newer(const entry_record& received) const;

    std::optional<entry_address> self_;
    std::map<entry_address, known_entry> entries_;
};

} // namespace agatebank
