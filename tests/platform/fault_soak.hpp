#pragma once

#include "soak_callers.hpp"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Faults that are drawn apart from the others, so that the schedule of
/// a seed doesn't change with them.
struct soak_options
{
    bool cuts_targets = false; ///< targets are cut off from their agents
    /// VMs of entries are suspended: what is sent to them is lost, and sent
    /// again by TCP. Callers keep their connections.
    bool suspends_entries = false;
};

/// @brief A cluster with callers, and faults of random kinds and times in
/// series and at the same time, all drawn from a seed.
class fault_soak
{
  public:
    // construction
    explicit fault_soak(uint64_t seed, const soak_options& options = {});

    // modifiers
    /// @brief Waits until the entries are ready, then starts the callers.
    bool start();
    /// @brief Injects some faults, each into another component, and waits for
    /// the end of all.
    void run_round();
    /// @brief Checks that all entries serve jobs some time after the last
    /// fault, and waits for the callers.
    void finish();

    // lookup
    bool failed() const;
    std::string summary() const;
    /// @brief The failures, the faults, what happened to the jobs concerned and
    /// what the processes logged about them.
    std::string report() const;

  private:
    using action = std::function<void()>;
    using fault = std::function<void()>;

    uint64_t draw(uint64_t min, uint64_t max);
    duration draw_ms(uint64_t min, uint64_t max);
    /// @brief Does something later in the present round.
    void at(duration delay, action fn);
    /// @brief Begins a fault and ends it after a time.
    void run_fault(const std::string& name, duration time, const action& begin,
                   action end);
    void inject_process_fault(bool is_entry, std::size_t i);
    void pause(bool is_entry, std::size_t i, duration time);
    void start_when_ended(bool is_entry, std::size_t i, int checks_left);
    void inject_network_fault(bool of_callers, std::size_t entry);
    void change_delay(const std::string& name, tcp_relay& relay, int direction);
    void inject_target_fault(std::size_t i);
    void cut_target(std::size_t i, duration time);
    void plan_cuts();
    void plan_suspensions();
    void suspend_entry(std::size_t i, duration time);
    /// @brief Draws from the numbers of the faults of soak_options.
    uint64_t pick(uint64_t min, uint64_t max);
    child_process& process(bool is_entry, std::size_t i);

    std::mt19937_64 random_;
    soak_options options_;
    std::mt19937_64 option_random_;
    node_cluster cluster_;
    soak_trace trace_{cluster_.loop};
    soak_callers callers_;
    std::size_t pending_ = 0; ///< actions of the present round
    std::size_t faults_ = 0;
};

} // namespace agatebank
