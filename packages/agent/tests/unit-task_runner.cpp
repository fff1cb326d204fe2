#include "agent_fixture.hpp"

#include <catch2/catch.hpp>

using namespace agatebank;

namespace
{

// A target on raw TCP, for responses that an HTTP server would not send: reads
// the request or not, writes the given bytes, then closes the connection or
// keeps it open.
struct raw_target
{
    bool reads_request = true;
    bool keeps_open = false;
    std::string response;
    std::array<char, 4096> buf{};
    unsigned connections = 0;
    std::vector<object_ptr<GSocketConnection>> accepted;
    tcp_listener listener{[this](object_ptr<GSocketConnection> c)
                          {
                              serve(std::move(c));
                          }};

    void serve(object_ptr<GSocketConnection> c)
    {
        ++connections;
        accepted.push_back(std::move(c));
        auto* stream = G_IO_STREAM(accepted.back().get());
        if (!reads_request)
        {
            reply(stream);
            return;
        }
        g_input_stream_read_async(g_io_stream_get_input_stream(stream),
                                  buf.data(), buf.size(), G_PRIORITY_DEFAULT,
                                  nullptr, on_read, this);
    }

    static void on_read(GObject*, GAsyncResult*, gpointer data)
    {
        auto* self = static_cast<raw_target*>(data);
        self->reply(G_IO_STREAM(self->accepted.back().get()));
    }

    void reply(GIOStream* stream) const
    {
        gsize n = 0;
        g_output_stream_write_all(g_io_stream_get_output_stream(stream),
                                  response.data(), response.size(), &n, nullptr,
                                  nullptr);
        if (!keeps_open)
        {
            g_io_stream_close(stream, nullptr, nullptr);
        }
    }
};

} // namespace

TEST_CASE("task_runner: a task is not resent when the target fails")
{
    struct row
    {
        const char* name;
        bool reads_request;
        bool keeps_open;
        const char* response;
        report_kind kind;
        errc error;
    };
    const row rows[] = {
        {"complete answer", true, false,
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
         report_kind::answered, errc{}},
        {"closes without reading the request", false, false, "",
         report_kind::failed, errc::target_answer_partial},
        {"closes after reading the request", true, false, "",
         report_kind::failed, errc::target_answer_partial},
        {"closes within the status line", true, false, "HTTP/1.1 200 O",
         report_kind::failed, errc::target_answer_partial},
        {"closes within the body", true, false,
         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
         report_kind::failed, errc::target_answer_partial},
        {"closes within a chunk", true, false,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
         report_kind::failed, errc::target_answer_partial},
        {"body without a length", true, false,
         "HTTP/1.1 200 OK\r\n\r\nmaybe all", report_kind::failed,
         errc::target_answer_partial},
        {"not HTTP", true, false, "\x01\x02\x03 no HTTP\r\n\r\n",
         report_kind::failed, errc::target_answer_partial},
        {"status 500", true, false,
         "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", report_kind::failed,
         errc::target_failed},
        {"answer above the size limit", true, false,
         "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n01234567890123456789",
         report_kind::failed, errc::message_too_large},
        {"no response", true, true, "", report_kind::timed_out,
         errc::target_timeout},
        {"stops within the body", true, true,
         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
         report_kind::timed_out, errc::target_timeout},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            raw_target target;
            target.reads_request = r.reads_request;
            target.keeps_open = r.keeps_open;
            target.response = r.response;
            const auto port = target.listener.listen({"127.0.0.1", 0});
            REQUIRE(port);
            agent_fixture f;
            f.settings.limits.max_answer_bytes = 16;
            f.target.port = *port;
            f.start();
            auto& entry = f.entry();
            auto order = entry.order(1);
            order.deadline_us = f.loop.now().time_since_epoch().count() +
                                (r.keeps_open ? 300'000 : 15'000'000);
            entry.send_orders({order});
            REQUIRE(f.wait_until([&] { return !entry.reports.empty(); }));
            CHECK(entry.reports[0].kind == r.kind);
            CHECK(entry.reports[0].error == static_cast<int>(r.error));
            CHECK(entry.reports[0].body ==
                  (r.kind == report_kind::answered ? "done" : ""));
            CHECK(target.connections == 1);
        }
    }
}

TEST_CASE(
    "task_runner: a task for an unreachable target is reported as not run")
{
    agent_fixture f;
    tcp_listener closed([](object_ptr<GSocketConnection>) {});
    f.target.port = *closed.listen({"127.0.0.1", 0});
    closed.close();
    f.start();
    auto& entry = f.entry();
    entry.send_orders({entry.order(1)});
    REQUIRE(f.wait_until([&] { return !entry.reports.empty(); }));
    CHECK(entry.reports[0].kind == report_kind::not_run);
    CHECK(entry.reports[0].error == static_cast<int>(errc::target_unreachable));
}

TEST_CASE("task_runner: a connection is used for one task only")
{
    raw_target target;
    target.keeps_open = true;
    target.response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    agent_fixture f;
    f.target.port = *target.listener.listen({"127.0.0.1", 0});
    f.start();
    auto& entry = f.entry();
    for (unsigned n = 1; n <= 3; ++n)
    {
        entry.send_orders({entry.order(n)});
        REQUIRE(f.wait_until([&] { return entry.reports.size() == n; }));
        CHECK(entry.reports.back().body == "done");
        CHECK(target.connections == n);
    }
}
