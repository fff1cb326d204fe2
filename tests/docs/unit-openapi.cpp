#include <agatebank/core/json_reader.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <string>

using namespace agatebank;

TEST_CASE("docs: openapi.json has valid references and unique operation ids")
{
    std::ifstream in(AGATEBANK_DOCS "/openapi.json");
    const std::string text{std::istreambuf_iterator<char>(in),
                           std::istreambuf_iterator<char>()};
    const auto document = parse_json(text, "test", "openapi.json");
    REQUIRE(document);

    // Every reference must resolve and every operation id must be unique.
    std::set<std::string> operations;
    const std::function<void(const nlohmann::json&)> visit =
        [&](const nlohmann::json& node)
    {
        if (node.is_object() && node.contains("$ref"))
        {
            const auto target = node.at("$ref").get<std::string>().substr(1);
            INFO(target);
            CHECK(document->contains(nlohmann::json::json_pointer(target)));
        }
        if (node.is_object() && node.contains("operationId"))
        {
            CHECK(operations.insert(node.at("operationId")).second);
        }
        for (const auto& child : node)
        {
            if (child.is_structured())
            {
                visit(child);
            }
        }
    };
    visit(*document);
    CHECK(operations.size() == 20);
}
