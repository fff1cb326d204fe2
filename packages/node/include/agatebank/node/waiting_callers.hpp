#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/fleet/job_relay.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace agatebank
{

/// @brief A request that waits for the outcome of a job.
struct job_caller
{
    uint64_t request = 0; ///< identifies it at its entry
    /// when its connection was accepted; known for the first request of a
    /// connection
    std::optional<time_point> accepted;
    job_answer done;
};

/// @brief The requests that wait for the jobs of an entry. One request waits
/// for each job: a caller that submits its job again has left its earlier
/// connection.
class waiting_callers
{
  public:
    // modifiers
    /// @brief Adds the request that starts a job.
    void add(job_key job, job_caller caller);
    /// @brief Adds a further request for a running job. Of the two requests,
    /// the older one is answered as abandoned at once: that on the connection
    /// accepted earlier, or, if the connections can't be compared, that read
    /// earlier.
    void attach(job_key job, job_caller caller);
    /// @brief Removes the request that waits for a job. @return it, if any
    std::optional<job_caller> take(job_key job);
    /// @brief Removes a request. @return the job that it waited for, if any
    std::optional<job_key> remove(uint64_t request);

  private:
    std::map<job_key, job_caller> by_job_;
    std::unordered_map<uint64_t, job_key> by_request_;
};

} // namespace agatebank
