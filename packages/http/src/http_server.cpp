#include "connection_listener.hpp"
#include "server_connection.hpp"
#include "tls_terminator.hpp"
#include <agatebank/http/http_server.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatebank
{

namespace
{

constexpr const char* step_receive = "http.receive";
constexpr std::size_t max_head_bytes = 64U << 10U;

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> out;
    std::size_t begin = 1;
    while (begin <= path.size())
    {
        auto end = path.find('/', begin);
        if (end == std::string::npos)
        {
            end = path.size();
        }
        out.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return out;
}

bool is_capture(const std::string& segment)
{
    return segment.size() > 2 && segment.front() == '{';
}

bool matches(const std::vector<std::string>& pattern,
             const std::vector<std::string>& path,
             std::map<std::string, std::string>& captures)
{
    if (pattern.size() != path.size())
    {
        return false;
    }
    captures.clear();
    for (std::size_t i = 0; i < pattern.size(); ++i)
    {
        if (is_capture(pattern[i]))
        {
            captures[pattern[i].substr(1, pattern[i].size() - 2)] = path[i];
        }
        else if (pattern[i] != path[i])
        {
            return false;
        }
    }
    return true;
}

struct route_entry
{
    std::string method;
    std::vector<std::string> segments;
    http_handler handler;
};

} // namespace

struct http_server::state : std::enable_shared_from_this<state>
{
    event_loop& loop;
    http_server_options options;
    timer_queue timers;
    connection_listener listener;
    std::optional<tls_terminator> tls;
    std::vector<route_entry> routes;
    http_handler fallback;
    std::function<void(uint64_t)> abandoned;
    std::unordered_map<connection_id, std::shared_ptr<server_connection>>
        connections;
    uint64_t last_connection = 0;
    uint64_t last_request = 0;
    std::shared_ptr<std::size_t> in_flight = std::make_shared<std::size_t>(0);

    state(event_loop& l, http_server_options o)
        : loop(l)
        , options(std::move(o))
        , timers(l)
        , listener(l, [this](unique_fd socket, const std::string& peer)
                   { add_connection(std::move(socket), peer); })
    {
    }

    void close()
    {
        listener.close();
        for (const auto& [id, it] : std::exchange(connections, {}))
        {
            it->close();
        }
    }

    void add_connection(unique_fd socket, const std::string& peer)
    {
        if (tls)
        {
            socket = tls->accept(std::move(socket));
            if (socket.get() < 0)
            {
                g_warning("connection of %s closed: no socket for its plain "
                          "end",
                          peer.c_str());
                return;
            }
        }
        const connection_id id(++last_connection);
        auto connection = std::make_shared<server_connection>(
            connection_context{loop,
                               timers,
                               {max_head_bytes, options.max_body_bytes},
                               options.read_timeout,
                               abandoned != nullptr},
            std::move(socket), peer, make_hooks(id));
        if (const auto opened = connection->open(); !opened)
        {
            // Neither its requests nor its end would be noticed.
            g_warning("connection of %s closed: %s", peer.c_str(),
                      opened.error().to_string().c_str());
            return;
        }
        connections.emplace(id, std::move(connection));
    }

    connection_hooks make_hooks(connection_id id)
    {
        // Of the request that was read last.
        const auto present = std::make_shared<uint64_t>(0);
        return {[this, id, present](http_request rq)
                {
                    *present = ++last_request;
                    rq.request_id = *present;
                    dispatch(std::move(rq), make_responder(id, present));
                },
                [this, present]
                {
                    if (abandoned)
                    {
                        abandoned(*present);
                    }
                },
                [this, id]
                {
                    connections.erase(id);
                }};
    }

    http_responder make_responder(connection_id id,
                                  const std::shared_ptr<uint64_t>& present)
    {
        ++*in_flight;
        // Decrements the count when the last copy of the responder is
        // destroyed.
        const std::shared_ptr<void> guard(nullptr,
                                          [n = in_flight](void*) { --*n; });
        return [weak = weak_from_this(), id, present, request = *present,
                guard](const http_response& r)
        {
            if (const auto self = weak.lock(); self && *present == request)
            {
                self->answer(id, r);
            }
        };
    }

    void answer(connection_id id, const http_response& r)
    {
        const auto it = connections.find(id);
        if (it != connections.end())
        {
            it->second->answer(r);
        }
    }

    void dispatch(http_request request, const http_responder& respond) const
    {
        const auto path = split_path(request.path);
        bool path_known = false;
        for (const auto& r : routes)
        {
            if (!matches(r.segments, path, request.captures))
            {
                continue;
            }
            path_known = true;
            if (r.method == request.method)
            {
                r.handler(request, respond);
                return;
            }
        }
        if (fallback)
        {
            fallback(request, respond);
            return;
        }
        respond(problem_response(
            path_known ? 405 : 404,
            {make_error_code(errc::not_found), step_receive, {}, request.path},
            execution_status::not_run));
    }
};

http_server::http_server(event_loop& loop, http_server_options options)
    : state_(std::make_shared<state>(loop, std::move(options)))
{
}

http_server::~http_server()
{
    state_->close();
}

void http_server::route(const std::string& method, const std::string& pattern,
                        http_handler handler)
{
    state_->routes.push_back({method, split_path(pattern), std::move(handler)});
}

void http_server::set_fallback_handler(http_handler handler)
{
    state_->fallback = std::move(handler);
}

void http_server::on_abandoned(std::function<void(uint64_t)> handler)
{
    state_->abandoned = std::move(handler);
}

result<uint16_t> http_server::listen()
{
    const auto& o = state_->options;
    if (!o.tls_certificate.empty())
    {
        auto tls = tls_terminator::open(o.tls_certificate, o.tls_key);
        if (!tls)
        {
            return tl::unexpected(tls.error());
        }
        state_->tls.emplace(std::move(*tls));
    }
    return state_->listener.listen(o.address, o.port);
}

std::size_t http_server::on_pause(time_point began)
{
    state_->listener.accept_all();
    // Connections that end are removed from the map.
    std::vector<std::shared_ptr<server_connection>> open;
    open.reserve(state_->connections.size());
    for (const auto& [id, it] : state_->connections)
    {
        open.push_back(it);
    }
    for (const auto& it : open)
    {
        it->on_pause(began);
    }
    return open.size();
}

void http_server::stop_accepting()
{
    state_->listener.close();
}

std::size_t http_server::in_flight() const noexcept
{
    return *state_->in_flight;
}

std::size_t http_server::connections() const noexcept
{
    return state_->connections.size();
}

uint64_t http_server::accepted() const noexcept
{
    return state_->last_connection;
}

const http_server_options& http_server::options() const noexcept
{
    return state_->options;
}

} // namespace agatebank
