#include "line_output.hpp"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace agatebank
{

namespace
{

// Limit of the buffer while the reader is slow: 256 KiB hold the output of
// 0.17 s at 5,000 lines a second of 300 bytes each.
constexpr std::size_t max_pending_bytes = 256U << 10U;

// A write of up to PIPE_BUF bytes does not block on a pipe that poll reports
// as writable.
constexpr std::size_t max_write_bytes = PIPE_BUF;

bool can_write(int fd)
{
    pollfd request{fd, POLLOUT, 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

line_output::line_output(int fd) : fd_(fd) {}

int line_output::sync()
{
    std::size_t written = 0;
    while (written < pending_.size() && can_write(fd_))
    {
        const auto n =
            ::write(fd_, pending_.data() + written,
                    std::min(max_write_bytes, pending_.size() - written));
        if (n <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    pending_.erase(0, written);
    return 0;
}

bool line_output::can_accept_line() const noexcept
{
    return pending_.size() < max_pending_bytes;
}

line_output::int_type line_output::overflow(int_type c)
{
    if (c != traits_type::eof())
    {
        pending_ += traits_type::to_char_type(c);
    }
    return traits_type::not_eof(c);
}

std::streamsize line_output::xsputn(const char* text, std::streamsize n)
{
    pending_.append(text, static_cast<std::size_t>(n));
    return n;
}

} // namespace agatebank
