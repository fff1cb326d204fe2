#include <agatebank/core/route_table.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;

namespace
{

route make_route(const char* name, const char* host, const char* prefix)
{
    route r;
    r.name = route_name(name);
    r.host = host;
    r.path_prefix = prefix;
    return r;
}

} // namespace

TEST_CASE("route_table: finds the longest matching prefix of the host")
{
    const route_table table(config_version(3),
                            {make_route("short", "a.example", "/x/"),
                             make_route("long", "a.example", "/x/y/"),
                             make_route("other", "b.example", "/x/")});
    struct row
    {
        const char* host;
        const char* path;
        const char* expected;
    };
    const row rows[] = {{"a.example", "/x/1", "short"},
                        {"a.example", "/x/y/1", "long"},
                        {"a.example", "/x/y", "short"},
                        {"b.example", "/x/y/1", "other"},
                        {"a.example", "/z/1", ""},
                        {"c.example", "/x/1", ""},
                        {"", "", ""}};
    for (const auto& it : rows)
    {
        INFO(it.host << it.path);
        const auto* r = table.find(it.host, it.path);
        CHECK((r == nullptr ? "" : r->name.value()) == it.expected);
    }
}
