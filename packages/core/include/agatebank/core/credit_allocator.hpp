#pragma once

#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace agatebank
{

/// @brief The number of unanswered starts an entry may have at an agent.
/// Absolute, with a version that rises for each entry: a lost, repeated or
/// late grant does no harm.
struct slot_grant
{
    entry_incarnation entry;
    uint64_t version = 0;
    uint32_t credits = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(entry, version, credits);
    }
};

/// @brief Shares the slots of one target among the entries by their demand.
///
/// Invariant: the sum over entries of max(credits of every grant that the
/// entry may still act on) never exceeds slots + queue_allowance. A grant
/// that lowers an entry's credits frees them only when the entry has
/// confirmed that version or has been removed.
class credit_allocator
{
  public:
    // construction
    credit_allocator(uint32_t slots, uint32_t queue_allowance);

    // entries
    void add_entry(entry_incarnation entry);
    /// @brief Takes back all credits of an entry that went silent; tasks it
    /// has running keep their slots until @ref set_orphans lowers them.
    void remove_entry(entry_incarnation entry);
    /// @brief Slots held by tasks of entries that were removed.
    void set_orphans(uint32_t running);
    void set_demand(entry_incarnation entry, const demand_report& demand);
    /// @brief The entry has seen the grant of this version and acts on it.
    void confirm(entry_incarnation entry, uint64_t version);
    /// @brief Sets the slots; 0 while leaving.
    void set_slots(uint32_t slots);

    // decisions
    /// @brief Recomputes the shares. @return the grants that changed
    std::vector<slot_grant> rebalance(time_point now);

    // lookup
    /// @brief The latest grant of an entry; all zero when unknown.
    slot_grant current(entry_incarnation entry) const;
    /// @brief The most unanswered starts that all entries may have now.
    uint32_t committed() const;

  private:
    struct share
    {
        slot_grant latest;
        uint64_t confirmed_version = 0;
        uint32_t confirmed_credits = 0;
        demand_report demand;
    };

    uint32_t slots_;
    uint32_t queue_allowance_;
    uint32_t orphans_ = 0;
    std::map<entry_incarnation, share> shares_;
};

} // namespace agatebank
