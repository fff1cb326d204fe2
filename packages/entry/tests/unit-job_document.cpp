#include <agatebank/entry/job_document.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace agatebank;

namespace
{

std::string job_with(const std::string& tasks)
{
    return R"({"service":"s","patience":"now","tasks":)" + tasks + "}";
}

} // namespace

TEST_CASE("job_document: string payloads are passed as bytes, others as JSON")
{
    struct row
    {
        const char* task;
        const char* payload;
    };
    const row rows[] = {
        {R"({"payload":"text"})", "text"},
        {R"({"payload":{"a":[1,2]}})", R"({"a":[1,2]})"},
        {R"({"payload":7})", "7"},
        {R"({"payload":null})", "null"},
        {R"({})", ""},
    };
    for (const auto& r : rows)
    {
        SECTION(r.task)
        {
            const auto job =
                parse_job(job_with("[" + std::string(r.task) + "]"), {});
            REQUIRE(job);
            CHECK(job->tasks.at(0).payload == r.payload);
            CHECK_FALSE(job->idempotent);
        }
    }
}

TEST_CASE("job_document: malformed jobs are refused with the error's path")
{
    struct row
    {
        const char* name;
        std::string text;
        errc code;
        const char* detail;
    };
    const row rows[] = {
        {"no tasks", job_with("[]"), errc::request_malformed, "/tasks"},
        {"tasks absent", R"({"service":"s","patience":"now"})",
         errc::request_malformed, "/tasks"},
        {"unknown field", job_with(R"([{"paylod":1}])"),
         errc::request_malformed, "/tasks/0/paylod"},
        {"negative run time", job_with(R"([{"run_time_ms":-5}])"),
         errc::request_malformed, "/tasks/0/run_time_ms"},
        {"run time out of range", job_with(R"([{"run_time_ms":1e300}])"),
         errc::request_malformed, "/tasks/0/run_time_ms"},
        {"task not an object", job_with("[7]"), errc::request_malformed,
         "/tasks/0"},
        {"service not a string", R"({"service":1,"patience":"p","tasks":[{}]})",
         errc::request_malformed, "/service"},
        {"too many tasks", job_with("[{},{},{},{}]"), errc::too_many_tasks,
         "at most 3 tasks per job"},
        {"nested too deeply",
         job_with("[{\"payload\":" + std::string(200, '[') +
                  std::string(200, ']') + "}]"),
         errc::request_malformed, "nested"},
        {"truncated JSON", "{\"service\":", errc::request_malformed, ""},
        {"invalid UTF-8", "{\"service\":\"\xc3\x28\"}", errc::request_malformed,
         ""},
    };
    job_limits limits;
    limits.max_tasks = 3;
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            const auto job = parse_job(r.text, limits);
            REQUIRE(!job);
            CHECK(job.error().code == r.code);
            CHECK(job.error().detail.find(r.detail) != std::string::npos);
        }
    }
}
