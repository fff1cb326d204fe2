#include "node_cluster.hpp"
#include <agatebank/cli/cli_command.hpp>
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <sstream>

using namespace agatebank;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

struct explain_answer
{
    unsigned status = 0;
    json body;
};

explain_answer explain(node_cluster& c, const std::string& body,
                       const std::string& query,
                       const std::string& host = "desk.example",
                       const std::string& method = "POST")
{
    http_client client(c.loop);
    http_call call;
    call.method = method;
    call.url = c.metrics_url(0) + "/v1/explain" + query;
    call.headers = {{"Host", host}, {"Deadline-Ms", "3000"}};
    call.body = body;
    explain_answer out;
    bool done = false;
    const auto handle = client.send(call,
                                    [&](const auto& r)
                                    {
                                        done = true;
                                        out.status = r ? r->status : 0;
                                        out.body = json::parse(r ? r->body : "",
                                                               nullptr, false);
                                    });
    run_until(c.loop, 5s, [&done] { return done; });
    return out;
}

using task_counts = std::map<std::string, int>;

task_counts targets_of(const json& explanation)
{
    task_counts out;
    for (const auto& it : explanation.at("tasks"))
    {
        ++out[it.at("chosen").at("target").get<std::string>()];
    }
    return out;
}

// The text of the line that an entry writes when it admits a job.
std::string admission_line(const node_cluster& c, const std::string& id)
{
    std::istringstream lines(c.entry_log(0, id));
    for (std::string it; std::getline(lines, it);)
    {
        const auto record = json::parse(it, nullptr, false);
        auto text =
            record.is_object() ? record.value("text", "") : std::string();
        if (text.rfind("job admitted", 0) == 0)
        {
            return text;
        }
    }
    return {};
}

// The tasks by target in such a line.
task_counts targets_of(const std::string& line)
{
    const std::string before = "tasks by target ";
    std::istringstream words(line.substr(line.find(before) + before.size()));
    task_counts out;
    for (std::string it; words >> it;)
    {
        const auto colon = it.rfind(':');
        out[it.substr(0, colon)] = std::stoi(it.substr(colon + 1));
    }
    return out;
}

bool wait_evacuated(node_cluster& c, double domains)
{
    return run_until(
        c.loop, 5s,
        [&c, domains] {
            return c.entry_metric(0, "agatebank_evacuated_domains") == domains;
        });
}

} // namespace

// Guards against a running entry whose explanation differs from what it then
// does with the job, and against an explanation that sends orders.
TEST_CASE("explain: a submission to the entry does what was explained")
{
    cluster_plan plan;
    plan.entries = 1;
    plan.agents = 3;
    plan.domains = 2;
    node_cluster c(plan);
    REQUIRE(c.wait_ready());
    // Beyond the time for which an entry that has just started holds jobs.
    run_for(c.loop, 2s);
    struct row
    {
        const char* id;
        const char* evacuate;
        unsigned tasks;
        const char* verdict;
        unsigned status;
    };
    const row rows[] = {{"a000000000000001", "", 4, "admitted", 200},
                        {"a000000000000002", "", 12, "admitted", 200},
                        {"a000000000000003", "z2", 8, "admitted", 200},
                        {"a000000000000004", "z1", 4, "evacuated", 503}};
    double evacuated = 0;
    double explained = 0;
    for (const auto& it : rows)
    {
        INFO(it.id);
        if (it.evacuate[0] != '\0')
        {
            c.evacuate(it.evacuate);
            REQUIRE(wait_evacuated(c, ++evacuated));
        }
        const auto orders = c.entry_metric(0, "agatebank_orders_sent");
        const auto e = explain(c, node_cluster::job_body(it.tasks),
                               "?path=/q/" + std::string(it.id));
        INFO(e.body.dump(2));
        REQUIRE(e.status == 200);
        CHECK(e.body.at("verdict") == it.verdict);
        CHECK(e.body.at("startable_tasks") == it.tasks);
        CHECK(c.entry_metric(0, "agatebank_orders_sent") == orders);
        CHECK(c.entry_metric(0, "agatebank_explanations") == ++explained);
        const auto j = c.submit(0, it.id, it.tasks);
        REQUIRE(c.wait_ended(j));
        CHECK(c.job(j).status == it.status);
        if (it.status == 200)
        {
            const auto admitted = admission_line(c, it.id);
            REQUIRE_FALSE(admitted.empty());
            CHECK(targets_of(e.body) == targets_of(admitted));
            CHECK(admitted.find("objective " +
                                e.body.at("objective_ms").dump() + " ms") !=
                  std::string::npos);
        }
    }
    CHECK(c.ledger.overlaps == 0);
}

// Guards against an answer other than a clear error to a request that can't be
// explained, and against an entry that ends because of one.
TEST_CASE("explain: requests that can't be explained get a clear error")
{
    cluster_plan plan;
    plan.entries = 1;
    plan.agents = 1;
    node_cluster c(plan);
    REQUIRE(c.wait_ready());
    const auto job = node_cluster::job_body(1);
    const std::string path = "?path=/q/b000000000000001";
    struct row
    {
        const char* what;
        std::string body;
        std::string query;
        std::string host;
        unsigned status;
        int number;
    };
    const std::string host = "desk.example";
    const row rows[] = {
        {"no JSON", "{", path, host, 400, 300},
        {"empty body", "", path, host, 400, 300},
        {"no steps", R"({"bestEffort":true})", path, host, 400, 300},
        {"negative count", R"({"bestEffort":true,"steps":[{"count":-1}]})",
         path, host, 400, 300},
        {"not supported", R"({"steps":[{"count":1}]})", path, host, 422, 317},
        {"no path", job, "", host, 400, 300},
        {"path without a slash", job, "?path=q", host, 400, 300},
        {"no job id", job, "?path=/q/", host, 400, 300},
        {"unknown path", job, "?path=/none/x", host, 404, 305},
        {"unknown host", job, path, "none.example", 404, 305}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        const auto e = explain(c, it.body, it.query, it.host);
        CHECK(e.status == it.status);
        REQUIRE(e.body.is_object());
        CHECK(e.body.value("number", 0) == it.number);
        CHECK_FALSE(e.body.value("detail", "").empty());
        CHECK_FALSE(e.body.value("step", "").empty());
    }
    CHECK(explain(c, job, path, host, "GET").status == 405);
    CHECK(explain(c, job, path).status == 200);
    CHECK(c.entry_metric(0, "agatebank_explanations_refused") ==
          std::size(rows));
}

// Guards against a command that asks for another host or path than it was
// given, which only an entry with routes tells apart.
TEST_CASE("explain: the command prints what the entry answers")
{
    cluster_plan plan;
    plan.entries = 1;
    plan.agents = 2;
    node_cluster c(plan);
    REQUIRE(c.wait_ready());
    // Beyond the time for which an entry that has just started holds jobs.
    run_for(c.loop, 2s);
    struct row
    {
        const char* path;
        cli_exit_code code;
        const char* text;
    };
    const row rows[] = {{"/q/c000000000000001", cli_exit_code::success,
                         "admitted: each task that can start has a target"},
                        {"/none/x", cli_exit_code::refused,
                         "no route for desk.example/none/x"}};
    for (const auto& it : rows)
    {
        INFO(it.path);
        std::istringstream in(node_cluster::job_body(3));
        std::ostringstream out;
        std::ostringstream err;
        cli_environment environment{in, out, err,
                                    [](const char*) { return std::string(); },
                                    []
                                    {
                                        return std::string("change-1");
                                    }};
        const auto code =
            run_cli({"explain", "--entry", c.metrics_url(0), "--path", it.path,
                     "--host", "desk.example", "--job", "-"},
                    environment);
        INFO(out.str() << err.str());
        CHECK(code == it.code);
        CHECK((out.str() + err.str()).find(it.text) != std::string::npos);
    }
}
