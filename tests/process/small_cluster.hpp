#pragma once

#include <agatebank/harness/cluster.hpp>
#include <agatebank/harness/job_caller.hpp>
#include <agatebank/harness/judge.hpp>
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace agatebank
{

/// @brief Settings of a test's cluster; by default three entries and three
/// targets in three failure domains.
struct small_options
{
    std::size_t entries = 3;
    std::size_t targets = 3;
    unsigned slots = 8;
    bool relays = false; ///< agents reach entries through relays
    bool import = true;
    unsigned max_queued_tasks = 0;
};

/// @brief Returns the token of the second caller that every cluster has.
std::string other_token();

/// @brief Returns the options of a cluster with the service "echo" and the
/// patience classes "now" (3 s), "soon" (10 s) and "later" (60 s).
cluster_options make_cluster_options(const small_options& options = {});

/// @brief Makes a job whose tasks echo "NAME#INDEX"; @p name must be unique
/// within the test.
job_request make_job(const std::string& name, std::size_t tasks, int64_t run_ms,
                     bool idempotent = false,
                     const std::string& patience = "later");

/// @brief Returns a cluster's inventory without one target, as JSON text.
std::string inventory_without(const cluster& c, const std::string& target);

/// @brief A cluster, the judge that checks its invariants, and the number of
/// replies that a test waits for.
struct cluster_fixture
{
    event_loop loop;
    judge verdict;
    std::size_t pending = 0;
    cluster nodes;

    explicit cluster_fixture(const cluster_options& options)
        : nodes(loop, options)
    {
    }

    /// @brief Reserves one submission id; the test fails when that fails.
    std::string reserve(std::size_t entry);
    /// @brief Submits without waiting; the reply is passed to the judge.
    void submit(std::size_t entry, const std::string& submission,
                const job_request& job,
                duration wait = std::chrono::seconds(30));
    /// @brief Submits, waits for the reply and passes it to the judge.
    caller_reply submit_now(std::size_t entry, const std::string& submission,
                            const job_request& job,
                            duration wait = std::chrono::seconds(30));
    /// @brief Runs the loop until all replies have arrived; a time-out fails
    /// the test.
    void wait_for_replies(duration timeout = std::chrono::seconds(60));
    /// @brief Runs the loop until the targets' ledgers hold this many starts.
    /// @return false on a time-out
    bool wait_for_starts(std::size_t n,
                         duration timeout = std::chrono::seconds(30));
    /// @brief Checks the invariants that hold under every fault.
    void check_invariants();
    /// @brief Checks that no target ran more tasks at once than its slots.
    /// This holds only while no agent is killed: tasks that a killed agent
    /// started keep running, and its successor does not count them.
    void check_slots();
};

} // namespace agatebank
