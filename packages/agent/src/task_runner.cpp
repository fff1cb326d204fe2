#include <agatebank/agent/task_runner.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_run = "target.run";
constexpr const char* step_connect = "target.connect";
constexpr const char* step_answer = "target.answer";
constexpr unsigned status_ok = 200;

http_call make_call(const runnable_start& start, const std::string& url,
                    duration timeout)
{
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    http_call call;
    call.method = "POST";
    call.url = url + "/v1/tasks";
    call.headers = {{"Agatebank-Submission", to_name(start.submission)},
                    {"Agatebank-Task", std::to_string(start.task.value())},
                    {"Agatebank-Service", start.service.value()},
                    {"Agatebank-Deadline-Ms", std::to_string(ms.count())}};
    call.content_type = "application/octet-stream";
    call.body = start.payload;
    call.timeout = timeout;
    call.may_resend = false;
    return call;
}

run_result failed_run(const http_failure& f)
{
    if (!f.may_have_been_received)
    {
        return {report_kind::not_run, errc::target_unreachable, step_connect};
    }
    if (f.reason.code == make_error_code(errc::target_timeout))
    {
        return {report_kind::timed_out, errc::target_timeout, step_run};
    }
    return {report_kind::failed, errc::target_answer_partial, step_answer};
}

} // namespace

task_runner::task_runner(event_loop& loop, http_client& client,
                         std::size_t max_answer_bytes, on_ended ended)
    : loop_(loop)
    , client_(client)
    , max_answer_bytes_(max_answer_bytes)
    , on_ended_(std::move(ended))
{
}

void task_runner::run(const runnable_start& start, const std::string& url,
                      duration timeout)
{
    const auto key = start.key;
    const auto begun = loop_.now();
    calls_[key] = client_.send(make_call(start, url, timeout),
                               [this, key, begun](const auto& outcome)
                               { on_response(key, begun, outcome); });
}

void task_runner::on_response(
    const start_key& key, time_point begun,
    const tl::expected<http_response, http_failure>& outcome)
{
    auto result = to_result(outcome);
    result.run_time = loop_.now() - begun;
    calls_.erase(key);
    on_ended_(key, std::move(result));
}

run_result
task_runner::to_result(const tl::expected<http_response, http_failure>& outcome)
{
    if (!outcome)
    {
        return failed_run(outcome.error());
    }
    if (outcome->status != status_ok)
    {
        return {report_kind::failed, errc::target_failed, step_answer};
    }
    if (outcome->body.size() > max_answer_bytes_)
    {
        return {report_kind::failed, errc::message_too_large, step_answer};
    }
    run_result result;
    result.kind = report_kind::answered;
    result.body = outcome->body;
    return result;
}

std::size_t task_runner::running() const noexcept
{
    return calls_.size();
}

} // namespace agatebank
