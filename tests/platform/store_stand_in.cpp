#include "store_stand_in.hpp"

#include "listen_options.hpp"

#include <glib.h>

#include <stdexcept>
#include <utility>

namespace agatebank
{

namespace
{

std::string to_base64(const std::string& text)
{
    char* raw = g_base64_encode(reinterpret_cast<const guchar*>(text.data()),
                                text.size());
    std::string out = raw;
    g_free(raw);
    return out;
}

} // namespace

store_stand_in::store_stand_in(event_loop& loop, const std::string& address,
                               uint16_t port)
    : loop_(loop), server_(loop, listen_at(address, port))
{
    server_.route("GET", "/v1/rows-get",
                  [this](const auto&, const auto& r) { get(r); });
    server_.route("GET", "/v1/rows-feed",
                  [this](const auto& rq, const auto& r) { follow(rq, r); });
    if (!server_.listen())
    {
        throw std::runtime_error(
            "the table service stand-in failed to listen on its port");
    }
}

void store_stand_in::write(const std::string& configuration)
{
    configuration_ = configuration;
    ++version_;
    for (const auto& it : std::exchange(waiting_, {}))
    {
        get(it);
    }
}

void store_stand_in::set_mode(store_mode mode)
{
    mode_ = mode;
}

std::string store_stand_in::address() const
{
    return server_.options().address + ":" +
           std::to_string(server_.options().port);
}

nlohmann::json store_stand_in::row() const
{
    return {{"table", "op"},
            {"part", ""},
            {"key", "config"},
            {"value", to_base64(configuration_)},
            {"schemaVersion", version_}};
}

void store_stand_in::get(const http_responder& respond)
{
    if (mode_ == store_mode::silent)
    {
        waiting_.push_back(respond);
        return;
    }
    if (mode_ == store_mode::refusing)
    {
        respond(json_response(503, nlohmann::json::object()));
        return;
    }
    auto rows = nlohmann::json::array();
    if (!configuration_.empty())
    {
        rows.push_back(row());
    }
    respond(json_response(200, {{"rows", rows},
                                {"hasMore", false},
                                {"schemaVersion", version_},
                                {"nowMs", 1}}));
}

void store_stand_in::follow(const http_request& request,
                            const http_responder& respond)
{
    const auto after = std::stoll(request.parameter("after"));
    if (mode_ != store_mode::serving || after < version_)
    {
        get(respond);
        return;
    }
    waiting_.push_back(respond);
}

} // namespace agatebank
