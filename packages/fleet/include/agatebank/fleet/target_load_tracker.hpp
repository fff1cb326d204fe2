#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>

#include <map>
#include <optional>
#include <vector>

namespace agatebank
{

/// @brief An entry's view of one target: its profile, the load that its agent
/// last reported, and the entry's own orders that the report does not include
/// yet.
///
/// Load pattern: several entries send bursts to the same targets between two
/// reports. If an entry did not count its own unreported orders, it would send
/// a whole burst to the target that was idle in the last report.
class target_load_tracker
{
  public:
    // construction
    explicit target_load_tracker(target_profile profile);

    // modifiers
    /// @brief Stores a load report, and discards the orders that it includes.
    /// The reported capacity replaces that of the profile, unless it is zero.
    /// @param now time of its arrival, if known
    /// @return whether acceptance of work, suspicion, coldness, or the presence
    /// of a slowdown or of hung runs changed
    bool set_load(const target_load& load,
                  std::optional<time_point> now = std::nullopt);
    /// @param expected_run expected run time at this target
    void add_order(order_id id, const resources& task_resources,
                   std::size_t band, duration expected_run = {});
    /// @brief Stops counting an order that has ended.
    void remove_order(order_id id);
    /// @brief Sets when a suspect target may be sent its next probe task.
    void set_next_probe(time_point t);
    /// @brief Sets whether the target's failure domain is evacuated. While it
    /// is, @ref load says that the target accepts no work, whatever its agent
    /// reports.
    void set_evacuated(bool evacuated);

    // lookup
    const target_profile& profile() const noexcept;
    const target_load& load() const noexcept;
    /// @brief Returns when the last load report arrived, if there is one and
    /// its time is known.
    std::optional<time_point> reported_at() const noexcept;
    bool has_label(const std::string& label) const;
    bool is_evacuated() const noexcept;
    /// @brief Returns the expected time that a task of a priority band waits in
    /// the agent's queue.
    /// @param extra_cpu_millis processor need of tasks that will be sent before
    /// it, in thousandths of a core
    duration expected_wait(const resources& task_resources, std::size_t band,
                           int64_t extra_cpu_millis = 0) const;
    /// @brief Returns the share of the target's processors that running, queued
    /// and unreported tasks need together with one more task. It exceeds 1 if
    /// tasks have to wait.
    double utilisation_with(const resources& task_resources) const;
    /// @brief Returns the processor need of running, queued and unreported
    /// tasks in thousandths of a core.
    int64_t cpu_demand_millis() const noexcept;
    /// @brief Returns whether a suspect target may be sent a probe task.
    bool may_probe(time_point now) const;

  private:
    struct pending_order
    {
        resources task_resources;
        std::size_t band = 0;
        duration expected_run{};
    };

    /// @brief Returns the mean run time in us that the agent reported, or that
    /// of the unreported orders if it had no run.
    double mean_run_us() const noexcept;

    target_profile profile_;
    target_load load_;
    std::optional<time_point> reported_at_;
    bool reported_acceptance_ = false; ///< accepts_work of the last report
    bool evacuated_ = false;
    std::map<order_id, pending_order> unreported_orders_;
    int64_t unreported_cpu_millis_ = 0;
    duration unreported_run_{}; ///< sum of the expected run times
    time_point next_probe_;
};

/// @brief The targets that an entry can send tasks to, by the incarnation of
/// their agent.
using target_map = std::map<agent_incarnation, target_load_tracker>;

/// @brief Returns the agents of all targets of a service that are not in an
/// evacuated failure domain.
std::vector<agent_incarnation> agents_of(const target_map& targets,
                                         const service_name& service);

} // namespace agatebank
