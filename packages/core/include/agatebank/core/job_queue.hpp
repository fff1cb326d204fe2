#pragma once

#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief Sort key of a job in the queue.
struct queue_position
{
    bool delayable = true; ///< false: sorts before all delayable jobs
    duration wait{};       ///< longest wait paid for
    time_point latest_start;
    job_key job;

    auto operator<=>(const queue_position&) const = default;
};

/// @brief Order of the delayable jobs.
enum class queue_order
{
    latest_start, ///< earliest latest start first
    shortest_wait ///< shortest paid wait first
};

/// @brief Waiting tasks of one entry, by service and ordered by job: all
/// tasks of a job have the position of the job.
///
/// @code
/// job_queue queue;
/// queue.add(service, position, {0, 1, 2});
/// const auto first = queue.first(service, queue_order::latest_start);
/// const auto task = queue.take(first->job);
/// @endcode
class job_queue
{
  public:
    // modifiers
    /// @brief Queues the tasks of a job; @ref take returns them in the order
    /// of @p tasks.
    /// @complexity O(log n + tasks)
    void add(const service_name& service, const queue_position& position,
             std::vector<uint32_t> tasks);
    /// @brief Removes and returns the next waiting task of a job.
    /// @complexity O(log n)
    std::optional<uint32_t> take(job_key job);
    /// @brief Returns a taken task to the queue as the job's next one. Has no
    /// effect if the job was removed.
    /// @return whether the task was queued
    /// @complexity O(log n)
    bool put_back(job_key job, uint32_t task);
    /// @brief Removes a job.
    /// @return its waiting tasks
    /// @complexity O(log n)
    std::vector<uint32_t> remove(job_key job);

    // lookup
    /// @brief Position of the first job of a service with waiting tasks.
    /// @complexity O(log s) for s services
    std::optional<queue_position> first(const service_name& service,
                                        queue_order order) const;
    /// @brief Position of the next job after @p position.
    /// @complexity O(log n)
    std::optional<queue_position> after(const service_name& service,
                                        const queue_position& position,
                                        queue_order order) const;
    /// @brief The task that @ref take would return. @complexity O(1)
    std::optional<uint32_t> peek(job_key job) const;
    /// @brief Services with waiting tasks.
    std::vector<service_name> services() const;
    std::size_t size() const noexcept
    {
        return size_;
    }
    std::size_t size(const service_name& service) const;
    std::size_t size(job_key job) const;

  private:
    struct waiting_job
    {
        service_name service;
        queue_position position;
        std::vector<uint32_t> tasks; ///< in reverse order: the next one is last
    };
    struct starts_sooner
    {
        bool operator()(const queue_position& a, const queue_position& b) const
        {
            return std::tie(a.delayable, a.latest_start, a.job) <
                   std::tie(b.delayable, b.latest_start, b.job);
        }
    };
    struct service_queue
    {
        std::set<queue_position, starts_sooner> by_start;
        std::set<queue_position> by_wait;
        std::size_t size = 0;

        void insert(const queue_position& position);
        void erase(const queue_position& position);
    };

    void change_size(service_queue& queue, std::ptrdiff_t n);

    std::unordered_map<job_key, waiting_job> jobs_;
    std::map<service_name, service_queue> services_;
    std::size_t size_ = 0;
};

} // namespace agatebank
