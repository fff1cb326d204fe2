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
                  [this](const auto& rq, const auto& r) { get(rq, r); });
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
    put("config", configuration);
}

void store_stand_in::put(const std::string& key, const std::string& value)
{
    rows_[key] = {value, ++version_, false};
    answer_waiting();
}

void store_stand_in::erase(const std::string& key)
{
    rows_[key] = {{}, ++version_, true};
    answer_waiting();
}

void store_stand_in::discard_history()
{
    std::erase_if(rows_, [](const auto& r) { return r.second.deleted; });
    oldest_change_ = ++version_;
}

void store_stand_in::set_mode(store_mode mode)
{
    if (mode == store_mode::mute)
    {
        waiting_.clear();
    }
    mode_ = mode;
}

void store_stand_in::set_page_size(std::size_t rows)
{
    page_size_ = rows;
}

void store_stand_in::set_odd_rows(std::string rows)
{
    odd_rows_ = std::move(rows);
}

// The odd rows are added as text, since nlohmann::json copies values that are
// deeply nested by recursion.
http_response store_stand_in::answer(nlohmann::json body) const
{
    if (odd_rows_.empty())
    {
        return json_response(200, body);
    }
    const auto rows = std::exchange(body["rows"], nlohmann::json::array());
    auto out = json_response(200, body);
    auto text = rows.dump();
    text.pop_back();
    text += (rows.empty() ? "" : ",") + odd_rows_ + "]";
    const std::string empty = R"("rows":[])";
    out.body.replace(out.body.find(empty), empty.size(), R"("rows":)" + text);
    return out;
}

std::string store_stand_in::address() const
{
    return server_.options().address + ":" +
           std::to_string(server_.options().port);
}

nlohmann::json store_stand_in::to_json(const std::string& key,
                                       const row_record& row) const
{
    return {{"table", "op"},
            {"part", ""},
            {"key", key},
            {"value", to_base64(row.value)},
            {"deleted", row.deleted},
            {"schemaVersion", row.version}};
}

void store_stand_in::get(const http_request& request,
                         const http_responder& respond)
{
    if (mode_ == store_mode::mute)
    {
        return;
    }
    if (mode_ == store_mode::silent)
    {
        waiting_.push_back({version_, respond});
        return;
    }
    if (mode_ == store_mode::refusing)
    {
        respond(json_response(503, nlohmann::json::object()));
        return;
    }
    auto rows = nlohmann::json::array();
    bool has_more = false;
    const auto end = rows_.lower_bound(request.parameter("target"));
    for (auto it = rows_.lower_bound(request.parameter("from"));
         it != end && it != rows_.end(); ++it)
    {
        if (it->second.deleted)
        {
            continue;
        }
        if (rows.size() == page_size_)
        {
            has_more = true;
            break;
        }
        rows.push_back(to_json(it->first, it->second));
    }
    respond(answer({{"rows", rows},
                    {"hasMore", has_more},
                    {"schemaVersion", version_},
                    {"nowMs", 1}}));
}

void store_stand_in::follow(const http_request& request,
                            const http_responder& respond)
{
    const auto after = std::stoll(request.parameter("after"));
    if (mode_ == store_mode::mute)
    {
        return;
    }
    if (mode_ == store_mode::refusing)
    {
        respond(json_response(503, nlohmann::json::object()));
        return;
    }
    if (mode_ == store_mode::silent || after >= version_)
    {
        waiting_.push_back({after, respond});
        return;
    }
    answer_changes(after, respond);
}

void store_stand_in::answer_changes(int64_t after,
                                    const http_responder& respond)
{
    if (after < oldest_change_)
    {
        respond(json_response(410, nlohmann::json::object()));
        return;
    }
    auto rows = nlohmann::json::array();
    for (const auto& [key, row] : rows_)
    {
        if (row.version > after)
        {
            rows.push_back(to_json(key, row));
        }
    }
    respond(
        answer({{"rows", rows}, {"schemaVersion", version_}, {"nowMs", 1}}));
}

void store_stand_in::answer_waiting()
{
    if (mode_ != store_mode::serving)
    {
        return;
    }
    for (const auto& it : std::exchange(waiting_, {}))
    {
        answer_changes(it.after, it.respond);
    }
}

} // namespace agatebank
