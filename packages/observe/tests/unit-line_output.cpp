#include "../src/line_output.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace agatebank;

namespace
{

struct pipe_ends
{
    std::array<int, 2> fds{};

    pipe_ends()
    {
        REQUIRE(::pipe(fds.data()) == 0);
        // Only the read end is non-blocking: if line_output wrote more than
        // the pipe takes, the write would block and the test would not end.
        REQUIRE(::fcntl(fds[0], F_SETFL, O_NONBLOCK) == 0);
    }
    ~pipe_ends()
    {
        ::close(fds[0]);
        ::close(fds[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    std::string read_available() const
    {
        std::string out;
        std::array<char, 4096> buf{};
        for (ssize_t n = 0; (n = ::read(fds[0], buf.data(), buf.size())) > 0;)
        {
            out.append(buf.data(), static_cast<std::size_t>(n));
        }
        return out;
    }
};

std::string make_line(int line_number)
{
    return std::to_string(line_number) + " " + std::string(290, 'x') + "\n";
}

} // namespace

TEST_CASE("line_output: buffered lines are written together at a sync")
{
    const pipe_ends pipe;
    line_output out(pipe.fds[1]);
    out.sputn("a\n", 2);
    out.sputc('b');
    out.sputc('\n');
    CHECK(pipe.read_available().empty());
    out.pubsync();
    CHECK(pipe.read_available() == "a\nb\n");
}

// A reader that stops reading fills the pipe. A blocking write would then stop
// the process's event loop; a write that gives up would lose part of a line.
TEST_CASE("line_output: does not block on a full pipe and loses no line")
{
    const pipe_ends pipe;
    line_output out(pipe.fds[1]);
    std::string written;
    int line_count = 0;
    // Writes far more than a pipe holds, so that a blocking write would hang.
    while (out.can_accept_line())
    {
        const auto line = make_line(++line_count);
        out.sputn(line.data(), static_cast<std::streamsize>(line.size()));
        written += line;
        out.pubsync();
        REQUIRE(line_count < 10'000);
    }
    std::string read;
    for (int i = 0; i < 100 && read.size() < written.size(); ++i)
    {
        read += pipe.read_available();
        out.pubsync();
    }
    CHECK(read == written);
    CHECK(out.can_accept_line());
}
