#include <agatebank/cli/cli_command.hpp>
#include <agatebank/http/http_server.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <glib.h>
#include <glib/gstdio.h>

#include <fstream>
#include <map>
#include <sstream>

using namespace agatebank;
using nlohmann::json;

namespace
{

// An HTTP server in place of an entry: sends the responses that the test sets
// and records the requests.
class fake_entry
{
  public:
    explicit fake_entry(event_loop& loop) : server_(loop, {})
    {
        const char* paths[] = {"/v1/admin/{a}", "/v1/admin/{a}/{b}",
                               "/v1/admin/{a}/{b}/{c}", "/v1/submissions",
                               "/v1/submissions/{a}"};
        for (const char* path : paths)
        {
            for (const char* method : {"GET", "PUT", "POST", "DELETE"})
            {
                server_.route(method, path,
                              [this](const auto& rq, auto respond)
                              {
                                  requests.push_back(rq);
                                  respond(answer(rq));
                              });
            }
        }
        url = "http://127.0.0.1:" + std::to_string(server_.listen().value());
    }

    std::string url;
    std::vector<http_request> requests;
    std::map<std::string, http_response> answers; ///< by method and path

  private:
    http_response answer(const http_request& rq) const
    {
        const auto it = answers.find(rq.method + " " + rq.path);
        if (it == answers.end())
        {
            return problem_response(
                404, {make_error_code(errc::not_found), "fake", "", ""},
                execution_status::not_run);
        }
        return it->second;
    }

    http_server server_;
};

struct cli_run
{
    cli_exit_code code = cli_exit_code::usage;
    std::string out;
    std::string err;
};

cli_run run(const std::vector<std::string>& arguments,
            const std::string& input = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const auto variable = [](const std::string& name)
    {
        return name == "AGATEBANK_TOKEN" ? "secret" : "";
    };
    cli_environment environment{in, out, err, variable,
                                []
                                {
                                    return "change-1";
                                }};
    const auto code = run_cli(arguments, environment);
    return {code, out.str(), err.str()};
}

cli_run run_at(const fake_entry& entry, std::vector<std::string> arguments,
               const std::string& input = {})
{
    arguments.insert(arguments.begin(), {"--entry", entry.url});
    return run(arguments, input);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

http_response accepted(bool everywhere)
{
    return json_response(everywhere ? 200 : 202,
                         {{"version", 8},
                          {"change_id", "change-1"},
                          {"written", true},
                          {"summary", "rules: 1 changed"},
                          {"in_force",
                           {{"everywhere", everywhere},
                            {"processes",
                             {{{"kind", "agent"},
                               {"name", "agent-7"},
                               {"version", 7},
                               {"reachable", true},
                               {"in_force", everywhere}}}}}}});
}

http_response problem(unsigned status, errc code, execution_status execution)
{
    return problem_response(
        status, {make_error_code(code), "configuration.change", "sato", "x"},
        execution);
}

// A temporary directory; the destructor removes it and its id file.
struct temporary_directory
{
    temporary_directory()
    {
        char* made = g_dir_make_tmp("agatebank-XXXXXX", nullptr);
        path = made;
        g_free(made);
    }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    ~temporary_directory()
    {
        g_remove((path + "/id").c_str());
        g_rmdir(path.c_str());
    }
    std::string path;
};

} // namespace

TEST_CASE("run_cli: arguments decide the output and the exit code")
{
    struct row
    {
        const char* name;
        std::vector<std::string> arguments;
        cli_exit_code code;
        const char* out;
        const char* err;
    };
    const row rows[] = {
        {"no arguments", {}, cli_exit_code::usage, "", "no command given"},
        {"help", {"--help"}, cli_exit_code::success, "inventory import", ""},
        {"help of a command",
         {"target", "drain", "--help"},
         cli_exit_code::success,
         "--wait-in-force-ms",
         ""},
        {"version", {"--version"}, cli_exit_code::success, "agatebank ", ""},
        {"unknown command",
         {"target", "kick"},
         cli_exit_code::usage,
         "",
         "unknown command \"target\""},
        {"unknown option",
         {"status", "--entry", "http://127.0.0.1:1", "--x"},
         cli_exit_code::usage,
         "",
         "unrecognised option '--x'"},
        {"no target",
         {"target", "drain", "--entry", "http://127.0.0.1:1"},
         cli_exit_code::usage,
         "",
         "TARGET"},
        {"no entry", {"status"}, cli_exit_code::usage, "", "no entry given"},
        {"no token file",
         {"status", "--entry", "http://127.0.0.1:1", "--token-file", "/none"},
         cli_exit_code::usage,
         "",
         "/none: cannot read a token from the first line"},
        {"no entry answers",
         {"status", "--entry", "http://127.0.0.1:1"},
         cli_exit_code::unreachable,
         "",
         "http://127.0.0.1:1/v1/admin/status"},
        {"no such file",
         {"config", "check", "/none"},
         cli_exit_code::usage,
         "",
         "/none"},
        {"no such format",
         {"timeline", "--format", "x", "--entry", "http://127.0.0.1:1"},
         cli_exit_code::usage,
         "",
         "expected table, json or chrome"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            const auto got = run(r.arguments);
            CHECK(got.code == r.code);
            CHECK(contains(got.out, r.out));
            CHECK(contains(got.err, r.err));
            CHECK(got.out.empty() == std::string(r.out).empty());
            CHECK(got.err.empty() == std::string(r.err).empty());
        }
    }
}

TEST_CASE("run_cli: offline commands need no entry")
{
    struct row
    {
        const char* name;
        std::vector<std::string> arguments;
        const char* input;
        cli_exit_code code;
        const char* text; ///< part of what is printed
    };
    const row rows[] = {
        {"rules",
         {"config", "check", "-"},
         R"({"services":[]})",
         cli_exit_code::success,
         "-: valid rules of 0 services"},
        {"inventory",
         {"config", "check", "-"},
         R"({"inventory":[]})",
         cli_exit_code::success,
         "valid inventory of 0 targets"},
        {"complete configuration",
         {"config", "check", "-", "--json"},
         R"({"version":3})",
         cli_exit_code::success,
         "\"kind\":\"configuration\""},
        {"not valid",
         {"config", "check", "-"},
         R"({"services":7})",
         cli_exit_code::refused,
         "at /services: found 7, expected an array"},
        {"CSV",
         {"config", "check", "-", "--kind", "csv"},
         "target,x\n",
         cli_exit_code::refused,
         "line 1, column \"x\""},
        {"token",
         {"token", "hash"},
         "abc\n",
         cli_exit_code::success,
         "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
        {"no token",
         {"token", "hash"},
         "",
         cli_exit_code::usage,
         "no token on standard input"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            const auto got = run(r.arguments, r.input);
            CHECK(got.code == r.code);
            CHECK(contains(got.out + got.err, r.text));
        }
    }
}

TEST_CASE("run_cli: changes and their exit codes")
{
    struct row
    {
        const char* name;
        http_response answer;
        cli_exit_code code;
        const char* text; ///< part of what is printed
    };
    const row rows[] = {
        {"in force", accepted(true), cli_exit_code::success,
         "version 8, change change-1: rules: 1 changed\nin force in every"},
        {"not yet in force", accepted(false), cli_exit_code::unfinished,
         "not in force: agent agent-7 has version 7\n"},
        {"conflict",
         problem(409, errc::configuration_conflict, execution_status::not_run),
         cli_exit_code::refused, "(configuration_conflict 111)"},
        {"not valid",
         problem(422, errc::configuration_invalid, execution_status::not_run),
         cli_exit_code::refused, "run: not-run"},
        {"forbidden", problem(403, errc::forbidden, execution_status::not_run),
         cli_exit_code::refused, "forbidden"},
        {"store unreachable",
         problem(503, errc::platform_unreachable, execution_status::not_run),
         cli_exit_code::unreachable, "platform_unreachable"},
        {"outcome unknown",
         problem(504, errc::platform_outcome_unknown,
                 execution_status::may_have_run),
         cli_exit_code::outcome_unknown, "run: may-have-run"},
        {"not an entry",
         {500, "text/plain", "oops", {}},
         cli_exit_code::refused,
         "HTTP status 500"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            event_loop loop;
            fake_entry entry(loop);
            entry.answers["PUT /v1/admin/rules"] = r.answer;
            const auto got = run_at(
                entry, {"rules", "apply", "-", "--if-version", "7"}, "{}");
            CHECK(got.code == r.code);
            CHECK(contains(got.out + got.err, r.text));
            REQUIRE(entry.requests.size() == 1);
            const auto& rq = entry.requests[0];
            CHECK(rq.body == "{}");
            CHECK(rq.header("if-match") == "\"7\"");
            CHECK(rq.header("agatebank-change") == "change-1");
            CHECK(rq.header("authorization") == "Bearer secret");
            CHECK(rq.parameter("wait_in_force_ms") == "10000");
        }
    }
}

TEST_CASE("run_cli: a conflict prints the other operator's change")
{
    event_loop loop;
    fake_entry entry(loop);
    auto answer =
        problem(409, errc::configuration_conflict, execution_status::not_run);
    auto body = json::parse(answer.body);
    body["conflict"] = {
        {"changes",
         {{{"version", 9}, {"changed_by", "sato"}, {"summary", "drained"}}}},
        {"difference",
         {{{"path", "/target_states/t-1"},
           {"before", nullptr},
           {"after", "draining"}}}}};
    answer.body = body.dump();
    entry.answers["POST /v1/admin/targets/t-1/stop"] = answer;
    const auto got = run_at(entry, {"target", "stop", "t-1"});
    CHECK(got.code == cli_exit_code::refused);
    CHECK(contains(got.err, "version 9 by sato: drained"));
    CHECK(contains(got.err, "/target_states/t-1:  -> draining"));
}

TEST_CASE("run_cli: unavailable entries are skipped with the same change id")
{
    event_loop loop;
    fake_entry leaving(loop);
    fake_entry serving(loop);
    leaving.answers["PUT /v1/admin/inventory"] =
        problem(503, errc::process_leaving, execution_status::not_run);
    serving.answers["PUT /v1/admin/inventory"] = accepted(true);
    const auto got = run({"inventory", "import", "-", "--format", "csv",
                          "--entry", "http://127.0.0.1:1", "--entry",
                          leaving.url, "--entry", serving.url + "/"},
                         "target\n");
    CHECK(got.code == cli_exit_code::success);
    REQUIRE(leaving.requests.size() == 1);
    REQUIRE(serving.requests.size() == 1);
    CHECK(serving.requests[0].header("content-type") == "text/csv");
    CHECK(serving.requests[0].header("agatebank-change") ==
          leaving.requests[0].header("agatebank-change"));
}

TEST_CASE("run_cli: diff and --dry-run request a dry run")
{
    event_loop loop;
    fake_entry entry(loop);
    entry.answers["PUT /v1/admin/rules"] = json_response(
        200, {{"dry_run", true},
              {"summary", "rules: 1 changed"},
              {"difference",
               {{{"path", "/rules/weights"}, {"before", 1}, {"after", 2}}}}});
    const std::vector<std::string> rows[] = {
        {"rules", "diff", "-"}, {"rules", "apply", "-", "--dry-run"}};
    for (const auto& arguments : rows)
    {
        SECTION(arguments[1])
        {
            const auto got = run_at(entry, arguments, "{}");
            CHECK(got.code == cli_exit_code::success);
            CHECK(contains(got.out, "/rules/weights  1       2"));
            REQUIRE(entry.requests.size() == 1);
            CHECK(entry.requests[0].parameter("dry_run") == "true");
        }
    }
}

TEST_CASE("run_cli: jobs and their exit codes")
{
    struct row
    {
        const char* name;
        http_response answer;
        cli_exit_code code;
        const char* text;
    };
    const row rows[] = {
        {"complete",
         json_response(200, {{"submission", "id-1"},
                             {"state", "complete"},
                             {"price", 40},
                             {"answers", {{{"body", "free"}}}}}),
         cli_exit_code::success, "complete, price 40\nfree\n"},
        {"failed",
         json_response(200, {{"submission", "id-1"},
                             {"state", "failed"},
                             {"run", "may-have-run"},
                             {"problem", {{"title", "the agent was lost"}}}}),
         cli_exit_code::job_failed, "run may-have-run"},
        {"running",
         json_response(202, {{"submission", "id-1"}, {"state", "running"}}),
         cli_exit_code::unfinished, "running"},
        {"refused",
         problem(422, errc::needs_unmeetable, execution_status::not_run),
         cli_exit_code::refused, "run: not-run"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            event_loop loop;
            fake_entry entry(loop);
            const temporary_directory directory;
            const auto file = directory.path + "/id";
            entry.answers["POST /v1/submissions"] =
                json_response(201, {{"submissions", {"id-1"}}});
            entry.answers["PUT /v1/submissions/id-1"] = r.answer;
            // The second run stands for a restarted client.
            for (int i = 0; i < 2; ++i)
            {
                const auto got = run_at(entry,
                                        {"job", "submit", "-", "--store-id",
                                         file, "--wait-ms", "50"},
                                        "{\"tasks\":[]}");
                CHECK(got.code == r.code);
                CHECK(contains(got.out + got.err, r.text));
            }
            REQUIRE(entry.requests.size() == 3);
            CHECK(entry.requests[0].method == "POST");
            CHECK(entry.requests[1].path == entry.requests[2].path);
            CHECK(entry.requests[2].body == "{\"tasks\":[]}");
        }
    }
}

TEST_CASE("run_cli: a job without a valid token is refused")
{
    event_loop loop;
    fake_entry entry(loop);
    entry.answers["POST /v1/submissions"] =
        problem(401, errc::unauthorised, execution_status::not_run);
    const auto got = run_at(entry, {"job", "submit", "-"}, "{}");
    CHECK(got.code == cli_exit_code::refused);
    CHECK(contains(got.err, "a valid bearer token is required"));
}

TEST_CASE("run_cli: platform errors are not retried at another entry")
{
    event_loop loop;
    fake_entry first(loop);
    fake_entry second(loop);
    first.answers["POST /v1/admin/targets/t-1/stop"] =
        problem(503, errc::platform_refused, execution_status::not_run);
    const auto got = run(
        {"target", "stop", "t-1", "--entry", first.url, "--entry", second.url});
    CHECK(got.code == cli_exit_code::unreachable);
    CHECK(second.requests.empty());
}

TEST_CASE("run_cli: no job is sent when its id cannot be stored")
{
    event_loop loop;
    fake_entry entry(loop);
    entry.answers["POST /v1/submissions"] =
        json_response(201, {{"submissions", {"id-1"}}});
    const auto got =
        run_at(entry, {"job", "submit", "-", "--store-id", "/none/id"}, "{}");
    CHECK(got.code == cli_exit_code::usage);
    CHECK(entry.requests.size() == 1);
}

TEST_CASE("run_cli: status, targets, history and timeline are printed")
{
    event_loop loop;
    fake_entry entry(loop);
    const json process{{"kind", "entry"},
                       {"name", "entry-1"},
                       {"version", 8},
                       {"reachable", true},
                       {"leaving", false}};
    entry.answers["GET /v1/admin/status"] = json_response(
        200, {{"version", 8}, {"everywhere", true}, {"processes", {process}}});
    entry.answers["GET /v1/admin/targets"] =
        json_response(200, {{"targets",
                             {{{"target", "t-1"},
                               {"state", "draining"},
                               {"services", {"a", "b"}},
                               {"slots", 8},
                               {"live", true}}}}});
    entry.answers["GET /v1/admin/configuration/history"] =
        json_response(200, {{"history",
                             {{{"version", 8},
                               {"change_id", "c-1"},
                               {"changed_by", "sato"},
                               {"summary", "s"}}}}});
    entry.answers["GET /v1/admin/timeline"] =
        json_response(200, {{"events",
                             {{{"wall_us", 1},
                               {"counter", 0},
                               {"kind", "run_began"},
                               {"process", "agent-1"},
                               {"target", "t-1"}}}}});
    struct row
    {
        const char* name;
        std::vector<std::string> arguments;
        std::vector<std::string> parts;
    };
    const row rows[] = {
        {"status", {"status"}, {"in force in every live", "entry  entry-1"}},
        {"targets", {"target", "list"}, {"TARGET", "draining", "a,b"}},
        {"history", {"config", "history"}, {"8        c-1     sato  s"}},
        {"timeline", {"timeline", "--target", "t-1"}, {"run_began", "agent-1"}},
        {"trace", {"timeline", "--format", "chrome"}, {"traceEvents"}},
        {"JSON", {"timeline", "--json"}, {"\"run_began\""}},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            const auto got = run_at(entry, r.arguments);
            CHECK(got.code == cli_exit_code::success);
            CHECK(got.err.empty());
            for (const auto& part : r.parts)
            {
                CHECK(contains(got.out, part));
            }
        }
    }
}
