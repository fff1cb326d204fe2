#pragma once

#include <agatebank/core/result.hpp>

#include <string>

namespace agatebank
{

/// @brief How the target responds to the tasks that it receives.
enum class fault_mode
{
    ok,
    hang,      ///< starts the task and never answers
    fail_fast, ///< answers 500 without delay
    // the modes below are served by the raw listener
    garbage,                ///< sends bytes that are not HTTP
    half_answer_then_close, ///< sends half of the promised body, then closes
    unframed_answer,        ///< whole body without Content-Length, then closes
    close_before_read,      ///< closes without reading the request
    close_after_head,       ///< reads the head of the request, then closes
    close_after_body        ///< reads the whole request, then closes
};

/// @brief Faults that the target injects; set by `POST /mode`.
struct target_faults
{
    fault_mode mode = fault_mode::ok;
    double slow_factor = 1.0;       ///< factor for every run time
    double straggler_share = 0.0;   ///< share of tasks that are stragglers
    double straggler_factor = 10.0; ///< factor for a straggler's run time
    bool announce = true;           ///< whether announcements are sent
};

/// @brief Whether a mode is served by the raw listener instead of the HTTP
/// server.
bool is_raw(fault_mode mode) noexcept;

/// @brief The name of a mode, as used in `POST /mode`.
const char* to_word(fault_mode mode) noexcept;

/// @brief Parses a mode's name. @return errc::request_malformed if unknown
result<fault_mode> parse_fault_mode(const std::string& word);

/// @brief Parses the body of `POST /mode`; absent fields keep their value.
result<target_faults> parse_target_faults(const std::string& body,
                                          const target_faults& current);

} // namespace agatebank
