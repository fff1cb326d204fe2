#include "small_cluster.hpp"
#include <agatebank/harness/child_process.hpp>
#include <agatebank/harness/port_block.hpp>
#include <agatebank/harness/run_until.hpp>

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <string>

using namespace agatebank;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// A temporary directory, and settings of an agent that starts although its
// entry is absent.
struct daemon_fixture
{
    event_loop loop;
    port_block ports;
    std::string directory = make_directory();
    json settings = {{"name", "agent-1"},
                     {"target", "t-1"},
                     {"failure_domain", "sapporo"},
                     {"http", {{"address", "127.0.0.1"}, {"port", 1}}},
                     {"entries", json::array()}};

    daemon_fixture()
    {
        settings["http"]["port"] = ports.take();
        settings["entries"].push_back(
            {{"address", "127.0.0.1"}, {"port", ports.take()}});
        settings["log"] = {{"file", directory + "/log"}};
    }

    ~daemon_fixture()
    {
        for (const char* name : {"settings", "output", "log", "log.old"})
        {
            std::remove((directory + "/" + name).c_str());
        }
        std::remove(directory.c_str());
    }

    static std::string make_directory()
    {
        char* made = g_dir_make_tmp("agatebank-XXXXXX", nullptr);
        std::string out = made;
        g_free(made);
        return out;
    }

    std::string file(const std::string& name) const
    {
        return directory + "/" + name;
    }

    child_process run(const std::string& text,
                      std::vector<std::string> extra_arguments = {})
    {
        std::ofstream(file("settings")) << text;
        std::vector<std::string> arguments{program_path("agatebankd"), "agent",
                                           "--config", file("settings")};
        arguments.insert(arguments.end(), extra_arguments.begin(),
                         extra_arguments.end());
        return child_process(loop, arguments, file("output"));
    }

    bool file_contains(const std::string& name, const std::string& part) const
    {
        std::ifstream in(file(name));
        const std::string text{std::istreambuf_iterator<char>(in), {}};
        return text.find(part) != std::string::npos;
    }
};

} // namespace

TEST_CASE("a daemon that cannot start prints the reason on one line",
          "[daemon_start]")
{
    struct row
    {
        const char* name;
        const char* pointer; ///< the setting that is replaced
        json value;
        int exit_code;
        const char* part; ///< of the line
    };
    const row rows[] = {
        {"unknown field", "/colour", 1, 2, "at /colour: found an unknown"},
        {"port out of range", "/http/port", 70000, 2, "at /http/port: found"},
        {"log not writable", "/log/file", "/nowhere/log", 3, "/nowhere/log"},
        {"key not readable", "/shared_key_file", "/nowhere/key", 2,
         "/nowhere/key"},
        {"entry beyond loopback without a key", "/entries/0/address",
         "192.0.2.1", 3, "shared key"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            daemon_fixture f;
            f.settings[json::json_pointer(r.pointer)] = r.value;
            auto daemon = f.run(f.settings.dump());
            CHECK(daemon.wait(20s) == r.exit_code);
            const auto text = daemon.output();
            INFO(text);
            CHECK(text.find(r.part) != std::string::npos);
            CHECK(std::count(text.begin(), text.end(), '\n') == 1);
        }
    }
    SECTION("broken JSON")
    {
        daemon_fixture f;
        auto daemon = f.run("{\"name\":");
        CHECK(daemon.wait(20s) == 2);
        CHECK(daemon.output().find(f.file("settings")) != std::string::npos);
    }
    SECTION("port in use")
    {
        daemon_fixture f;
        auto first = f.run(f.settings.dump());
        REQUIRE(run_until(f.loop, 20s,
                          [&]
                          { return f.file_contains("log", "agent started"); }));
        auto second = f.run(f.settings.dump());
        CHECK(second.wait(20s) == 3);
        CHECK(first.running());
    }
    SECTION("--check starts nothing")
    {
        daemon_fixture f;
        auto daemon = f.run(f.settings.dump(), {"--check"});
        CHECK(daemon.wait(20s) == 0);
        CHECK(daemon.output().find("valid") != std::string::npos);
        CHECK_FALSE(f.file_contains("log", "started"));
    }
}

TEST_CASE("signals stop a daemon and re-open its log", "[daemon_start]")
{
    daemon_fixture f;
    auto daemon = f.run(f.settings.dump());
    REQUIRE(run_until(f.loop, 20s,
                      [&] { return f.file_contains("log", "agent started"); }));
    SECTION("SIGHUP continues the log in a new file")
    {
        REQUIRE(std::rename(f.file("log").c_str(), f.file("log.old").c_str()) ==
                0);
        daemon.signal(SIGHUP);
        run_for(f.loop, 300ms);
        daemon.signal(SIGTERM);
        CHECK(daemon.wait(20s) == 0);
        CHECK(f.file_contains("log", "agent stopped"));
        CHECK_FALSE(f.file_contains("log.old", "agent stopped"));
    }
    SECTION("SIGTERM gives exit code 0")
    {
        daemon.signal(SIGTERM);
        CHECK(daemon.wait(20s) == 0);
    }
}

TEST_CASE("the running entry answers as openapi.json describes",
          "[daemon_start]")
{
    cluster_fixture t(make_cluster_options());
    std::ifstream in(AGATEBANK_DOCS "/openapi.json");
    const auto document = json::parse(in);
    job_caller unauthorised(t.loop, "no such token");
    for (const auto& [path, operations] : document.at("paths").items())
    {
        for (const auto& item : operations.items())
        {
            auto url = t.nodes.entry_url(0) + path;
            if (const auto at = url.find('{'); at != std::string::npos)
            {
                url.replace(at, url.find('}') - at + 1, "x");
            }
            auto method = item.key();
            std::transform(method.begin(), method.end(), method.begin(),
                           [](char c) { return g_ascii_toupper(c); });
            INFO(method << " " << path);
            const auto r = unauthorised.call_now(method, url, "{}");
            REQUIRE(r.arrived);
            const auto known = item.value().at("responses");
            CHECK(known.contains(std::to_string(r.status)));
        }
    }
    t.check_invariants();
}
