#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief One task of a job: its run time and the answer it requests.
struct task_request_spec
{
    int64_t run_ms = 0;
    std::string echo; ///< unique, so that swapped answers are detected
};

/// @brief A job as a caller submits it.
struct job_request
{
    std::string service;
    std::string patience;
    bool idempotent = false;
    std::vector<task_request_spec> tasks;
};

/// @brief The JSON body of a submission.
std::string to_body(const job_request& job);

/// @brief An entry's reply as received by a caller.
struct caller_reply
{
    bool arrived = false; ///< false: connection failed or timed out
    unsigned status = 0;
    std::string state; ///< "complete", "failed", "running" or empty
    std::string run;   ///< "not-run", "may-have-run", "ran" or empty
    std::string code;  ///< error code
    std::vector<std::string> answers;
    int64_t price = 0;
    int64_t messages = 0;
    double response_ms = 0;
    std::string retry_after;
    std::string fresh_submission; ///< header Agatebank-Submission
    std::string body;
    int64_t sent_us = 0; ///< when the request was sent, system monotonic clock
    int64_t got_us = 0;  ///< when the reply arrived or the call failed
};

} // namespace agatebank
