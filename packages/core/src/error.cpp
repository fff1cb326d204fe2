#include <agatebank/core/error.hpp>

#include <array>
#include <string>

namespace agatebank
{

namespace
{

// One error. The table of errors in docs/OPERATING.md repeats code, word and
// text; a test compares them.
struct error_row
{
    errc code;
    const char* word;
    const char* text;
};

constexpr std::array error_rows{
    error_row{errc::settings_unreadable, "settings_unreadable",
              "the settings file cannot be read"},
    error_row{errc::settings_invalid, "settings_invalid",
              "the settings file is not valid"},
    error_row{errc::configuration_invalid, "configuration_invalid",
              "the configuration is not valid"},
    error_row{errc::configuration_conflict, "configuration_conflict",
              "the configuration was changed by someone else"},
    error_row{errc::configuration_unknown, "configuration_unknown",
              "no configuration is known yet"},
    error_row{errc::address_in_use, "address_in_use", "the address is in use"},
    error_row{errc::peer_unreachable, "peer_unreachable",
              "the peer cannot be reached"},
    error_row{errc::peer_silent, "peer_silent", "the peer went silent"},
    error_row{errc::peer_closed, "peer_closed",
              "the peer closed the connection"},
    error_row{errc::message_too_large, "message_too_large",
              "a message is longer than allowed"},
    error_row{errc::message_malformed, "message_malformed",
              "a message cannot be decoded"},
    error_row{errc::message_unauthentic, "message_unauthentic",
              "a message has a wrong authentication code"},
    error_row{errc::key_required, "key_required",
              "a shared key is required beyond loopback"},
    error_row{errc::request_malformed, "request_malformed",
              "the request is malformed"},
    error_row{errc::request_too_large, "request_too_large",
              "the request is too large"},
    error_row{errc::too_many_tasks, "too_many_tasks",
              "the job has too many tasks"},
    error_row{errc::unauthorised, "unauthorised",
              "a valid bearer token is required"},
    error_row{errc::forbidden, "forbidden",
              "the token does not permit this call"},
    error_row{errc::not_found, "not_found", "there is no such resource"},
    error_row{errc::submission_refused, "submission_refused",
              "the submission id is not valid for this caller"},
    error_row{errc::submission_expired, "submission_expired",
              "the submission id has expired"},
    error_row{errc::submission_body_differs, "submission_body_differs",
              "the submission id was used with another body"},
    error_row{errc::submission_required, "submission_required",
              "a non-idempotent job needs a reserved submission id"},
    error_row{errc::service_unknown, "service_unknown",
              "there is no such service"},
    error_row{errc::patience_unknown, "patience_unknown",
              "there is no such patience class"},
    error_row{errc::needs_unmeetable, "needs_unmeetable",
              "no target of the inventory can meet the job's needs"},
    error_row{errc::wait_unattainable, "wait_unattainable",
              "the job cannot be answered within the paid wait"},
    error_row{errc::quota_exceeded, "quota_exceeded",
              "the caller's quota is used up"},
    error_row{errc::process_leaving, "process_leaving",
              "the process is shutting down"},
    error_row{errc::not_ready, "not_ready", "the process is not ready"},
    error_row{errc::job_unsupported, "job_unsupported",
              "the job asks for what is not built"},
    error_row{errc::request_late, "request_late",
              "the request was under way for too long"},
    error_row{errc::start_refused, "start_refused",
              "the agent refused the start"},
    error_row{errc::start_stale, "start_stale",
              "the start is below the acknowledged sequence"},
    error_row{errc::start_wrong_incarnation, "start_wrong_incarnation",
              "the start names another agent incarnation"},
    error_row{errc::start_past_deadline, "start_past_deadline",
              "the start arrived past its deadline"},
    error_row{errc::target_failed, "target_failed",
              "the target answered with an error"},
    error_row{errc::target_unreachable, "target_unreachable",
              "the target cannot be reached"},
    error_row{errc::target_answer_partial, "target_answer_partial",
              "the target's answer is not whole"},
    error_row{errc::target_timeout, "target_timeout",
              "the target did not answer in time"},
    error_row{errc::agent_lost, "agent_lost",
              "the agent was lost while the task was unanswered"},
    error_row{errc::entry_lost, "entry_lost",
              "the entry that issued the submission was lost"},
    error_row{errc::wait_exceeded, "wait_exceeded",
              "the job was not answered within the paid wait"},
    error_row{errc::cancelled, "cancelled", "the job was cancelled"},
    error_row{errc::platform_unreachable, "platform_unreachable",
              "the platform's table service cannot be reached"},
    error_row{errc::platform_refused, "platform_refused",
              "the platform's table service refused the request"},
    error_row{errc::platform_outcome_unknown, "platform_outcome_unknown",
              "the outcome of a write to the platform is unknown"},
    error_row{errc::log_unwritable, "log_unwritable",
              "the log file cannot be written"},
};

const error_row* find_row(int value) noexcept
{
    for (const auto& row : error_rows)
    {
        if (static_cast<int>(row.code) == value)
        {
            return &row;
        }
    }
    return nullptr;
}

class category final : public std::error_category
{
  public:
    const char* name() const noexcept override
    {
        return "agatebank";
    }

    std::string message(int value) const override
    {
        const auto* row = find_row(value);
        return row == nullptr ? "unknown error" : row->text;
    }
};

} // namespace

const std::error_category& error_category() noexcept
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc e) noexcept
{
    return {static_cast<int>(e), error_category()};
}

const char* error_word(errc e) noexcept
{
    const auto* row = find_row(static_cast<int>(e));
    return row == nullptr ? "unknown" : row->word;
}

} // namespace agatebank
