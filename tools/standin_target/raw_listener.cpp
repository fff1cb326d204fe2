#include "raw_listener.hpp"

#include <libsoup/soup.h>

#include <stdexcept>
#include <utility>

namespace agatebank
{

namespace
{

constexpr gsize read_bytes = 16U << 10U;
constexpr const char* end_of_head = "\r\n\r\n";

std::string header(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_one(headers, name);
    return value == nullptr ? "" : value;
}

std::string head_with_length(std::size_t n)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
           std::to_string(n) + end_of_head;
}

// The bytes that are sent in a mode before the connection is closed.
std::string answer_bytes(fault_mode mode, const std::string& answer)
{
    switch (mode)
    {
    case fault_mode::garbage:
        return std::string("\x00\xff not a response\r\n", 19);
    case fault_mode::half_answer_then_close:
        return head_with_length(answer.size() + 2) +
               answer.substr(0, answer.size() / 2);
    case fault_mode::unframed_answer:
        return std::string("HTTP/1.1 200 OK\r\nConnection: close") +
               end_of_head + answer;
    default:
        return {};
    }
}

} // namespace

// One accepted connection; deletes itself when the exchange is over.
struct raw_listener::exchange
{
    object_ptr<GSocketConnection> connection;
    std::shared_ptr<raw_handlers> handlers;
    std::string received;
    std::size_t body_at = 0;
    std::size_t body_bytes = 0;
    task_request task;

    void read_more()
    {
        auto* input =
            g_io_stream_get_input_stream(G_IO_STREAM(connection.get()));
        g_input_stream_read_bytes_async(input, read_bytes, G_PRIORITY_DEFAULT,
                                        nullptr, on_bytes, this);
    }

    static void on_bytes(GObject* source, GAsyncResult* res, gpointer data)
    {
        std::unique_ptr<exchange> self(static_cast<exchange*>(data));
        const bytes_ptr bytes(g_input_stream_read_bytes_finish(
            G_INPUT_STREAM(source), res, nullptr));
        gsize n = 0;
        const auto* p =
            bytes ? static_cast<const char*>(g_bytes_get_data(bytes.get(), &n))
                  : nullptr;
        if (n == 0)
        {
            return;
        }
        self->received.append(p, n);
        if (!self->process_received())
        {
            self.release()->read_more();
        }
    }

    // Processes the bytes received so far. Returns true when the exchange is
    // over, false when more bytes are needed.
    bool process_received()
    {
        if (body_at == 0 && !parse_head())
        {
            return false;
        }
        const auto mode = handlers->mode();
        if (mode == fault_mode::close_after_head)
        {
            record_cut();
            return true;
        }
        if (received.size() < body_at + body_bytes)
        {
            return false;
        }
        task.payload = received.substr(body_at, body_bytes);
        write(answer_bytes(mode, parse_work(task.payload).answer));
        record_cut();
        return true;
    }

    bool parse_head()
    {
        const auto end = received.find(end_of_head);
        if (end == std::string::npos)
        {
            return false;
        }
        auto* headers = soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);
        soup_headers_parse_request(received.data(), static_cast<int>(end + 2),
                                   headers, nullptr, nullptr, nullptr);
        task.submission = header(headers, "Agatebank-Submission");
        task.task = header(headers, "Agatebank-Task");
        task.service = header(headers, "Agatebank-Service");
        body_bytes = static_cast<std::size_t>(
            soup_message_headers_get_content_length(headers));
        soup_message_headers_unref(headers);
        body_at = end + 4;
        handlers->on_task(task);
        return true;
    }

    void write(const std::string& bytes)
    {
        auto* output =
            g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
        g_output_stream_write_all(output, bytes.data(), bytes.size(), nullptr,
                                  nullptr, nullptr);
    }

    void record_cut()
    {
        handlers->on_end(task, "cut");
    }
};

raw_listener::raw_listener(const std::string& address, raw_handlers handlers)
    : service_(g_socket_service_new())
    , handlers_(std::make_shared<raw_handlers>(std::move(handlers)))
{
    const object_ptr<GSocketAddress> requested_address(
        g_inet_socket_address_new_from_string(address.c_str(), 0));
    GSocketAddress* bound = nullptr;
    if (!requested_address ||
        g_socket_listener_add_address(
            G_SOCKET_LISTENER(service_.get()), requested_address.get(),
            G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, &bound,
            nullptr) == FALSE)
    {
        throw std::runtime_error("cannot listen on " + address);
    }
    const object_ptr<GSocketAddress> owner(bound);
    port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
    g_signal_connect(service_.get(), "incoming", G_CALLBACK(on_incoming), this);
    g_socket_service_start(service_.get());
}

raw_listener::~raw_listener()
{
    g_signal_handlers_disconnect_by_data(service_.get(), this);
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
}

uint16_t raw_listener::port() const noexcept
{
    return port_;
}

gboolean raw_listener::on_incoming(GSocketService*,
                                   GSocketConnection* connection, GObject*,
                                   gpointer data)
{
    const auto& handlers = static_cast<raw_listener*>(data)->handlers_;
    if (handlers->mode() == fault_mode::close_before_read)
    {
        handlers->on_connection();
        g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
        return TRUE;
    }
    auto accepted = std::make_unique<exchange>();
    accepted->connection = share_object(connection);
    accepted->handlers = handlers;
    accepted.release()->read_more();
    return TRUE;
}

} // namespace agatebank
