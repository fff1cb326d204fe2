#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>

#include <map>
#include <vector>

namespace agatebank
{

/// @brief What an entry knows of one target: its profile, the load that its
/// agent last reported, and the entry's own orders that the report does not
/// cover yet.
///
/// Load pattern: several entries send bursts to the same targets between two
/// reports; without its own unreported orders an entry would send a whole
/// burst to the target that was idle last.
class target_record
{
  public:
    // construction
    explicit target_record(target_profile profile);

    // modifiers
    /// @brief Takes a report. @return whether it tells anything new
    bool set_load(const target_load& load);
    void add_order(order_id id, const room& each, std::size_t band);
    /// @brief The order has ended; it counts no longer.
    void remove_order(order_id id);
    /// @brief A single task went there to find out whether the target works
    /// again.
    void set_next_probe(time_point t);

    // lookup
    const target_profile& profile() const noexcept;
    const target_load& load() const noexcept;
    bool has_label(const std::string& label) const;
    /// @brief Expected time in the agent's queue for a task of a band.
    /// @param extra cpu that will be sent ahead of it
    duration expected_wait(const room& each, std::size_t band,
                           int64_t extra_cpu_millis = 0) const;
    /// @brief Share of the processor that is used or spoken for with one task
    /// more, over 1 when tasks wait.
    double utilisation_with(const room& each) const;
    /// @brief Whether a suspect target may get a single task.
    bool may_probe(time_point now) const;

  private:
    struct pending_order
    {
        room each;
        std::size_t band = 0;
    };

    target_profile profile_;
    target_load load_;
    std::map<order_id, pending_order> unseen_;
    int64_t unseen_cpu_ = 0;
    time_point next_probe_;
};

/// @brief The targets that an entry may send to, by the agent's incarnation.
using target_map = std::map<agent_incarnation, target_record>;

} // namespace agatebank
