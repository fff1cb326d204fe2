#pragma once

#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace agatebank
{

/// @brief Maximum number of unanswered starts of an entry at an agent. It is
/// an absolute number with an increasing version, so that lost, repeated or
/// late grants are harmless.
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

/// @brief Divides the slots of one target among the entries by their demand.
/// A credit permits an entry one unanswered start.
///
/// Invariant: the sum of the unanswered starts that the entries may have never
/// exceeds slots + queue_allowance. An entry may act on the grant it has
/// confirmed and on any later one, so the largest of these is counted. A lower
/// grant frees credits only once it is confirmed, and then only down to the
/// number of starts that are still unanswered.
///
/// An entry's grants end with its connection to the agent. The agent then
/// calls @ref remove_entry, and @ref add_entry for the next connection.
///
/// @code
/// credit_allocator credits(8, 0);
/// credits.add_entry(a);
/// send(credits.rebalance(now));           // entry a is granted all 8
/// credits.set_demand(a, update.demand);   // on each demand update
/// credits.confirm(a, update.grant_version);
/// @endcode
class credit_allocator
{
  public:
    // construction
    /// @param slots slots of the target
    /// @param queue_allowance starts that may be granted beyond the slots
    /// @param salt different for each agent, such as its incarnation; it
    /// selects the entries that get the remainder of an uneven division
    credit_allocator(uint32_t slots, uint32_t queue_allowance,
                     uint64_t salt = 0);

    // entries
    void add_entry(entry_incarnation entry);
    /// @brief Revokes all credits of an entry that is no longer connected. Its
    /// running tasks occupy slots as counted by @ref set_orphaned_tasks.
    void remove_entry(entry_incarnation entry);
    /// @brief Sets the number of slots occupied by tasks of removed entries.
    void set_orphaned_tasks(uint32_t running);
    void set_demand(entry_incarnation entry, const demand_report& demand);
    /// @brief Records that the entry acts on the grant of this version, with
    /// the unanswered starts of its latest demand. A version below the one
    /// confirmed is ignored.
    void confirm(entry_incarnation entry, uint64_t version);
    /// @brief As above, with the unanswered starts given by the same message.
    void confirm(entry_incarnation entry, uint64_t version, uint32_t in_flight);
    /// @brief Sets the number of unanswered starts of an entry as counted by
    /// the agent, replacing the number the entry reported. To be called when
    /// a start ends.
    void set_running(entry_incarnation entry, uint32_t running);
    /// @brief Sets the number of slots; 0 while the agent is leaving.
    void set_slots(uint32_t slots);
    /// @brief Sets the number of starts that may be granted beyond the slots.
    void set_queue_allowance(uint32_t queue_allowance);

    // decisions
    /// @brief Recomputes the grants.
    /// @return the grants that changed
    /// @complexity O(n * (slots + queue_allowance)) for n entries
    std::vector<slot_grant> rebalance(time_point now);

    // lookup
    /// @brief The latest grant of an entry; all zero if it is unknown.
    slot_grant current(entry_incarnation entry) const;
    /// @brief Maximum number of unanswered starts of all entries now.
    uint32_t committed() const;

  private:
    struct share
    {
        std::vector<slot_grant> grants; ///< the confirmed one, then later ones
        uint32_t running = 0;           ///< unanswered starts
        demand_report demand;
        uint32_t peak_need = 0; ///< largest need of the last 2 s
        time_point peak_at;

        uint32_t credits() const;
        uint32_t max_unanswered() const;
        uint32_t need() const;
        void update_peak(time_point now);
    };
    using share_map = std::map<entry_incarnation, share>;
    using plan = std::map<entry_incarnation, uint32_t>;

    uint32_t capacity() const;
    plan desired() const;
    bool move_credit(plan& out, uint32_t& spare, bool to_even_share) const;
    uint64_t tie_rank(entry_incarnation entry) const;
    plan::iterator fewest(plan& out, bool in_need, uint32_t limit) const;
    plan::iterator largest_surplus(plan& out, bool of_peak) const;
    void grant(entry_incarnation entry, share& s, uint32_t credits);

    uint32_t slots_;
    uint32_t queue_allowance_;
    uint64_t salt_;
    uint32_t orphaned_tasks_ = 0;
    uint64_t last_version_ = 0;
    share_map shares_;
};

} // namespace agatebank
