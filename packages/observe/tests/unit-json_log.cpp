#include <agatebank/observe/json_log.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

using namespace agatebank;

namespace
{

// A directory that is removed at the end of the test.
struct temporary_directory
{
    std::filesystem::path path =
        std::filesystem::temp_directory_path() /
        ("agatebank-json_log-" + std::to_string(getpid()));

    temporary_directory()
    {
        std::filesystem::create_directories(path);
    }
    ~temporary_directory()
    {
        std::filesystem::remove_all(path);
    }

    std::string file(const char* name) const
    {
        return (path / name).string();
    }
};

uint64_t fixed_clock()
{
    return 1767225599000001; // 2025-12-31T23:59:59.000001Z
}

std::vector<nlohmann::json> read_lines(const std::string& file)
{
    std::ifstream in(file);
    std::vector<nlohmann::json> out;
    for (std::string line; std::getline(in, line);)
    {
        out.push_back(nlohmann::json::parse(line));
    }
    return out;
}

log_record make_record(log_level level, std::string text)
{
    log_record r;
    r.level = level;
    r.text = std::move(text);
    return r;
}

} // namespace

TEST_CASE("json_log: a line has only the fields that apply")
{
    const temporary_directory dir;
    const auto file = dir.file("log");
    auto log =
        json_log::open({file, log_level::info, "e1", "sapporo"}, fixed_clock);
    REQUIRE(log);
    const auto sink = (*log)->sink();
    sink(make_record(log_level::info, "line\nbreak \xff"));
    log_record full{log_level::error, "text", "step", "peer", "1-2", 0, 404};
    sink(full);
    const auto lines = read_lines(file);
    REQUIRE(lines.size() == 2);
    CHECK(lines[0] == nlohmann::json{{"time", "2025-12-31T23:59:59.000001Z"},
                                     {"level", "info"},
                                     {"process", "e1"},
                                     {"failure_domain", "sapporo"},
                                     {"text", "line\nbreak \xef\xbf\xbd"}});
    CHECK(lines[1].at("task") == 0);
    CHECK(lines[1].at("error") == 404);
    CHECK(lines[1].at("submission") == "1-2");
}

TEST_CASE("json_log: records below the level are dropped")
{
    const temporary_directory dir;
    const auto file = dir.file("log");
    auto log =
        json_log::open({file, log_level::warning, "e1", ""}, fixed_clock);
    REQUIRE(log);
    for (const char* word : {"debug", "info", "warning", "error"})
    {
        (*log)->sink()(make_record(*parse_log_level(word), word));
    }
    const auto lines = read_lines(file);
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].at("level") == "warning");
    CHECK_FALSE(parse_log_level("loud"));
}

// All logs of a process share the core of Boost.Log: without the owner filter
// each record would be written to every log.
TEST_CASE("json_log: a record goes to its own log only")
{
    const temporary_directory dir;
    auto a =
        json_log::open({dir.file("a"), log_level::info, "a", ""}, fixed_clock);
    auto b =
        json_log::open({dir.file("b"), log_level::info, "b", ""}, fixed_clock);
    REQUIRE((a && b));
    (*a)->sink()(make_record(log_level::info, "for a"));
    CHECK(read_lines(dir.file("a")).size() == 1);
    CHECK(read_lines(dir.file("b")).empty());
}

// After a rotation moved the file away, lines would go on to the moved file if
// reopen did not open the path again.
TEST_CASE("json_log: reopen writes to a new file after a rotation")
{
    const temporary_directory dir;
    const auto file = dir.file("log");
    auto log = json_log::open({file, log_level::info, "e1", ""}, fixed_clock);
    REQUIRE(log);
    const auto sink = (*log)->sink();
    sink(make_record(log_level::info, "first"));
    std::filesystem::rename(file, dir.file("old"));
    sink(make_record(log_level::info, "second"));
    REQUIRE((*log)->reopen());
    sink(make_record(log_level::info, "third"));
    CHECK(read_lines(dir.file("old")).size() == 2);
    CHECK(read_lines(file).size() == 1);

    // A failed reopen continues with the file that was open.
    std::filesystem::rename(file, dir.file("third"));
    std::filesystem::create_directory(file);
    const auto failed = (*log)->reopen();
    REQUIRE_FALSE(failed);
    CHECK(failed.error().code == errc::log_unwritable);
    sink(make_record(log_level::info, "fourth"));
    CHECK(read_lines(dir.file("third")).size() == 2);
}

TEST_CASE("json_log: opening an unwritable file fails")
{
    const temporary_directory dir;
    const auto log = json_log::open(
        {dir.file("no/such/log"), log_level::info, "e1", ""}, fixed_clock);
    REQUIRE_FALSE(log);
    CHECK(log.error().code == errc::log_unwritable);
    CHECK(log.error().peer == dir.file("no/such/log"));
}

// Guards against unbounded log output, and against lines that are dropped
// without a trace in the log.
TEST_CASE("json_log: lines above the rate limit are dropped and their number "
          "is logged")
{
    const temporary_directory dir;
    uint64_t now_us = fixed_clock();
    json_log_options options{dir.file("log"), log_level::info, "p", "d"};
    options.max_lines_per_s = 3;
    const auto log = json_log::open(options, [&now_us] { return now_us; });
    REQUIRE(log);
    for (int i = 0; i < 10; ++i)
    {
        (*log)->sink()(make_record(log_level::info, "line"));
    }
    CHECK(read_lines(dir.file("log")).size() == 3);
    now_us += 1'000'000;
    (*log)->sink()(make_record(log_level::info, "later"));
    const auto lines = read_lines(dir.file("log"));
    REQUIRE(lines.size() == 5);
    CHECK(lines[3].at("text") == "7 log lines dropped");
    CHECK(lines[4].at("text") == "later");
}
