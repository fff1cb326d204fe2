#include <agatebank/harness/job_caller.hpp>
#include <agatebank/harness/run_until.hpp>

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace agatebank
{

namespace
{

constexpr auto reply_margin = std::chrono::seconds(20);
constexpr int max_connections = 400;

using nlohmann::json;

std::string to_answer(const json& answer)
{
    if (answer.contains("body"))
    {
        return answer["body"].get<std::string>();
    }
    return "base64:" + answer.value("base64", "");
}

std::string find_header(const http_response& r, const std::string& name)
{
    for (const auto& h : r.headers)
    {
        if (g_ascii_strcasecmp(h.name.c_str(), name.c_str()) == 0)
        {
            return h.value;
        }
    }
    return {};
}

void read_body(caller_reply& out)
{
    const auto j = json::parse(out.body, nullptr, false);
    if (!j.is_object())
    {
        return;
    }
    const auto& problem = j.contains("problem") ? j["problem"] : j;
    out.state = j.value("state", "");
    out.run = j.value("run", "");
    if (problem.contains("code") && problem["code"].is_string())
    {
        out.code = problem["code"].get<std::string>();
    }
    out.price = j.value("price", int64_t{0});
    out.messages = j.value("messages", int64_t{0});
    out.response_ms = j.value("response_ms", 0.0);
    for (const auto& it : j.value("answers", json::array()))
    {
        out.answers.push_back(to_answer(it));
    }
}

caller_reply to_reply(const tl::expected<http_response, http_failure>& r,
                      int64_t sent_us)
{
    caller_reply out;
    out.sent_us = sent_us;
    out.got_us = g_get_monotonic_time();
    if (!r)
    {
        out.body = r.error().reason.to_string();
        return out;
    }
    out.arrived = true;
    out.status = r->status;
    out.body = r->body;
    out.retry_after = find_header(*r, "Retry-After");
    out.fresh_submission = find_header(*r, "Agatebank-Submission");
    read_body(out);
    return out;
}

std::string wait_query(duration wait)
{
    return "?wait_ms=" +
           std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(wait)
                   .count());
}

} // namespace

job_caller::job_caller(event_loop& loop, std::string token,
                       bool keep_connections)
    : loop_(loop)
    , client_(loop, {}, max_connections)
    , token_(std::move(token))
    , keep_connections_(keep_connections)
{
}

void job_caller::send(http_call call, on_reply done)
{
    call.headers.push_back({"Authorization", "Bearer " + token_});
    call.may_resend = keep_connections_;
    const auto call_id = ++last_call_id_;
    const auto sent_us = g_get_monotonic_time();
    calls_[call_id] = client_.send(
        call,
        [this, call_id, sent_us, done = std::move(done)](const auto& r)
        {
            const auto ended_call = calls_.extract(call_id);
            done(to_reply(r, sent_us));
        });
}

void job_caller::submit(const std::string& url, const std::string& submission,
                        const job_request& job, duration wait, on_reply done)
{
    http_call call;
    call.method = "PUT";
    call.url = url + "/v1/submissions/" + submission + wait_query(wait);
    call.body = to_body(job);
    call.timeout = wait + reply_margin;
    send(std::move(call), std::move(done));
}

void job_caller::show(const std::string& url, const std::string& submission,
                      duration wait, on_reply done)
{
    http_call call;
    call.url = url + "/v1/submissions/" + submission + wait_query(wait);
    call.timeout = wait + reply_margin;
    send(std::move(call), std::move(done));
}

std::vector<std::string> job_caller::reserve(const std::string& url,
                                             unsigned count)
{
    const auto r = call_now(
        "POST", url + "/v1/submissions?count=" + std::to_string(count));
    const auto j = json::parse(r.body, nullptr, false);
    if (!j.is_object() || !j.contains("submissions"))
    {
        return {};
    }
    return j["submissions"].get<std::vector<std::string>>();
}

caller_reply job_caller::submit_now(const std::string& url,
                                    const std::string& submission,
                                    const job_request& job, duration wait)
{
    caller_reply out;
    bool done = false;
    submit(url, submission, job, wait,
           [&](const caller_reply& r)
           {
               out = r;
               done = true;
           });
    run_until(loop_, wait + 2 * reply_margin, [&] { return done; });
    return out;
}

caller_reply job_caller::show_now(const std::string& url,
                                  const std::string& submission, duration wait)
{
    caller_reply out;
    bool done = false;
    show(url, submission, wait,
         [&](const caller_reply& r)
         {
             out = r;
             done = true;
         });
    run_until(loop_, wait + 2 * reply_margin, [&] { return done; });
    return out;
}

caller_reply job_caller::call_now(const std::string& method,
                                  const std::string& url,
                                  const std::string& body, duration timeout)
{
    http_call call;
    call.method = method;
    call.url = url;
    call.body = body;
    call.timeout = timeout;
    caller_reply out;
    bool done = false;
    send(std::move(call),
         [&](const caller_reply& r)
         {
             out = r;
             done = true;
         });
    run_until(loop_, timeout + reply_margin, [&] { return done; });
    return out;
}

void job_caller::cancel_all()
{
    calls_.clear();
}

std::size_t job_caller::in_flight() const noexcept
{
    return calls_.size();
}

} // namespace agatebank
