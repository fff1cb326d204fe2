#include <agatebank/cli/cli_command.hpp>
#include <agatebank/http/http_server.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace agatebank;
using nlohmann::json;

namespace
{

// An HTTP server in place of an entry's metrics address.
class fake_metrics_address
{
  public:
    explicit fake_metrics_address(http_response answer) : server_(loop_, {})
    {
        server_.route("POST", "/v1/explain",
                      [this, answer = std::move(answer)](const http_request& rq,
                                                         const auto& respond)
                      {
                          requests.push_back(rq);
                          respond(answer);
                      });
        address = "127.0.0.1:" + std::to_string(server_.listen().value());
    }

    std::string address;
    std::vector<http_request> requests;

  private:
    event_loop loop_;
    http_server server_;
};

struct cli_run
{
    cli_exit_code code = cli_exit_code::usage;
    std::string out;
    std::string err;
};

cli_run run(const std::vector<std::string>& arguments)
{
    std::istringstream in("the job");
    std::ostringstream out;
    std::ostringstream err;
    cli_environment environment{in, out, err,
                                [](const char*) { return std::string(); },
                                []
                                {
                                    return std::string("change-1");
                                }};
    const auto code = run_cli(arguments, environment);
    return {code, out.str(), err.str()};
}

cli_run explain_at(const std::string& address,
                   const std::vector<std::string>& more = {})
{
    std::vector<std::string> arguments{"explain",        "--entry",  address,
                                       "--path",         "/q/a b&c", "--host",
                                       "desk.example:1", "--job",    "-"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return run(arguments);
}

json explanation()
{
    const json chosen{
        {"target", "t1"}, {"rank", "in time"}, {"load_age_ms", 30}};
    const json passed{{"target", "t2"},
                      {"rank", "late"},
                      {"load_age_ms", nullptr},
                      {"decided_by", "crowded"}};
    return {{"job", "a"},
            {"route", "r"},
            {"configuration_version", 7},
            {"may_be_relayed", true},
            {"verdict", "admitted"},
            {"reason", "each task has a target"},
            {"expected_end_ms", 148},
            {"objective_ms", 442},
            {"last_useful_end_ms", nullptr},
            {"first_task_alone", true},
            {"startable_tasks", 23},
            {"unplaced_tasks", 1},
            {"later_tasks", 2},
            {"undescribed_tasks", 21},
            {"known_targets", 300},
            {"evacuated_targets", 4},
            {"tasks",
             {{{"step", 0},
               {"task", 0},
               {"runs_alone", true},
               {"chosen", chosen},
               {"passed_over", {passed}},
               {"locality", "waits near its data for up to 80 ms"},
               {"unusable_targets", 9}},
              {{"step", 0},
               {"task", 1},
               {"runs_alone", false},
               {"chosen", nullptr},
               {"passed_over", json::array()},
               {"unusable_targets", 300}}}}};
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a request that asks about another job than the one given, and
// against parts of the explanation that the text leaves out.
TEST_CASE("explain_command: sends the job and prints the explanation")
{
    fake_metrics_address entry(json_response(200, explanation()));
    const auto got = explain_at(entry.address, {"--deadline-ms", "900"});
    CHECK(got.code == cli_exit_code::success);
    CHECK(got.err.empty());
    REQUIRE(entry.requests.size() == 1);
    const auto& rq = entry.requests[0];
    CHECK(rq.body == "the job");
    CHECK(rq.parameter("path") == "/q/a b&c");
    CHECK(rq.header("host") == "desk.example:1");
    CHECK(rq.header("deadline-ms") == "900");
    const char* parts[] = {
        "admitted: each task has a target\n",
        "job a of route r, configuration version 7\n",
        "expected end in 148 ms, objective in 442 ms, ",
        "last useful end in unknown\n",
        "23 can start now, 1 of them without a target; 2 wait for others\n",
        "300 known, 4 in evacuated failure domains\n",
        "one task runs alone first",
        "may relay the job",
        "0     0     chosen, alone  t1      30                       in time",
        "waits near its data for up to 80 ms\n",
        "0     0     passed over    t2      no report    crowded     late\n",
        "9 targets\n",
        "0     1     none",
        "21 more tasks are not described\n"};
    for (const auto* it : parts)
    {
        INFO(it << "\n" << got.out);
        CHECK(contains(got.out, it));
    }
    const auto as_json = explain_at(entry.address, {"--json"});
    CHECK(json::parse(as_json.out) == explanation());
    CHECK(entry.requests.back().header("deadline-ms").empty());
}

// Guards against a failure that looks like an explanation to a script.
TEST_CASE("explain_command: answers and their exit codes")
{
    const auto problem = [](unsigned status, errc e)
    {
        return problem_response(
            status, {make_error_code(e), "caller.request", "peer", "no x"},
            execution_status::not_run);
    };
    struct row
    {
        const char* name;
        http_response answer;
        cli_exit_code code;
        const char* text;
    };
    const row rows[] = {{"malformed", problem(400, errc::request_malformed),
                         cli_exit_code::refused,
                         "request_malformed 300): no x"},
                        {"no route", problem(404, errc::not_found),
                         cli_exit_code::refused, "not_found 305): no x"},
                        {"unsupported", problem(422, errc::job_unsupported),
                         cli_exit_code::refused, "job_unsupported 317): no x"},
                        {"no configuration", problem(503, errc::not_ready),
                         cli_exit_code::unreachable, "not_ready 316): no x"},
                        {"no JSON",
                         {200, "text/plain", "oops", {}},
                         cli_exit_code::refused,
                         "cli.read"},
                        {"not an explanation", json_response(200, {{"a", 1}}),
                         cli_exit_code::refused, "cli.read"}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        fake_metrics_address entry(it.answer);
        const auto got = explain_at(entry.address);
        INFO(got.err);
        CHECK(got.code == it.code);
        CHECK(contains(got.err, it.text));
        CHECK(got.err.rfind("agatebank: ", 0) == 0);
    }
    CHECK(explain_at("127.0.0.1:1").code == cli_exit_code::unreachable);
}

// Guards against a call with a part missing, which would explain another job.
TEST_CASE("explain_command: missing or unreadable arguments are usage errors")
{
    const std::vector<std::string> entry{"explain", "--entry", "127.0.0.1:1"};
    struct row
    {
        std::vector<std::string> arguments;
        const char* text;
    };
    const row rows[] = {
        {{"--host", "h", "--job", "-"}, "--path"},
        {{"--path", "/q/x", "--job", "-"}, "--host"},
        {{"--path", "/q/x", "--host", "h"}, "--job"},
        {{"--path", "/q/x", "--host", "h", "--job", "/none"}, "/none"},
        {{"--path", "/q/x", "--host", "h", "--job", "-", "--deadline-ms", "x"},
         "--deadline-ms"},
        {{"--path", "/q/x", "--host", "h", "--job", "-", "more"}, ""}};
    for (const auto& it : rows)
    {
        auto arguments = entry;
        arguments.insert(arguments.end(), it.arguments.begin(),
                         it.arguments.end());
        const auto got = run(arguments);
        INFO(got.err);
        CHECK(got.code == cli_exit_code::usage);
        CHECK(got.out.empty());
        CHECK(contains(got.err, it.text));
        CHECK_FALSE(got.err.empty());
    }
    CHECK(contains(
        run({"explain", "--path", "/q/x", "--host", "h", "--job", "-"}).err,
        "no entry given"));
}
