#pragma once

#include <agatebank/core/strong_id.hpp>

#include <cstdint>
#include <string>

namespace agatebank
{

// names assigned by operators
using caller_name = strong_id<struct caller_name_tag, std::string>;
using operator_name = strong_id<struct operator_name_tag, std::string>;
using service_name = strong_id<struct service_name_tag, std::string>;
using target_name = strong_id<struct target_name_tag, std::string>;
using worker_name = strong_id<struct worker_name_tag, std::string>;
using rack_name = strong_id<struct rack_name_tag, std::string>;
using failure_domain_name =
    strong_id<struct failure_domain_name_tag, std::string>;
using patience_name = strong_id<struct patience_name_tag, std::string>;

// random ids of one run of a process; a restart draws a new one
using entry_incarnation = strong_id<struct entry_incarnation_tag, uint64_t>;
using agent_incarnation = strong_id<struct agent_incarnation_tag, uint64_t>;

/// @brief Incarnation of a target: the time at which it was started. A restart
/// has a later one.
using target_incarnation = strong_id<struct target_incarnation_tag, int64_t>;

/// @brief Sequence number of a start in the stream from one entry incarnation
/// to one agent incarnation; increases by one, never reused.
using start_sequence = strong_id<struct start_sequence_tag, uint64_t>;

/// @brief Sequence number of a submission among those issued by one entry.
using submission_sequence = strong_id<struct submission_sequence_tag, uint64_t>;

/// @brief Version of the configuration; never decreases.
using config_version = strong_id<struct config_version_tag, uint64_t>;

/// @brief Index of a task in its job, from 0.
using task_index = strong_id<struct task_index_tag, uint32_t>;

/// @brief Number of a job within one entry; not sent to other processes.
using job_key = strong_id<struct job_key_tag, uint64_t>;

} // namespace agatebank
