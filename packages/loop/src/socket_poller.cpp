#include <agatebank/loop/hook_source.hpp>
#include <agatebank/loop/socket_poller.hpp>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

namespace agatebank
{

namespace
{

constexpr const char* step_create = "loop.epoll_create";
constexpr const char* step_add = "loop.epoll_add";
constexpr const char* step_modify = "loop.epoll_modify";
constexpr const char* step_wait = "loop.epoll_wait";
// Other sources have their turn after this many sockets. The kernel returns
// sockets in turns, so those beyond the limit are first in the next iteration.
constexpr std::size_t max_batch = 256;

tl::unexpected<failure> fail_errno(const char* step, int fd)
{
    const std::error_code ec(errno, std::generic_category());
    return fail(ec, step, fd < 0 ? "" : "descriptor " + std::to_string(fd),
                "errno " + std::to_string(ec.value()));
}

epoll_event make_event(socket_watch_id id, const socket_interest& interest)
{
    epoll_event out{};
    out.events = (interest.readable ? EPOLLIN : 0U) |
                 (interest.writable ? EPOLLOUT : 0U) |
                 (interest.end ? EPOLLRDHUP : 0U);
    out.data.u64 = id.value();
    return out;
}

} // namespace

socket_poller::socket_poller() : epoll_fd_(::epoll_create1(EPOLL_CLOEXEC))
{
    if (epoll_fd_ < 0)
    {
        status_ = fail_errno(step_create, -1);
    }
}

socket_poller::~socket_poller()
{
    source_.reset();
    if (epoll_fd_ >= 0)
    {
        ::close(epoll_fd_);
    }
}

result<socket_watch_id> socket_poller::add(int fd, socket_handlers handlers)
{
    const bool end = handlers.on_end != nullptr;
    return add_entry(fd, std::move(handlers), {true, false, end});
}

result<socket_watch_id>
socket_poller::add_end_watch(int fd, std::function<void()> on_end)
{
    return add_entry(fd, {{}, {}, std::move(on_end)}, {false, false, true});
}

result<socket_watch_id> socket_poller::add_entry(int fd,
                                                 socket_handlers handlers,
                                                 socket_interest interest)
{
    if (!status_)
    {
        return tl::unexpected(status_.error());
    }
    const socket_watch_id id(++last_id_);
    auto event = make_event(id, interest);
    if (::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) != 0)
    {
        return fail_errno(step_add, fd);
    }
    entries_.emplace(
        id, std::make_shared<entry>(entry{fd, std::move(handlers), interest}));
    by_fd_[fd] = id;
    // Attached behind the timers of the owners of sockets, so that these run
    // first after the process was suspended.
    if (!source_)
    {
        source_ = attach_hook_source({[] { return -1; },
                                      [this]
                                      {
                                          dispatch_ready();
                                      }},
                                     epoll_fd_);
    }
    return id;
}

result<void> socket_poller::set_interest(socket_watch_id id,
                                         socket_interest interest)
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second->interest == interest)
    {
        return {};
    }
    auto event = make_event(id, interest);
    if (::epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, it->second->fd, &event) != 0)
    {
        return fail_errno(step_modify, it->second->fd);
    }
    it->second->interest = interest;
    return {};
}

result<void> socket_poller::wait_writable(socket_watch_id id, bool wait)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
    {
        return {};
    }
    auto interest = it->second->interest;
    interest.writable = wait;
    return set_interest(id, interest);
}

void socket_poller::remove(socket_watch_id id)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
    {
        return;
    }
    // A descriptor that was closed without being removed may already belong to
    // another registration. The call fails only for a closed descriptor, which
    // the kernel has removed itself.
    const auto of_fd = by_fd_.find(it->second->fd);
    if (of_fd != by_fd_.end() && of_fd->second == id)
    {
        ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, it->second->fd, nullptr);
        by_fd_.erase(of_fd);
    }
    entries_.erase(it);
}

const result<void>& socket_poller::status() const noexcept
{
    return status_;
}

std::size_t socket_poller::size() const noexcept
{
    return entries_.size();
}

void socket_poller::dispatch_ready()
{
    std::array<epoll_event, max_batch> events;
    const int n = ::epoll_wait(epoll_fd_, events.data(),
                               static_cast<int>(events.size()), 0);
    if (n < 0 && errno != EINTR)
    {
        // No link works without the set, and a retry would spin.
        g_error("%s: errno %d", step_wait, errno);
    }
    for (int i = 0; i < n; ++i)
    {
        const auto& it = events[static_cast<std::size_t>(i)];
        call_handlers(socket_watch_id(it.data.u64), it.events);
    }
}

// A handler may have removed the socket of a later event of the batch, and a
// new socket may have got its descriptor; events are therefore looked up by id.
void socket_poller::call_handlers(socket_watch_id id, uint32_t events)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
    {
        return;
    }
    const auto keep = it->second;
    const auto& handlers = keep->handlers;
    constexpr uint32_t failed = EPOLLERR | EPOLLHUP;
    const uint32_t readable = handlers.on_end ? EPOLLIN : EPOLLIN | failed;
    if ((events & readable) != 0 && handlers.on_readable)
    {
        handlers.on_readable();
    }
    if ((events & EPOLLOUT) != 0 && keep->interest.writable &&
        entries_.contains(id))
    {
        handlers.on_writable();
    }
    if ((events & (EPOLLRDHUP | failed)) != 0 && handlers.on_end &&
        entries_.contains(id))
    {
        handlers.on_end();
    }
}

} // namespace agatebank
