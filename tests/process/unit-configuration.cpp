// Guards against an accepted configuration that is not in force in every
// process within 5 s, or is later replaced by an older version, under store
// faults, suspended and restarted entries and concurrent operators.
#include "small_cluster.hpp"

#include <algorithm>
#include <csignal>
#include <set>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr auto in_force_time = 5s;
constexpr std::size_t entries = 3;

// Polls the configuration version of every entry and records each decrease.
class version_monitor
{
  public:
    explicit version_monitor(cluster_fixture& t)
        : fixture_(t), versions_(entries, 0)
    {
        timer_ = t.loop.every(100ms, [this] { sample(); });
    }

    bool all_have(uint64_t version, const std::vector<std::size_t>& which)
    {
        return std::all_of(which.begin(), which.end(),
                           [&](std::size_t i)
                           { return versions_[i] >= version; });
    }

    // A restarted entry may begin with a lower version.
    void reset(std::size_t entry)
    {
        versions_[entry] = 0;
    }

    const std::vector<std::string>& reversions() const
    {
        return reversions_;
    }

  private:
    void sample()
    {
        for (std::size_t i = 0; i < entries; ++i)
        {
            http_call call;
            call.url = fixture_.nodes.entry_url(i) + "/v1/admin/status";
            call.timeout = 1s;
            operator_.send(call, [this, i](const caller_reply& r)
                           { record_reply(i, r); });
        }
    }

    // Replies may arrive out of order, so only a request sent after the highest
    // version was received can prove a decrease.
    void record_reply(std::size_t i, const caller_reply& r)
    {
        const auto j = nlohmann::json::parse(r.body, nullptr, false);
        if (!r.arrived || r.status != 200 || !j.is_object())
        {
            return;
        }
        const auto version = j.value("version", uint64_t{0});
        if (version < versions_[i] && r.sent_us > raised_at_us_[i])
        {
            reversions_.push_back("entry " + std::to_string(i + 1) +
                                  " fell from " + std::to_string(versions_[i]) +
                                  " to " + std::to_string(version));
        }
        if (version > versions_[i])
        {
            versions_[i] = version;
            raised_at_us_[i] = r.got_us;
        }
    }

    cluster_fixture& fixture_;
    job_caller operator_{fixture_.loop,
                         fixture_.nodes.options().operator_token};
    std::vector<uint64_t> versions_;
    std::vector<int64_t> raised_at_us_ = std::vector<int64_t>(entries, 0);
    std::vector<std::string> reversions_;
    watch timer_;
};

// Drains t-1 for even n and starts it for odd n, and repeats this after a
// conflict with a version that the entry had not yet received. Returns the new
// version.
uint64_t change(cluster_fixture& t, std::size_t entry, std::size_t n)
{
    const auto path = std::string("/v1/admin/targets/t-1/") +
                      (n % 2 == 0 ? "drain" : "start");
    caller_reply r;
    run_until(t.loop, in_force_time,
              [&]
              {
                  r = t.nodes.admin(entry, "POST", path);
                  return r.code != "configuration_conflict";
              });
    INFO(r.body);
    REQUIRE(r.status / 100 == 2);
    return nlohmann::json::parse(r.body).at("version").get<uint64_t>();
}

// Whether every agent that an entry lists has at least this version in force.
bool agents_have(cluster_fixture& t, std::size_t entry, uint64_t version)
{
    const auto r = t.nodes.admin(entry, "GET", "/v1/admin/targets");
    const auto j = nlohmann::json::parse(r.body, nullptr, false);
    if (!j.is_object() || !j.contains("targets"))
    {
        return false;
    }
    return std::all_of(j["targets"].begin(), j["targets"].end(),
                       [&](const auto& row) {
                           return row.value("version", uint64_t{0}) >= version;
                       });
}

bool wait_in_force(cluster_fixture& t, version_monitor& versions,
                   uint64_t version,
                   const std::vector<std::size_t>& which = {0, 1, 2})
{
    const bool in_entries =
        run_until(t.loop, in_force_time,
                  [&] { return versions.all_have(version, which); });
    return in_entries &&
           run_until(t.loop, in_force_time,
                     [&]
                     {
                         run_for(t.loop, 50ms);
                         return agents_have(t, which.front(), version);
                     });
}

} // namespace

TEST_CASE("each of a series of changes is in force everywhere within 5 s",
          "[configuration]")
{
    cluster_fixture t(make_cluster_options());
    version_monitor versions(t);
    uint64_t last = 0;
    for (std::size_t n = 0; n < 20; ++n)
    {
        const auto version = change(t, n % entries, n);
        CHECK(version > last);
        last = version;
        CHECK(wait_in_force(t, versions, version));
    }
    CHECK(versions.reversions().empty());
}

TEST_CASE("an accepted change survives store faults", "[configuration]")
{
    cluster_fixture t(make_cluster_options());
    version_monitor versions(t);
    const auto first = change(t, 0, 0);
    SECTION("an outage right after the write")
    {
        const auto version = change(t, 0, 1);
        t.nodes.platform_faults({{"outage", true}});
        CHECK(wait_in_force(t, versions, version));
        t.nodes.platform_faults({{"outage", false}});
        CHECK(change(t, 1, 2) > version);
    }
    SECTION("a reply lost after the write")
    {
        t.nodes.platform_faults({{"lose_replies", 1}});
        const auto version = change(t, 0, 1);
        CHECK(version == first + 1);
        CHECK(wait_in_force(t, versions, version));
        CHECK(change(t, 2, 2) == version + 1);
    }
    SECTION("an outage refuses changes and keeps the version")
    {
        t.nodes.platform_faults({{"outage", true}});
        const auto r =
            t.nodes.admin(0, "POST", "/v1/admin/targets/t-1/start", nullptr);
        CHECK(r.status / 100 == 5);
        run_for(t.loop, 1s);
        CHECK(t.nodes.version(0) == first);
        t.nodes.platform_faults({{"outage", false}});
        run_for(t.loop, 1s);
        CHECK(change(t, 0, 1) > first);
    }
    CHECK(versions.reversions().empty());
}

TEST_CASE("a suspended entry that resumes applies the version in force",
          "[configuration]")
{
    cluster_fixture t(make_cluster_options());
    version_monitor versions(t);
    t.nodes.process("entry-3").signal(SIGSTOP);
    uint64_t version = 0;
    for (std::size_t n = 0; n < 4; ++n)
    {
        version = change(t, n % 2, n);
    }
    CHECK(wait_in_force(t, versions, version, {0, 1}));
    t.nodes.process("entry-3").signal(SIGCONT);
    CHECK(wait_in_force(t, versions, version));
    CHECK(versions.reversions().empty());
    CHECK(t.nodes.version(0) == version);
}

TEST_CASE("a restarted entry applies the highest version", "[configuration]")
{
    cluster_fixture t(make_cluster_options());
    version_monitor versions(t);
    const auto version = change(t, 0, 0);
    CHECK(wait_in_force(t, versions, version));
    const bool outage = GENERATE(false, true);
    DYNAMIC_SECTION((outage ? "while the store is down" : "from the store"))
    {
        t.nodes.platform_faults({{"outage", outage}});
        t.nodes.process("entry-3").kill();
        versions.reset(2);
        t.nodes.start("entry-3");
        REQUIRE(t.nodes.wait_ready(2, 20s));
        CHECK(t.nodes.version(2) == version);
        const auto id = t.reserve(2);
        REQUIRE(t.nodes.wait_targets(2, 2, 20s));
        const auto r = t.submit_now(2, id, make_job("fresh", 2, 20));
        CHECK(r.state == "complete");
        CHECK(versions.reversions().empty());
        t.check_invariants();
    }
}

TEST_CASE("concurrent operators lose no accepted change", "[configuration]")
{
    constexpr std::size_t rounds = 12;
    cluster_fixture t(make_cluster_options());
    version_monitor versions(t);
    job_caller operators(t.loop, t.nodes.options().operator_token);
    auto rules = nlohmann::json::parse(t.nodes.options().rules);
    std::set<uint64_t> accepted;
    std::size_t conflicts = 0;
    std::size_t other_errors = 0;
    std::size_t pending = 0;
    for (std::size_t n = 0; n < rounds; ++n)
    {
        const auto base =
            accepted.empty() ? t.nodes.version(0) : *accepted.rbegin();
        run_until(t.loop, in_force_time,
                  [&] {
                      return versions.all_have(base, {0, 1, 2});
                  });
        for (std::size_t i = 0; i < entries; ++i)
        {
            http_call call;
            call.method = "PUT";
            call.url = t.nodes.entry_url(i) + "/v1/admin/rules";
            rules["patience"][0]["price_per_task"] = 1000 + n * entries + i;
            call.body = rules.dump();
            call.headers.push_back(
                {"If-Match", "\"" + std::to_string(base) + "\""});
            call.timeout = 10s;
            ++pending;
            operators.send(call,
                           [&](const caller_reply& r)
                           {
                               --pending;
                               if (r.status / 100 == 2)
                               {
                                   accepted.insert(nlohmann::json::parse(r.body)
                                                       .at("version")
                                                       .get<uint64_t>());
                                   return;
                               }
                               (r.code == "configuration_conflict"
                                    ? conflicts
                                    : other_errors) += 1;
                           });
        }
        REQUIRE(run_until(t.loop, 30s, [&] { return pending == 0; }));
    }
    CHECK(accepted.size() == rounds);
    CHECK(conflicts == rounds * (entries - 1));
    CHECK(other_errors == 0);
    const auto r = t.nodes.admin(0, "GET", "/v1/admin/configuration/history");
    std::set<uint64_t> history;
    const auto document = nlohmann::json::parse(r.body);
    for (const auto& record : document.at("history"))
    {
        history.insert(record.at("version").get<uint64_t>());
    }
    INFO(r.body);
    for (const auto version : accepted)
    {
        CHECK(history.count(version) == 1);
    }
    CHECK(versions.reversions().empty());
}
