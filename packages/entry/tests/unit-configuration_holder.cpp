#include <agatebank/core/configuration_document.hpp>
#include <agatebank/entry/configuration_holder.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace agatebank;

namespace
{

std::shared_ptr<const configuration> make_version(uint64_t version)
{
    configuration c;
    c.version = config_version(version);
    return std::make_shared<const configuration>(std::move(c));
}

// A configuration holder whose reads of the store are answered by the test.
struct holder_fixture
{
    event_loop loop;
    hybrid_clock clock{[]
                       {
                           return uint64_t{1};
                       }};
    event_ring events{clock, "entry", 1000};
    configuration_loaded waiting;
    configuration_holder holder{loop, events, [](const log_record&) {},
                                [this](configuration_loaded done)
                                { waiting = std::move(done); },
                                std::chrono::hours(1)};
};

} // namespace

// Guards against an older configuration replacing a newer one when the store
// lags behind a peer, or a peer behind the store.
TEST_CASE("configuration_holder: the version never decreases")
{
    rc::prop("documents of store and peers in any order",
             [](const std::vector<std::pair<bool, uint8_t>>& steps)
             {
                 holder_fixture f;
                 uint64_t highest = 0;
                 f.holder.on_change(
                     [&] { RC_ASSERT(f.holder.version().value() > highest); });
                 for (const auto& [from_store, version] : steps)
                 {
                     const auto c = make_version(version);
                     if (from_store)
                     {
                         f.holder.refresh();
                         f.waiting(c);
                     }
                     else
                     {
                         f.holder.apply_text_if_newer(to_text(*c), "peer");
                     }
                     highest = std::max<uint64_t>(highest, version);
                     RC_ASSERT(f.holder.version().value() == highest);
                 }
             });
}

// Guards against an entry that becomes ready before it has received a
// configuration: readiness depends on known().
TEST_CASE("configuration_holder: not known before the store or a peer answers")
{
    holder_fixture f;
    f.holder.start();
    CHECK_FALSE(f.holder.known());
    SECTION("an empty store makes it known")
    {
        f.waiting(std::shared_ptr<const configuration>());
        CHECK(f.holder.known());
    }
    SECTION("a failed read does not")
    {
        f.waiting(fail(errc::platform_unreachable, "test"));
        CHECK_FALSE(f.holder.known());
        CHECK(f.holder.shared_view() == nullptr);
    }
    SECTION("a peer's document makes it known")
    {
        f.holder.apply_text_if_newer(to_text(*make_version(3)), "peer");
        CHECK(f.holder.known());
        CHECK(f.holder.version() == config_version(3));
    }
    SECTION("an invalid document of a peer does not")
    {
        f.holder.apply_text_if_newer("{", "peer");
        CHECK_FALSE(f.holder.known());
    }
}
