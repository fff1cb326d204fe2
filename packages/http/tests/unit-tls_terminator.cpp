#include "raw_peer.hpp"
#include <agatebank/http/http_client.hpp>
#include <agatebank/http/http_server.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

using namespace agatebank;

namespace
{

// A self-signed certificate for 127.0.0.1, and its key.
struct test_certificate
{
    std::filesystem::path directory;
    std::string certificate;
    std::string key;

    test_certificate()
    {
        char* made = g_dir_make_tmp("agatebank-tls-XXXXXX", nullptr);
        directory = made;
        g_free(made);
        certificate = directory / "cert.pem";
        key = directory / "key.pem";
        const std::string command =
            "openssl req -x509 -newkey ec -pkeyopt "
            "ec_paramgen_curve:prime256v1 -nodes -days 2 -subj /CN=127.0.0.1 "
            "-addext subjectAltName=IP:127.0.0.1 -keyout " +
            key + " -out " + certificate + " 2> " +
            (directory / "log").string();
        REQUIRE(std::system(command.c_str()) == 0);
    }
    ~test_certificate()
    {
        std::filesystem::remove_all(directory);
    }
    test_certificate(const test_certificate&) = delete;
    test_certificate& operator=(const test_certificate&) = delete;
};

struct tls_fixture
{
    test_certificate files;
    event_loop loop;
    http_server server{loop, options()};
    http_client client{loop, files.certificate};
    std::vector<http_responder> held;
    std::vector<uint64_t> abandoned;
    std::string url;
    uint16_t port = 0;

    tls_fixture()
    {
        server.route("POST", "/echo",
                     [](const http_request& rq, const auto& respond) {
                         respond(json_response(200, {{"text", rq.body}}));
                     });
        server.route("GET", "/held",
                     [this](const http_request&, const auto& respond)
                     {
                         held.push_back(respond);
                         loop.quit();
                     });
        server.on_abandoned(
            [this](uint64_t id)
            {
                abandoned.push_back(id);
                loop.quit();
            });
        const auto listening = server.listen();
        REQUIRE(listening);
        port = *listening;
        url = "https://127.0.0.1:" + std::to_string(port);
    }

    http_server_options options() const
    {
        http_server_options out;
        out.tls_certificate = files.certificate;
        out.tls_key = files.key;
        return out;
    }

    void run(duration limit = std::chrono::seconds(10))
    {
        const auto timer = loop.after(limit, [this] { loop.quit(); });
        loop.run();
    }

    std::optional<http_response> post(const std::string& body)
    {
        http_call call;
        call.url = url + "/echo";
        call.method = "POST";
        call.body = body;
        std::optional<http_response> out;
        const auto handle = client.send(call,
                                        [&](const auto& r)
                                        {
                                            if (r)
                                            {
                                                out = *r;
                                            }
                                            loop.quit();
                                        });
        run();
        return out;
    }
};

} // namespace

TEST_CASE("tls_terminator: requests of any length are answered")
{
    tls_fixture f;
    for (const std::size_t n : {1U, 20'000U, 1'000'000U})
    {
        INFO(n << " bytes");
        const std::string body(n, 'x');
        const auto got = f.post(body);
        REQUIRE(got);
        CHECK(got->status == 200);
        CHECK(got->body == json_response(200, {{"text", body}}).body);
    }
}

TEST_CASE("tls_terminator: a client that leaves is noticed")
{
    tls_fixture f;
    http_call call;
    call.url = f.url + "/held";
    call.method = "GET";
    auto handle = f.client.send(call, [](const auto&) {});
    f.run();
    REQUIRE(f.held.size() == 1);
    handle.reset();
    f.run();
    CHECK(f.abandoned.size() == 1);
}

TEST_CASE("tls_terminator: a client without TLS is not served and does not "
          "affect others")
{
    tls_fixture f;
    const auto c = raw_connect(f.port,
                               [&f](raw_connection& it)
                               {
                                   if (it.ended())
                                   {
                                       f.loop.quit();
                                   }
                               });
    c->send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    f.run();
    CHECK(c->ended());
    CHECK(f.held.empty());
    CHECK(f.post("x"));
}
