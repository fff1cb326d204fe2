#pragma once

#include <agatebank/harness/cluster.hpp>
#include <agatebank/harness/job_caller.hpp>
#include <agatebank/harness/judge.hpp>
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace agatebank
{

/// @brief What a test's cluster differs in from three entries and three
/// targets in three failure domains.
struct small_options
{
    std::size_t entries = 3;
    std::size_t targets = 3;
    unsigned slots = 8;
    bool relays = false;
    bool import = true;
    unsigned max_queued_tasks = 0;
};

/// @brief Token of a second caller of every small cluster.
std::string other_token();

/// @brief Options of a cluster with the service "echo" and the patience
/// classes "now" (3 s), "soon" (10 s) and "later" (60 s).
cluster_options make_cluster_options(const small_options& options = {});

/// @brief A job whose echoes are unique by @p name.
job_request make_job(const std::string& name, std::size_t tasks, int64_t run_ms,
                     bool idempotent = false,
                     const std::string& patience = "later");

/// @brief The inventory of a cluster without one target, as JSON text.
std::string inventory_without(const cluster& c, const std::string& target);

/// @brief A cluster, its judge, and the replies that a test waits for.
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

    /// @brief Reserves one id. Fails the test when it cannot.
    std::string reserve(std::size_t entry);
    /// @brief Submits without waiting; the reply goes to the judge.
    void submit(std::size_t entry, const std::string& submission,
                const job_request& job,
                duration wait = std::chrono::seconds(30));
    /// @brief Submits and waits for the reply; it goes to the judge.
    caller_reply submit_now(std::size_t entry, const std::string& submission,
                            const job_request& job,
                            duration wait = std::chrono::seconds(30));
    /// @brief Runs until every reply is there.
    void wait_for_replies(duration timeout = std::chrono::seconds(60));
    /// @brief Runs until this many starts are in the ledgers.
    bool wait_for_starts(std::size_t n,
                         duration timeout = std::chrono::seconds(30));
    /// @brief Checks the invariants that hold in every case.
    void check_invariants();
    /// @brief Checks that no target ran more tasks than its slots. Tasks of
    /// an agent that was killed run on unknown to the next one, so this holds
    /// only while agents live.
    void check_slots();
};

} // namespace agatebank
