#include "announcer.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr auto announcement_period = std::chrono::milliseconds(500);
constexpr auto announcement_timeout = std::chrono::milliseconds(1500);
constexpr auto withdrawal_timeout = std::chrono::seconds(10);

} // namespace

announcer::announcer(event_loop& loop, http_client& client,
                     std::string agent_url,
                     std::function<announcement()> current)
    : loop_(loop)
    , client_(client)
    , agent_url_(std::move(agent_url))
    , current_(std::move(current))
{
}

void announcer::start()
{
    if (agent_url_.empty())
    {
        return;
    }
    timer_ = loop_.every(announcement_period, [this] { announce(); });
    announce();
}

void announcer::announce()
{
    const auto a = current_();
    if (a.url.empty() || agent_url_.empty())
    {
        return;
    }
    http_call call;
    call.method = "POST";
    call.url = agent_url_ + "/v1/announcement";
    call.body = nlohmann::json{
        {"services", a.services},
        {"slots", a.slots},
        {"url",
         a.url}}.dump();
    call.timeout = announcement_timeout;
    call.may_resend = true;
    call_ = client_.send(call, [](const auto&) {});
}

void announcer::withdraw(std::function<void()> done)
{
    timer_.reset();
    if (agent_url_.empty())
    {
        done();
        return;
    }
    http_call call;
    call.method = "DELETE";
    call.url = agent_url_ + "/v1/announcement";
    call.timeout = withdrawal_timeout;
    call_ =
        client_.send(call, [done = std::move(done)](const auto&) { done(); });
}

} // namespace agatebank
