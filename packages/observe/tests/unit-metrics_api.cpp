#include <agatebank/http/http_client.hpp>
#include <agatebank/observe/metrics_api.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace agatebank;

TEST_CASE("metrics_api: each route answers with its status, type and body")
{
    event_loop loop;
    metrics_registry metrics;
    metrics.increment(metrics.add_counter({"n_total", "N.", {}}), 7);
    bool is_ready = false;
    http_server server(loop, {});
    add_metrics_routes(server, metrics,
                       [&]() -> result<void>
                       {
                           if (!is_ready)
                           {
                               return fail(errc::configuration_unknown,
                                           "config.fetch");
                           }
                           return {};
                       });
    const auto port = server.listen();
    REQUIRE(port);
    http_client client(loop);

    struct row
    {
        const char* name;
        const char* path;
        bool ready;
        unsigned status;
        const char* body_part;
        const char* content_type;
    };
    const row rows[] = {
        {"text", "/metrics", false, 200, "\nn_total 7\n", "text/plain"},
        {"JSON", "/metrics?format=json", false, 200, "\"value\":7",
         "application/json"},
        {"live", "/healthz", false, 200, "ok", "application/json"},
        {"not ready", "/readyz", false, 503, "configuration_unknown",
         "application/problem+json"},
        {"ready", "/readyz", true, 200, "ready", "application/json"}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            is_ready = row.ready;
            http_call call;
            call.url = "http://127.0.0.1:" + std::to_string(*port) + row.path;
            http_response response;
            const auto handle = client.send(call,
                                            [&](const auto& r)
                                            {
                                                REQUIRE(r);
                                                response = *r;
                                                loop.quit();
                                            });
            loop.run();
            CHECK(response.status == row.status);
            CHECK(response.content_type == row.content_type);
            CHECK(response.body.find(row.body_part) != std::string::npos);
        }
    }
}
