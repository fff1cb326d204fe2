#include <agatebank/cli/entry_client.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace agatebank
{

namespace
{

constexpr unsigned status_unavailable = 503;
constexpr int first_platform_error = 500;

// Whether another entry may be able to serve the call. All entries use the
// same platform, so its errors are final.
bool may_serve_elsewhere(const http_response& response)
{
    const auto problem = nlohmann::json::parse(response.body, nullptr, false);
    return response.status == status_unavailable &&
           (!problem.is_object() ||
            problem.value("number", 0) < first_platform_error);
}

} // namespace

entry_client::entry_client(event_loop& loop, http_client& http,
                           std::vector<std::string> entries, std::string token)
    : loop_(loop)
    , http_(http)
    , entries_(std::move(entries))
    , token_(std::move(token))
{
}

result<http_response> entry_client::call(http_call call)
{
    if (!token_.empty())
    {
        call.headers.push_back({"Authorization", "Bearer " + token_});
    }
    const auto path = call.url;
    result<http_response> last =
        fail(errc::peer_unreachable, "cli.call", {}, "no entry given");
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        const auto index = (first_index_ + i) % entries_.size();
        call.url = entries_[index] + path;
        auto answer = call_entry(call);
        if (answer && !may_serve_elsewhere(*answer))
        {
            first_index_ = index;
            return answer;
        }
        // A 503 response tells the user more than a connection failure, so
        // a later connection failure does not replace it.
        if (answer || !last)
        {
            last = std::move(answer);
        }
    }
    return last;
}

result<http_response> entry_client::call_entry(const http_call& call)
{
    std::optional<result<http_response>> outcome;
    const auto handle =
        http_.send(call,
                   [&](const tl::expected<http_response, http_failure>& answer)
                   {
                       outcome = answer.map_error([](const http_failure& f)
                                                  { return f.reason; });
                       loop_.quit();
                   });
    while (!outcome)
    {
        loop_.run();
    }
    return *outcome;
}

} // namespace agatebank
