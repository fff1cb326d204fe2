#include <agatebank/core/configuration_document.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/platform/configuration_store.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>

using namespace agatebank;

namespace
{

// A table service over HTTP that injects the faults that a test chooses.
class fake_table
{
  public:
    explicit fake_table(event_loop& loop) : server_(loop, {})
    {
        server_.route("GET", "/t/{key}",
                      [this](const auto&, auto respond) { get(respond); });
        server_.route("PUT", "/t/{key}",
                      [this](const auto& request, auto respond)
                      { put(request, respond); });
        port_ = server_.listen().value();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_) + "/t";
    }

    configuration document() const
    {
        return parse_configuration(body, "test").value();
    }

    void set(const configuration& c)
    {
        body = to_text(c);
        ++tag;
    }

    std::string body;
    unsigned tag = 0;
    unsigned refuse = 0;       ///< calls to answer with 503
    unsigned lose_replies = 0; ///< writes to carry out and not answer
    unsigned lose_writes = 0;  ///< writes to neither carry out nor answer
    unsigned fail_writes = 0;  ///< writes to carry out and answer with 502
    std::function<void()> before_write; ///< called once, before the next write

  private:
    std::string etag() const
    {
        return "\"" + std::to_string(tag) + "\"";
    }

    // Uses up one of the faults that are left, if any.
    bool take_fault(unsigned& left)
    {
        return left > 0 && left-- > 0;
    }

    void get(const http_responder& respond)
    {
        if (take_fault(refuse))
        {
            respond({503, "", "", {}});
        }
        else if (body.empty())
        {
            respond({404, "", "", {}});
        }
        else
        {
            respond({200, "application/json", body, {{"ETag", etag()}}});
        }
    }

    void put(const http_request& request, const http_responder& respond)
    {
        if (before_write)
        {
            std::exchange(before_write, nullptr)();
        }
        if (take_fault(refuse))
        {
            respond({503, "", "", {}});
            return;
        }
        if (take_fault(lose_writes))
        {
            return;
        }
        const bool allowed = body.empty()
                                 ? request.header("if-none-match") == "*"
                                 : request.header("if-match") == etag();
        if (!allowed)
        {
            respond({412, "", "", {}});
            return;
        }
        body = request.body;
        ++tag;
        if (take_fault(fail_writes))
        {
            respond({502, "", "", {}});
        }
        else if (!take_fault(lose_replies))
        {
            respond({200, "", "", {{"ETag", etag()}}});
        }
    }

    http_server server_;
    uint16_t port_ = 0;
};

// For tests with lost replies, so that the store retries soon. A call that is
// merely slow is then retried too, which these tests allow.
constexpr duration short_timeout = std::chrono::milliseconds(150);

configuration_store_options fast_options(uint64_t seed)
{
    configuration_store_options o;
    o.min_read_interval = std::chrono::milliseconds(1);
    o.initial_retry_delay = std::chrono::milliseconds(2);
    o.max_retry_delay = std::chrono::milliseconds(20);
    o.change_timeout = std::chrono::seconds(20);
    o.seed = seed;
    return o;
}

// The configuration store of one entry, with its own HTTP client.
struct entry_fixture
{
    entry_fixture(event_loop& loop, const fake_table& fake,
                  const configuration_store_options& options,
                  duration timeout = std::chrono::seconds(5))
        : http(loop)
        , table(http, fake.url(), timeout)
        , store(loop, table, options, [](const log_record&) {})
    {
    }

    http_client http;
    table_client table;
    configuration_store store;
};

configuration make_document(uint64_t version)
{
    configuration c;
    for (uint64_t i = 1; i <= version; ++i)
    {
        c = make_next_version(c, {{}, "first" + std::to_string(i), "z", ""});
    }
    for (const char* name : {"t-1", "t-2"})
    {
        c.inventory.push_back({target_name(name),
                               worker_name(name),
                               rack_name("r"),
                               failure_domain_name("d"),
                               0,
                               0,
                               0,
                               8,
                               {}});
    }
    return c;
}

configuration_change make_change(const char* target, target_state state,
                                 const std::string& id)
{
    configuration_change change;
    change.edit = set_target_state(target_name(target), state);
    change.change_id = id;
    change.changed_by = operator_name("aoki");
    return change;
}

using outcome = tl::expected<accepted_change, change_failure>;

outcome run_change(event_loop& loop, configuration_store& store,
                   configuration_change change)
{
    std::optional<outcome> got;
    store.change(std::move(change),
                 [&](const outcome& o)
                 {
                     got = o;
                     loop.quit();
                 });
    if (!got)
    {
        loop.run();
    }
    return *got;
}

} // namespace

// A lost reply or an outage must neither lose a change nor let a retry write it
// a second time.
TEST_CASE(
    "configuration_store: a change is written exactly once despite faults")
{
    struct row
    {
        const char* name;
        unsigned refuse, lose_replies, lose_writes, fail_writes;
    };
    const row rows[] = {{"no fault", 0, 0, 0, 0},
                        {"outage before the read", 1, 0, 0, 0},
                        {"longer outage", 7, 0, 0, 0},
                        {"reply lost", 0, 1, 0, 0},
                        {"write lost", 0, 0, 2, 0},
                        {"write carried out, then server error", 0, 0, 0, 1},
                        {"outage and reply lost", 3, 1, 0, 0}};
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            event_loop loop;
            fake_table fake(loop);
            fake.set(make_document(3));
            fake.refuse = r.refuse;
            fake.lose_replies = r.lose_replies;
            fake.lose_writes = r.lose_writes;
            fake.fail_writes = r.fail_writes;
            entry_fixture entry(loop, fake, fast_options(1), short_timeout);
            const auto got =
                run_change(loop, entry.store,
                           make_change("t-1", target_state::stopped, "mine"));
            REQUIRE(got);
            CHECK(got->version == config_version(4));
            CHECK(got->written);
            const auto document = fake.document();
            CHECK(document.version == config_version(4));
            CHECK(document.history.back().change_id == "mine");
            CHECK(document.history.back().summary == "target states: 1 added");
        }
    }
}

TEST_CASE("configuration_store: the first change creates the document")
{
    event_loop loop;
    fake_table fake(loop);
    entry_fixture entry(loop, fake, fast_options(1));
    std::error_code loaded;
    entry.store.load([&](const auto& r) { loaded = r.error().code; });
    auto change = make_change("t-1", target_state::stopped, "mine");
    change.edit = replace_inventory(make_document(0).inventory);
    change.base = std::make_shared<const configuration>();
    const auto got = run_change(loop, entry.store, change);
    REQUIRE(got);
    CHECK(loaded == errc::configuration_unknown);
    CHECK(fake.document().version == config_version(1));
    CHECK(fake.document().inventory.size() == 2);
}

TEST_CASE("configuration_store: a change that is refused writes nothing")
{
    struct row
    {
        const char* name;
        const char* target;
        errc code;
        const char* other_target; ///< that another operator changed, or null
        bool require_base;        ///< require the version of the base
    };
    const row rows[] = {
        {"no such target", "t-9", errc::not_found, nullptr, false},
        {"race on the same part", "t-1", errc::configuration_conflict, "t-1",
         false},
        {"any race when the version is required", "t-1",
         errc::configuration_conflict, "t-2", true},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            event_loop loop;
            fake_table fake(loop);
            const auto base =
                std::make_shared<const configuration>(make_document(3));
            auto now = *base;
            if (r.other_target != nullptr)
            {
                now.target_states[target_name(r.other_target)] =
                    target_state::draining;
                now = make_next_version(now, {{}, "theirs", "sato", "x"});
            }
            fake.set(now);
            auto change = make_change(r.target, target_state::stopped, "mine");
            change.base = base;
            if (r.require_base)
            {
                change.required_version = base->version;
            }
            entry_fixture entry(loop, fake, fast_options(1));
            const auto got = run_change(loop, entry.store, change);
            REQUIRE_FALSE(got);
            CHECK(got.error().reason.code == r.code);
            CHECK(fake.document() == now);
            REQUIRE(got.error().conflict.has_value() ==
                    (r.other_target != nullptr));
            if (r.other_target != nullptr)
            {
                const auto& conflict = *got.error().conflict;
                CHECK(conflict.version == config_version(4));
                CHECK(conflict.change_id == "theirs");
                CHECK(conflict.changed_by == "sato");
                REQUIRE(conflict.changes.size() == 1);
                REQUIRE(conflict.items.size() == 1);
                CHECK(conflict.items[0].path ==
                      "/target_states/" + std::string(r.other_target));
            }
        }
    }
}

TEST_CASE(
    "configuration_store: a change is retried after a race on another part")
{
    event_loop loop;
    fake_table fake(loop);
    const auto base = std::make_shared<const configuration>(make_document(3));
    fake.set(*base);
    fake.before_write = [&]
    {
        auto now = *base;
        now.target_states[target_name("t-2")] = target_state::draining;
        fake.set(make_next_version(now, {{}, "theirs", "sato", "x"}));
    };
    auto change = make_change("t-1", target_state::stopped, "mine");
    change.base = base;
    entry_fixture entry(loop, fake, fast_options(1));
    const auto got = run_change(loop, entry.store, change);
    REQUIRE(got);
    const auto document = fake.document();
    CHECK(document.version == config_version(5));
    CHECK(document.target_states.size() == 2);
}

// When a change times out, the error must tell whether it may have been
// written.
TEST_CASE(
    "configuration_store: a timed-out change reports if it may be written")
{
    struct row
    {
        const char* name;
        unsigned refuse, lose_replies;
        errc code;
    };
    const row rows[] = {
        {"nothing was sent", 1000000, 0, errc::platform_refused},
        {"a write was sent", 0, 1, errc::platform_outcome_unknown}};
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            event_loop loop;
            fake_table fake(loop);
            fake.set(make_document(3));
            fake.refuse = r.refuse;
            fake.lose_replies = r.lose_replies;
            auto options = fast_options(1);
            options.change_timeout = std::chrono::milliseconds(600);
            entry_fixture entry(loop, fake, options, std::chrono::seconds(1));
            // The table is down from 20 ms after the first write on.
            watch outage;
            fake.before_write = [&]
            {
                outage = loop.after(std::chrono::milliseconds(20),
                                    [&] { fake.refuse = 1000000; });
            };
            const auto got =
                run_change(loop, entry.store,
                           make_change("t-1", target_state::stopped, "mine"));
            REQUIRE_FALSE(got);
            CHECK(got.error().reason.code == r.code);
            CHECK(entry.store.reads_sent() < 400);
        }
    }
}

// An operator's tool repeats a request whose reply it did not receive.
TEST_CASE("configuration_store: a repeated change id is not applied again")
{
    event_loop loop;
    fake_table fake(loop);
    fake.set(make_document(3));
    entry_fixture entry(loop, fake, fast_options(1));
    const auto change = make_change("t-1", target_state::stopped, "mine");
    REQUIRE(run_change(loop, entry.store, change));
    const auto again = run_change(loop, entry.store, change);
    REQUIRE(again);
    CHECK(again->version == config_version(4));
    CHECK(fake.document().version == config_version(4));
    const auto same = run_change(
        loop, entry.store, make_change("t-1", target_state::stopped, "other"));
    REQUIRE(same);
    CHECK_FALSE(same->written);
    CHECK(fake.document().version == config_version(4));
}

// Guards against accepted changes that are missing from the document, and
// against changes in the document that were reported as failed. Two operators
// at two entries change the same two targets in a loop, while replies and
// writes are lost; each change is based on the document that the operator last
// read.
TEST_CASE("configuration_store: every change of racing operators is reported")
{
    constexpr unsigned changes_each = 25;
    event_loop loop;
    fake_table fake(loop);
    fake.set(make_document(1));
    struct racer
    {
        std::unique_ptr<entry_fixture> entry;
        std::shared_ptr<const configuration> last_read;
        unsigned changes_made = 0;
        unsigned conflicts = 0;
    };
    std::mt19937_64 random(20261204);
    std::vector<racer> racers(2);
    std::map<std::string, config_version> accepted;
    unsigned unfinished_racers = 2;
    std::function<void(unsigned)> make_next_change = [&](unsigned i)
    {
        auto& r = racers[i];
        if (r.changes_made == changes_each)
        {
            if (--unfinished_racers == 0)
            {
                loop.quit();
            }
            return;
        }
        const auto id =
            std::to_string(i) + "-" + std::to_string(r.changes_made++);
        auto change = make_change(random() % 2 == 0 ? "t-1" : "t-2",
                                  static_cast<target_state>(random() % 3), id);
        change.base = r.last_read;
        fake.lose_replies += random() % 5 == 0 ? 1U : 0U;
        fake.lose_writes += random() % 10 == 0 ? 1U : 0U;
        r.entry->store.change(
            change,
            [&, i, id](const outcome& got)
            {
                auto& me = racers[i];
                if (got)
                {
                    me.last_read = got->document;
                    if (got->written)
                    {
                        accepted[id] = got->version;
                    }
                    loop.defer([&, i] { make_next_change(i); });
                    return;
                }
                CHECK(got.error().reason.code == errc::configuration_conflict);
                CHECK(got.error().conflict->version > me.last_read->version);
                CHECK_FALSE(got.error().conflict->items.empty());
                ++me.conflicts;
                me.entry->store.load(
                    [&, i](const auto& document)
                    {
                        racers[i].last_read = *document;
                        loop.defer([&, i] { make_next_change(i); });
                    });
            });
    };
    for (unsigned i = 0; i < racers.size(); ++i)
    {
        racers[i].last_read =
            std::make_shared<const configuration>(fake.document());
        racers[i].entry = std::make_unique<entry_fixture>(
            loop, fake, fast_options(i), short_timeout);
    }
    make_next_change(0);
    make_next_change(1);
    loop.run();

    const auto document = fake.document();
    std::set<std::string> found;
    for (const auto& record : document.history)
    {
        found.insert(record.change_id);
        if (record.changed_by == "aoki")
        {
            REQUIRE(accepted.count(record.change_id) == 1);
            CHECK(accepted[record.change_id] == record.version);
        }
    }
    for (const auto& item : accepted)
    {
        CHECK(found.count(item.first) == 1);
    }
    CHECK(document.version.value() == accepted.size() + 1);
    CHECK(racers[0].conflicts + racers[1].conflicts > 0);
}

// A table that lost its latest versions, such as after a restore from a backup,
// holds a version lower than the base or no document. A write to it would make
// that loss final.
TEST_CASE("configuration_store: a table with an older version is not written")
{
    struct row
    {
        const char* name;
        bool empty;
    };
    const row rows[] = {{"lower version", false}, {"no document", true}};
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            event_loop loop;
            fake_table fake(loop);
            if (!r.empty)
            {
                fake.set(make_document(2));
            }
            auto change = make_change("t-1", target_state::stopped, "mine");
            change.base =
                std::make_shared<const configuration>(make_document(3));
            const auto body = fake.body;
            entry_fixture entry(loop, fake, fast_options(1));
            const auto got = run_change(loop, entry.store, change);
            REQUIRE_FALSE(got);
            CHECK(got.error().reason.code == errc::platform_refused);
            CHECK(fake.body == body);
        }
    }
}

TEST_CASE("configuration_store: an unchanged document is parsed once")
{
    event_loop loop;
    fake_table fake(loop);
    fake.set(make_document(2));
    entry_fixture entry(loop, fake, fast_options(1));
    const auto load = [&]
    {
        std::shared_ptr<const configuration> out;
        entry.store.load(
            [&](const auto& r)
            {
                out = *r;
                loop.quit();
            });
        loop.run();
        return out;
    };
    const auto first = load();
    CHECK(load() == first);
    fake.set(make_document(3));
    const auto second = load();
    CHECK(second != first);
    CHECK(second->version == config_version(3));
    CHECK(entry.store.reads_sent() == 3);
}

// Without a limit each of many callers would send its own read to the table.
TEST_CASE("configuration_store: the rate of reads is limited")
{
    constexpr unsigned loaders = 50;
    constexpr unsigned rounds = 4;
    event_loop loop;
    fake_table fake(loop);
    fake.set(make_document(2));
    auto options = fast_options(1);
    options.min_read_interval = std::chrono::milliseconds(100);
    entry_fixture entry(loop, fake, options);
    unsigned loaded = 0;
    std::function<void()> load = [&]
    {
        entry.store.load(
            [&](const auto& r)
            {
                CHECK(r.has_value());
                if (++loaded == rounds * loaders)
                {
                    loop.quit();
                }
                load();
            });
    };
    const auto began = loop.now();
    for (unsigned i = 0; i < loaders; ++i)
    {
        load();
    }
    loop.run();
    const auto intervals = (loop.now() - began) / options.min_read_interval + 1;
    CHECK(entry.store.reads_sent() >= rounds);
    CHECK(entry.store.reads_sent() <= static_cast<std::size_t>(intervals) + 1);
}
