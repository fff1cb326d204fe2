#pragma once

#include <system_error>

namespace agatebank
{

/// @brief Error codes. The numbers are stable: they appear in logs, in problem
/// documents and in docs/OPERATING.md.
enum class errc
{
    // settings and configuration: 100 to 199
    settings_unreadable = 100,
    settings_invalid = 101,
    configuration_invalid = 110,
    configuration_conflict = 111,
    configuration_unknown = 112,

    // network between processes: 200 to 299
    address_in_use = 200,
    peer_unreachable = 201,
    peer_silent = 202,
    peer_closed = 203,
    message_too_large = 204,
    message_malformed = 205,
    message_unauthentic = 206,
    key_required = 207,

    // requests of callers: 300 to 399
    request_malformed = 300,
    request_too_large = 301,
    too_many_tasks = 302,
    unauthorised = 303,
    forbidden = 304,
    not_found = 305,
    submission_refused = 306,
    submission_expired = 307,
    submission_body_differs = 308,
    submission_required = 309,
    service_unknown = 310,
    patience_unknown = 311,
    needs_unmeetable = 312,
    wait_unattainable = 313,
    quota_exceeded = 314,
    process_leaving = 315,
    not_ready = 316,
    job_unsupported = 317,
    request_late = 318,

    // outcomes of tasks and jobs: 400 to 499
    start_refused = 400,
    start_stale = 401,
    start_wrong_incarnation = 402,
    start_past_deadline = 403,
    target_failed = 404,
    target_unreachable = 405,
    target_answer_partial = 406,
    target_timeout = 407,
    agent_lost = 408,
    entry_lost = 409,
    wait_exceeded = 410,
    cancelled = 411,

    // platform: 500 to 599
    platform_unreachable = 500,
    platform_refused = 501,
    platform_outcome_unknown = 502,

    // local system: 600 to 699
    log_unwritable = 600
};

/// @brief The category of @ref errc, named "agatebank".
const std::error_category& error_category() noexcept;

/// @brief Makes an error code of @ref error_category.
std::error_code make_error_code(errc e) noexcept;

/// @brief The stable identifier of an error in logs and problem documents, such
/// as "wait_unattainable".
const char* error_word(errc e) noexcept;

} // namespace agatebank

template <>
struct std::is_error_code_enum<agatebank::errc> : std::true_type
{
};
