#include <agatebank/loop/socket_source.hpp>
#include <agatebank/wire/datagram_socket.hpp>

#include <array>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_bind = "udp.bind";
constexpr const char* tag_context = "announcement";
constexpr std::size_t max_datagram_bytes = 2048;

} // namespace

datagram_socket::datagram_socket(hybrid_clock& clock, const authenticator& auth,
                                 on_announcement handler)
    : clock_(clock), auth_(auth), handler_(std::move(handler))
{
}

result<void> datagram_socket::bind(const endpoint& local)
{
    const object_ptr<GSocketAddress> address(
        g_inet_socket_address_new_from_string(local.address.c_str(),
                                              local.port));
    if (!address)
    {
        return fail(errc::settings_invalid, step_bind, local.to_string(),
                    "not an IP address");
    }
    GError* raw = nullptr;
    socket_.reset(g_socket_new(g_socket_address_get_family(address.get()),
                               G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP,
                               &raw));
    if (!socket_ ||
        g_socket_bind(socket_.get(), address.get(), FALSE, &raw) == FALSE)
    {
        const error_ptr error(raw);
        return fail(errc::address_in_use, step_bind, local.to_string(),
                    error->message);
    }
    g_socket_set_blocking(socket_.get(), FALSE);
    source_ = watch_socket(socket_.get(), G_IO_IN, on_readable, this);
    return {};
}

void datagram_socket::send(const endpoint& remote, const entry_announcement& a)
{
    const object_ptr<GSocketAddress> address(
        g_inet_socket_address_new_from_string(remote.address.c_str(),
                                              remote.port));
    if (!address)
    {
        return;
    }
    const auto payload = encode(clock_.tick(), a);
    const auto datagram = auth_.tag(tag_context, payload) + payload;
    g_socket_send_to(socket_.get(), address.get(), datagram.data(),
                     datagram.size(), nullptr, nullptr);
}

uint64_t datagram_socket::dropped() const noexcept
{
    return dropped_;
}

gboolean datagram_socket::on_readable(GSocket*, GIOCondition, gpointer self)
{
    static_cast<datagram_socket*>(self)->receive_one();
    return G_SOURCE_CONTINUE;
}

void datagram_socket::receive_one()
{
    std::array<char, max_datagram_bytes> buf;
    const gssize n = g_socket_receive(socket_.get(), buf.data(), buf.size(),
                                      nullptr, nullptr);
    if (n >= 0)
    {
        handle_datagram({buf.data(), static_cast<std::size_t>(n)});
    }
}

void datagram_socket::handle_datagram(std::string_view datagram)
{
    const auto tag = datagram.substr(0, auth_.tag_bytes());
    const auto payload = datagram.substr(tag.size());
    if (!auth_.verify(tag_context, payload, tag))
    {
        ++dropped_;
        return;
    }
    const auto a = decode_announcement(payload);
    if (!a)
    {
        ++dropped_;
        return;
    }
    clock_.receive(a->stamp);
    handler_(a->body);
}

} // namespace agatebank
