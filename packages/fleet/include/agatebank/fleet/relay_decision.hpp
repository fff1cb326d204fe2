#pragma once

#include <agatebank/core/strong_id.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace agatebank
{

/// @brief Identifies the link to an entry that jobs can be relayed to.
using relay_peer_id = strong_id<struct relay_peer_id_tag, uint64_t>;

/// @brief What an entry knows of a linked entry.
struct relay_peer
{
    relay_peer_id id;
    bool same_domain = false;     ///< as the deciding entry
    bool accepts_relays = false;  ///< by its last report
    double utilisation = 0;       ///< of its share, by its last report
    double share = 0;             ///< cores
    uint32_t unreported_jobs = 0; ///< relayed to it since its last report
    duration load_age{};          ///< of its last report
    duration job_time{};          ///< its processor time per job
};

/// @brief What decides whether a new job is relayed.
struct relay_input
{
    bool over = false;        ///< this entry exceeds its processor time
    bool relayed = false;     ///< another entry has relayed the job to this one
    duration serving_time{};  ///< own processor time of a job served here
    duration relaying_time{}; ///< own processor time of a job relayed
};

/// @brief Chooses the entry that a new job is relayed to.
///
/// Load pattern: a wave on an entry of 0.12 cores beside entries of 0.5 cores,
/// and several such entries at once. An entry that exceeds its processor time
/// relays to one with spare processor time, in its own failure domain if there
/// is one, where this takes less of its own processor time than serving the
/// job. It takes the better one of two random candidates: several entries
/// that all took the best would send it all their jobs until its next report.
/// A candidate has processor time for the jobs that were relayed to it since
/// its last report.
class relay_decision
{
  public:
    // construction
    explicit relay_decision(std::function<uint64_t()> random);

    /// @return the entry to relay the job to; nothing: serve it here
    std::optional<relay_peer_id>
    choose(const relay_input& input,
           const std::vector<relay_peer>& peers) const;

  private:
    std::function<uint64_t()> random_;
};

} // namespace agatebank
