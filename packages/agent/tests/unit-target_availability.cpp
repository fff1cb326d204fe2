#include <agatebank/agent/target_availability.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;

namespace
{

const service_name booking("pall-booking");

agent_configuration active(uint64_t version)
{
    return {
        config_version(version), true, target_state::active, {booking}, 4, 1};
}

target_availability available_target()
{
    target_availability availability(target_name("t-1"));
    availability.announce(
        {{booking, service_name("other")}, 8, "http://127.0.0.1:1"});
    availability.configure(active(5));
    return availability;
}

} // namespace

TEST_CASE("target_availability: accepts what both announcement and "
          "configuration allow")
{
    const auto availability = available_target();
    CHECK(availability.refusal() == nullptr);
    CHECK(availability.report().accepts_work);
    CHECK(availability.report().slots == 4);
    CHECK(availability.report().services == std::vector<service_name>{booking});
    start_order order;
    order.service = booking;
    CHECK(availability.refusal(order) == nullptr);
    order.service = service_name("other");
    REQUIRE(availability.refusal(order) != nullptr);
    CHECK(availability.refusal(order)->code == errc::service_unknown);
}

TEST_CASE("target_availability: accepts no work without slots, services or "
          "permission")
{
    struct row
    {
        const char* name;
        std::function<void(target_availability&)> change;
        const char* step;
    };
    const auto configured = [](auto edit)
    {
        return [edit](target_availability& availability)
        {
            auto c = active(6);
            edit(c);
            CHECK(availability.configure(c));
        };
    };
    const row rows[] = {
        {"withdrawn", [](target_availability& g) { CHECK(g.withdraw()); },
         "agent.target_withdrawn"},
        {"draining",
         configured([](auto& c) { c.state = target_state::draining; }),
         "agent.draining"},
        {"stopped",
         configured([](auto& c) { c.state = target_state::stopped; }),
         "agent.draining"},
        {"removed", configured([](auto& c) { c.in_inventory = false; }),
         "agent.inventory"},
        {"leaving", [](target_availability& g) { CHECK(g.set_leaving()); },
         "agent.leaving"},
        {"no slots", configured([](auto& c) { c.slots = 0; }), nullptr},
        {"no services", configured([](auto& c) { c.services.clear(); }),
         nullptr},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            auto availability = available_target();
            r.change(availability);
            CHECK_FALSE(availability.report().accepts_work);
            CHECK((availability.refusal() != nullptr) == (r.step != nullptr));
            if (r.step != nullptr)
            {
                CHECK(std::string(availability.refusal()->step) == r.step);
            }
        }
    }
}

TEST_CASE("target_availability: a configuration that is not newer is ignored")
{
    auto availability = available_target();
    auto lower = active(4);
    lower.state = target_state::stopped;
    CHECK_FALSE(availability.configure(lower));
    lower.version = config_version(5);
    CHECK_FALSE(availability.configure(lower));
    CHECK(availability.version() == config_version(5));
    CHECK(availability.report().accepts_work);
}

TEST_CASE(
    "target_availability: an invalid announcement is refused with its error")
{
    struct row
    {
        const char* text;
        const char* error;
    };
    const row rows[] = {
        {R"({"services":["a"],"slots":8,"url":"http://127.0.0.1:1/"})", ""},
        {R"({"services":[],"slots":8,"url":"http://127.0.0.1:1"})",
         "at /services: found 0 services, expected 1 to 64 services"},
        {R"({"services":["a",""],"slots":8,"url":"http://127.0.0.1:1"})",
         "at /services/1: found 0 bytes, expected 1 to 128 bytes"},
        {R"({"services":["a"],"slots":0,"url":"http://127.0.0.1:1"})",
         "at /slots: found 0, expected a whole number from 1 to 512"},
        {R"({"services":["a"],"slots":8,"url":"ftp://127.0.0.1"})",
         "at /url: found \"ftp://127.0.0.1\", expected an http URL with a "
         "host"},
        {R"({"services":["a"],"slots":8,"url":"http://127.0.0.1:1","x":1})",
         "at /x: found an unknown field, expected no such field"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.text)
        {
            const auto got = parse_announcement(r.text, "target");
            CHECK((got ? std::string() : got.error().detail) == r.error);
            if (got)
            {
                CHECK(got->url == "http://127.0.0.1:1");
            }
        }
    }
    CHECK_FALSE(parse_announcement("{", "target"));
}
