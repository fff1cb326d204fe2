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
        // Only this end: a write that would wait stops the test.
        REQUIRE(::fcntl(fds[0], F_SETFL, O_NONBLOCK) == 0);
    }
    ~pipe_ends()
    {
        ::close(fds[0]);
        ::close(fds[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    std::string take_all() const
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

std::string make_line(int number)
{
    return std::to_string(number) + " " + std::string(290, 'x') + "\n";
}

} // namespace

TEST_CASE("line_output: lines leave at a sync, all together")
{
    const pipe_ends p;
    line_output out(p.fds[1]);
    out.sputn("a\n", 2);
    out.sputc('b');
    out.sputc('\n');
    CHECK(p.take_all().empty());
    out.pubsync();
    CHECK(p.take_all() == "a\nb\n");
}

TEST_CASE("line_output: never waits for a slow reader, and loses no line")
{
    const pipe_ends p;
    line_output out(p.fds[1]);
    std::string written;
    int number = 0;
    // Far more than a pipe holds, so that a write would wait.
    while (out.has_room())
    {
        const auto line = make_line(++number);
        out.sputn(line.data(), static_cast<std::streamsize>(line.size()));
        written += line;
        out.pubsync();
        REQUIRE(number < 10'000);
    }
    std::string read;
    for (int i = 0; i < 100 && read.size() < written.size(); ++i)
    {
        read += p.take_all();
        out.pubsync();
    }
    CHECK(read == written);
    CHECK(out.has_room());
}
