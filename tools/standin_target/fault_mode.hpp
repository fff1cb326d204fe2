#pragma once

#include <agatebank/core/result.hpp>

#include <string>

namespace agatebank
{

/// @brief How the target treats the tasks it is sent.
enum class fault_mode
{
    ok,
    hang,      ///< starts and never answers
    fail_fast, ///< answers 500 at once
    // the modes below are served by the raw listener
    garbage,                ///< answers bytes that are not HTTP
    half_answer_then_close, ///< promises a length and sends half of it
    unframed_answer,        ///< whole body without its length, then closes
    close_before_read,
    close_after_head, ///< reads the head of the request, then closes
    close_after_body  ///< reads the whole request, then closes
};

/// @brief Faults of a target; set by `POST /mode`.
struct target_faults
{
    fault_mode mode = fault_mode::ok;
    double slow_factor = 1.0;     ///< multiplies every run time
    double straggler_share = 0.0; ///< share of tasks that straggle
    double straggler_factor = 10.0;
    bool announce = true;
};

/// @brief Whether a mode needs the raw listener in place of the server.
bool is_raw(fault_mode mode) noexcept;

/// @brief The name of a mode, as written in `POST /mode`.
const char* to_word(fault_mode mode) noexcept;

/// @brief Reads a mode's name. @return errc::request_malformed if unknown
result<fault_mode> parse_fault_mode(const std::string& word);

/// @brief Reads the body of `POST /mode`; absent fields keep their value.
result<target_faults> parse_target_faults(const std::string& body,
                                          const target_faults& current);

} // namespace agatebank
