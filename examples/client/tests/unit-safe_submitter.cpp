#include "safe_submitter.hpp"
#include <agatebank/http/http_server.hpp>

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

using namespace agatebank;

namespace
{

// An HTTP server in place of an entry. Records the id of each submission and
// the id that the file held when the submission arrived.
struct fake_entry
{
    event_loop loop;
    std::string id_file =
        (std::filesystem::temp_directory_path() /
         ("agatebank-client-" + std::to_string(getpid()) + ".id"))
            .string();
    int reservations = 0;
    std::vector<std::string> submitted_ids;
    std::vector<std::string> stored_ids;
    std::vector<unsigned> statuses; ///< responses to PUT; 200 after the last
    http_server server{loop, {}};
    http_client client{loop};
    uint16_t port = 0;

    fake_entry()
    {
        std::remove(id_file.c_str());
        server.route("POST", "/v1/submissions",
                     [this](const http_request&, const auto& respond)
                     {
                         const auto id = "id-" + std::to_string(++reservations);
                         respond(json_response(
                             201, {{"submissions", {id}}, {"valid_s", 600}}));
                     });
        server.route("PUT", "/v1/submissions/{id}",
                     [this](const http_request& rq, const auto& respond)
                     { take_job(rq, respond); });
        port = server.listen().value();
    }
    ~fake_entry()
    {
        std::remove(id_file.c_str());
    }
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    void take_job(const http_request& rq, const http_responder& respond)
    {
        std::string id;
        std::ifstream(id_file) >> id;
        submitted_ids.push_back(rq.captures.at("id"));
        stored_ids.push_back(id);
        const auto n = submitted_ids.size();
        respond(json_response(n <= statuses.size() ? statuses[n - 1] : 200,
                              {{"state", "complete"}}));
    }

    // One run of the program. A small max_attempts ends it before the answer,
    // as a crash would. Returns the status of the final response, 0 when there
    // is none.
    unsigned run(int max_attempts = 10)
    {
        submission_plan plan;
        // The first entry cannot be reached.
        plan.entries = {"http://127.0.0.1:1",
                        "http://127.0.0.1:" + std::to_string(port)};
        plan.id_file = id_file;
        plan.job = "{}";
        plan.retry_delay = std::chrono::milliseconds(1);
        plan.max_attempts = max_attempts;
        unsigned status = 0;
        safe_submitter submitter(loop, client, plan,
                                 [&](const auto& r)
                                 {
                                     status = r ? r->status : 0;
                                     loop.quit();
                                 });
        submitter.start();
        loop.run();
        return status;
    }
};

} // namespace

TEST_CASE("safe_submitter: the id is stored before the job is sent, and reused")
{
    struct row
    {
        const char* name;
        std::vector<unsigned> statuses;
        int first_run_attempts;
        unsigned first_run;
        std::size_t requests; ///< of both runs
    };
    const row rows[] = {{"answered", {}, 10, 200, 2},
                        {"answered late", {202, 503, 429}, 10, 200, 5},
                        {"crashed before the answer", {202}, 2, 0, 2},
                        {"refused", {422, 422}, 10, 422, 2}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            fake_entry entry;
            entry.statuses = row.statuses;
            CHECK(entry.run(row.first_run_attempts) == row.first_run);
            entry.run();
            CHECK(entry.reservations == 1);
            REQUIRE(entry.submitted_ids.size() == row.requests);
            for (std::size_t i = 0; i < entry.submitted_ids.size(); ++i)
            {
                CHECK(entry.submitted_ids[i] == "id-1");
                CHECK(entry.stored_ids[i] == "id-1");
            }
        }
    }
}
