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
/// Invariant: the sum over entries of what each may have unanswered never
/// exceeds slots + queue_allowance. An entry may act on the grant it has
/// confirmed and on every later one, so it counts with the largest of them;
/// a lower grant frees credits only when it is confirmed, and then only down
/// to the starts that are still unanswered.
///
/// An entry gives up its grants when its connection to the agent ends; the
/// agent calls @ref remove_entry then, and @ref add_entry for the next one.
///
/// @code
/// credit_allocator credits(8, 0);
/// credits.add_entry(a);
/// send(credits.rebalance(now));           // a gets all 8
/// credits.set_demand(a, update.demand);   // on each demand update
/// credits.confirm(a, update.grant_version);
/// @endcode
class credit_allocator
{
  public:
    // construction
    /// @param salt different for each agent, such as its incarnation: decides
    /// who gets the credits that do not divide evenly
    credit_allocator(uint32_t slots, uint32_t queue_allowance,
                     uint64_t salt = 0);

    // entries
    void add_entry(entry_incarnation entry);
    /// @brief Takes back all credits of an entry that went silent; tasks it
    /// has running keep their slots until @ref set_orphans lowers them.
    void remove_entry(entry_incarnation entry);
    /// @brief Slots held by tasks of entries that were removed.
    void set_orphans(uint32_t running);
    void set_demand(entry_incarnation entry, const demand_report& demand);
    /// @brief The entry has seen the grant of this version and acts on it.
    /// Its unanswered starts are those of its latest demand. A version below
    /// the one confirmed is ignored.
    void confirm(entry_incarnation entry, uint64_t version);
    /// @brief Like the above, with the unanswered starts of the same message.
    void confirm(entry_incarnation entry, uint64_t version, uint32_t in_flight);
    /// @brief Sets the starts of an entry that the agent holds unanswered, in
    /// place of what the entry said; call it when a start ends.
    void set_running(entry_incarnation entry, uint32_t running);
    /// @brief Sets the slots; 0 while leaving.
    void set_slots(uint32_t slots);
    /// @brief Sets the starts that may be granted beyond the slots.
    void set_queue_allowance(uint32_t queue_allowance);

    // decisions
    /// @brief Recomputes the shares. @return the grants that changed
    /// @complexity O(n * (slots + queue_allowance)) for n entries
    std::vector<slot_grant> rebalance(time_point now);

    // lookup
    /// @brief The latest grant of an entry; all zero when unknown.
    slot_grant current(entry_incarnation entry) const;
    /// @brief The most unanswered starts that all entries may have now.
    uint32_t committed() const;

  private:
    struct share
    {
        std::vector<slot_grant> usable; ///< confirmed one first, then later
        uint32_t running = 0;           ///< unanswered at the confirmation
        demand_report demand;
        uint32_t peak_need = 0; ///< largest of late
        time_point peak_at;

        uint32_t credits() const;
        uint32_t exposure() const;
        uint32_t need() const;
        void update_peak(time_point now);
    };
    using share_map = std::map<entry_incarnation, share>;
    using plan = std::map<entry_incarnation, uint32_t>;

    uint32_t capacity() const;
    plan desired() const;
    bool move_one(plan& out, uint32_t& spare, bool to_even_share) const;
    uint64_t tie_rank(entry_incarnation entry) const;
    plan::iterator fewest(plan& out, bool in_need, uint32_t limit) const;
    plan::iterator largest_surplus(plan& out, bool of_peak) const;
    void grant(entry_incarnation entry, share& s, uint32_t credits);

    uint32_t slots_;
    uint32_t queue_allowance_;
    uint64_t salt_;
    uint32_t orphans_ = 0;
    uint64_t last_version_ = 0;
    share_map shares_;
};

} // namespace agatebank
