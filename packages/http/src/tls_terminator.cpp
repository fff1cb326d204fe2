#include "tls_terminator.hpp"

#include <array>
#include <utility>

#include <sys/socket.h>

namespace agatebank
{

namespace
{

constexpr const char* step_listen = "http.listen";

object_ptr<GIOStream> to_stream(unique_fd fd)
{
    const object_ptr<GSocket> socket(g_socket_new_from_fd(fd.get(), nullptr));
    if (!socket)
    {
        return nullptr;
    }
    fd.release();
    return object_ptr<GIOStream>(G_IO_STREAM(
        g_socket_connection_factory_create_connection(socket.get())));
}

void on_spliced(GObject*, GAsyncResult* res, gpointer)
{
    // Either end may fail at any time; both are closed then.
    g_io_stream_splice_finish(res, nullptr);
}

} // namespace

tls_terminator::tls_terminator(object_ptr<GTlsCertificate> certificate)
    : certificate_(std::move(certificate))
{
}

result<tls_terminator> tls_terminator::open(const std::string& certificate,
                                            const std::string& key)
{
    GError* raw = nullptr;
    object_ptr<GTlsCertificate> loaded(g_tls_certificate_new_from_files(
        certificate.c_str(), key.c_str(), &raw));
    const error_ptr error(raw);
    if (!loaded)
    {
        return fail(errc::settings_invalid, step_listen, certificate,
                    error->message);
    }
    return tls_terminator(std::move(loaded));
}

unique_fd tls_terminator::accept(unique_fd socket) const
{
    std::array<int, 2> pair{-1, -1};
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                     pair.data()) != 0)
    {
        return {};
    }
    unique_fd plain(pair[0]);
    const auto passed_on = to_stream(unique_fd(pair[1]));
    const auto client = to_stream(std::move(socket));
    const object_ptr<GIOStream> encrypted(
        client ? g_tls_server_connection_new(client.get(), certificate_.get(),
                                             nullptr)
               : nullptr);
    if (!passed_on || !encrypted)
    {
        return {};
    }
    constexpr auto close_both = static_cast<GIOStreamSpliceFlags>(
        G_IO_STREAM_SPLICE_CLOSE_STREAM1 | G_IO_STREAM_SPLICE_CLOSE_STREAM2);
    g_io_stream_splice_async(encrypted.get(), passed_on.get(), close_both,
                             G_PRIORITY_DEFAULT, nullptr, on_spliced, nullptr);
    return plain;
}

} // namespace agatebank
