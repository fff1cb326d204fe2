#include <agatebank/loop/event_loop.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <vector>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace agatebank;

namespace
{

// A pair of connected, non-blocking sockets.
struct socket_pair
{
    std::array<int, 2> fds{-1, -1};

    socket_pair()
    {
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
                             fds.data()) == 0);
    }

    ~socket_pair()
    {
        close();
    }

    socket_pair(const socket_pair&) = delete;
    socket_pair& operator=(const socket_pair&) = delete;

    void close()
    {
        for (int& it : fds)
        {
            if (it >= 0)
            {
                ::close(std::exchange(it, -1));
            }
        }
    }

    void write_remote(std::size_t n) const
    {
        const std::string bytes(n, 'x');
        REQUIRE(::write(fds[1], bytes.data(), n) == static_cast<ssize_t>(n));
    }

    ssize_t read_local() const
    {
        char byte = 0;
        return ::read(fds[0], &byte, 1);
    }
};

// Iterates the loop until nothing is ready.
void run_ready()
{
    while (g_main_context_iteration(nullptr, FALSE) == TRUE)
    {
    }
}

} // namespace

// Guards against callbacks of a link that was closed by another link's callback
// in the same batch of events: it would read freed memory.
TEST_CASE("socket_poller: a socket that is removed within a batch is not "
          "called any more")
{
    enum class reaction
    {
        remove_both,
        remove_and_close_both,
        remove_and_reuse_descriptors ///< the new sockets have no data
    };
    for (const auto react :
         {reaction::remove_both, reaction::remove_and_close_both,
          reaction::remove_and_reuse_descriptors})
    {
        event_loop loop;
        std::array<socket_pair, 2> pairs;
        std::array<socket_watch_id, 2> ids;
        std::vector<std::unique_ptr<socket_pair>> later;
        int calls = 0;
        int later_calls = 0;
        for (std::size_t i = 0; i < pairs.size(); ++i)
        {
            const auto on_readable = [&]
            {
                ++calls;
                for (std::size_t k = 0; k < pairs.size(); ++k)
                {
                    loop.sockets().remove(ids[k]);
                    if (react != reaction::remove_both)
                    {
                        pairs[k].close();
                    }
                }
                while (react == reaction::remove_and_reuse_descriptors &&
                       later.size() < pairs.size())
                {
                    later.push_back(std::make_unique<socket_pair>());
                    REQUIRE(loop.sockets().add(later.back()->fds[0],
                                               {[&] { ++later_calls; }, {}}));
                }
            };
            const auto id =
                loop.sockets().add(pairs[i].fds[0], {on_readable, {}});
            REQUIRE(id);
            ids[i] = *id;
            pairs[i].write_remote(1);
        }
        run_ready();
        CHECK(calls == 1);
        CHECK(later_calls == 0);
        CHECK(loop.sockets().size() == later.size());
    }
}

// Guards against removing the registration of a new socket: libsoup closes the
// sockets of callers itself, and the next connection gets the same descriptor.
TEST_CASE("socket_poller: removing a socket that was closed before leaves the "
          "new owner of its descriptor alone")
{
    event_loop loop;
    socket_pair first;
    const int fd = first.fds[0];
    const auto old_id = loop.sockets().add(fd, {[] {}, {}});
    REQUIRE(old_id);
    first.close();
    const socket_pair second;
    REQUIRE(second.fds[0] == fd);
    int calls = 0;
    REQUIRE(loop.sockets().add(fd, {[&]
                                    {
                                        ++calls;
                                        second.read_local();
                                    },
                                    {}}));
    loop.sockets().remove(*old_id);
    second.write_remote(1);
    run_ready();
    CHECK(calls == 1);
}

// Guards against a link that always has data and keeps others from being read.
TEST_CASE("socket_poller: a socket that floods has one turn while the others "
          "have theirs")
{
    event_loop loop;
    std::array<socket_pair, 8> pairs;
    std::array<int, 8> calls{};
    for (std::size_t i = 0; i < pairs.size(); ++i)
    {
        REQUIRE(loop.sockets().add(pairs[i].fds[0], {[&, i]
                                                     {
                                                         ++calls[i];
                                                         pairs[i].read_local();
                                                     },
                                                     {}}));
        pairs[i].write_remote(i == 0 ? 1000 : 3);
    }
    for (int n = 1; n <= 3; ++n)
    {
        g_main_context_iteration(nullptr, FALSE);
        CHECK(calls == std::array<int, 8>{n, n, n, n, n, n, n, n});
    }
}

// Guards against a loop that never sleeps, since a socket is nearly always
// writable, and against queued data that is never written.
TEST_CASE("socket_poller: a writable socket is called only while it is waited "
          "for")
{
    struct row
    {
        bool wait;
        bool end_in_callback;
        int min_calls;
        int max_calls;
    };
    const row rows[] = {
        {false, false, 0, 0}, {true, true, 1, 1}, {true, false, 3, 3}};
    for (const auto& it : rows)
    {
        event_loop loop;
        const socket_pair pair;
        socket_watch_id id;
        int calls = 0;
        const auto on_writable = [&]
        {
            ++calls;
            if (it.end_in_callback)
            {
                CHECK(loop.sockets().wait_writable(id, false));
            }
        };
        const auto added =
            loop.sockets().add(pair.fds[0], {[] {}, on_writable});
        REQUIRE(added);
        id = *added;
        REQUIRE(loop.sockets().wait_writable(id, it.wait));
        for (int n = 0; n < 3; ++n)
        {
            g_main_context_iteration(nullptr, FALSE);
        }
        CHECK(calls >= it.min_calls);
        CHECK(calls <= it.max_calls);
    }
}

// Guards against links that stop while a callback waits in a nested loop.
// Guards against unread bytes that hide the end of a connection, or keep the
// loop busy until it.
TEST_CASE("socket_poller: an end watch is called at the end of the connection, "
          "not for unread bytes")
{
    for (const bool writes : {false, true})
    {
        INFO("unread bytes: " << writes);
        event_loop loop;
        socket_pair pair;
        int calls = 0;
        socket_watch_id id;
        const auto watch =
            loop.sockets().add_end_watch(pair.fds[0],
                                         [&]
                                         {
                                             ++calls;
                                             loop.sockets().remove(id);
                                         });
        REQUIRE(watch);
        id = *watch;
        if (writes)
        {
            pair.write_remote(100);
        }
        run_ready();
        CHECK(calls == 0);
        REQUIRE(loop.sockets().wait_writable(id, true));
        REQUIRE(loop.sockets().wait_writable(id, false));
        run_ready();
        CHECK(calls == 0);
        REQUIRE(::shutdown(pair.fds[1], SHUT_WR) == 0);
        run_ready();
        CHECK(calls == 1);
        CHECK(loop.sockets().size() == 0);
    }
}

TEST_CASE("socket_poller: a nested loop serves other sockets, timers and "
          "deferred calls")
{
    event_loop loop;
    const socket_pair outer;
    const socket_pair inner;
    int inner_calls = 0;
    bool deferred = false;
    bool timed = false;
    const auto timer =
        loop.after(std::chrono::milliseconds(2), [&] { timed = true; });
    REQUIRE(loop.sockets().add(
        outer.fds[0], {[&]
                       {
                           outer.read_local();
                           inner.write_remote(1);
                           loop.defer([&] { deferred = true; });
                           while (inner_calls == 0 || !deferred || !timed)
                           {
                               g_main_context_iteration(nullptr, TRUE);
                           }
                           loop.quit();
                       },
                       {}}));
    REQUIRE(loop.sockets().add(inner.fds[0], {[&]
                                              {
                                                  ++inner_calls;
                                                  inner.read_local();
                                              },
                                              {}}));
    outer.write_remote(1);
    loop.run();
    CHECK(inner_calls == 1);
}

// Guards against a process that runs without being able to hear its peers.
TEST_CASE("socket_poller: failures name the step and the errno")
{
    const event_loop first; // GLib's own descriptors are open from now on
    rlimit old{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &old) == 0);
    const rlimit none{0, old.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    const event_loop without_set;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &old) == 0);
    REQUIRE_FALSE(without_set.status());
    const auto& created = without_set.status().error();
    CHECK(created.step == "loop.epoll_create");
    CHECK(created.code == std::errc::too_many_files_open);

    event_loop loop;
    CHECK(loop.status());
    const auto added = loop.sockets().add(-1, {[] {}, {}});
    REQUIRE_FALSE(added);
    CHECK(added.error().step == "loop.epoll_add");
    CHECK(added.error().code == std::errc::bad_file_descriptor);
}
