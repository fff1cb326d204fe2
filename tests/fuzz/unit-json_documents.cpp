#include "allocation_meter.hpp"
#include "mutation.hpp"
#include <agatebank/agent/agent_settings.hpp>
#include <agatebank/core/configuration_document.hpp>
#include <agatebank/core/inventory_csv.hpp>
#include <agatebank/core/json_reader.hpp>
#include <agatebank/entry/entry_settings.hpp>
#include <agatebank/entry/job_document.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <platform/job_decoder.hpp>
#include <platform/route_decoder.hpp>
#include <platform/target_announcements.hpp>
#include <platform/target_lists.hpp>
#include <string>

using namespace agatebank;

namespace
{

constexpr unsigned seed = 20261204;
constexpr int rounds_per_file = 3000;
constexpr std::size_t max_allocation = 1U << 20U;

template <class T>
std::error_code code_of(const result<T>& r)
{
    return r ? std::error_code() : r.error().code;
}

std::error_code read_job(const std::string& text)
{
    return code_of(parse_job(text, {}));
}

std::error_code read_configuration(const std::string& text)
{
    const auto c = parse_configuration(text, "peer");
    if (c)
    {
        // A valid configuration must stay valid when it is written and read
        // again.
        REQUIRE(parse_configuration(to_text(*c), "peer"));
    }
    return code_of(c);
}

std::error_code read_settings(const std::string& text)
{
    const auto document = parse_json(text, "step", "file");
    if (!document)
    {
        return document.error().code;
    }
    const auto entry = parse_entry_settings(*document, "file");
    const auto agent = parse_agent_settings(*document, "file");
    CHECK_FALSE((entry && agent));
    return entry || agent ? std::error_code() : code_of(entry);
}

std::error_code read_csv(const std::string& text)
{
    return code_of(parse_inventory_csv(text, "peer"));
}

std::error_code read_announcement(const std::string& text)
{
    return code_of(platform::decode_announcement(
        "i-1", text, "peer", {"10.0.0.1:80", 1'800'000'000'000}));
}

std::error_code read_lists(const std::string& text)
{
    return platform::decode_lists(text)
               ? std::error_code()
               : make_error_code(errc::message_malformed);
}

std::error_code read_platform_job(const std::string& text)
{
    return code_of(platform::decode_job(text, "peer"));
}

std::error_code read_routes(const std::string& text)
{
    return code_of(platform::decode_routes(text));
}

struct reader_row
{
    const char* folder;
    std::function<std::error_code(const std::string&)> read;
};

const reader_row readers[] = {{"job", read_job},
                              {"configuration", read_configuration},
                              {"settings", read_settings},
                              {"csv", read_csv},
                              {"announcement", read_announcement},
                              {"lists", read_lists},
                              {"platform_job", read_platform_job},
                              {"routes", read_routes}};

bool is_expected(const std::error_code& ec)
{
    return ec == errc::request_malformed || ec == errc::too_many_tasks ||
           ec == errc::message_malformed || ec == errc::job_unsupported ||
           ec == errc::settings_invalid || ec == errc::configuration_invalid;
}

} // namespace

TEST_CASE("fuzz: documents of the corpus are valid")
{
    for (const auto& row : readers)
    {
        for (const auto& text : read_corpus(row.folder))
        {
            INFO(row.folder << ": " << text);
            CHECK_FALSE(row.read(text));
        }
    }
}

TEST_CASE("fuzz: mutated documents are accepted or refused with a known error")
{
    for (const auto& row : readers)
    {
        SECTION(row.folder)
        {
            mutator mutate(seed);
            std::size_t refused = 0;
            allocation_meter::reset();
            for (const auto& text : read_corpus(row.folder))
            {
                for (int i = 0; i < rounds_per_file; ++i)
                {
                    const auto changed = mutate(text);
                    const auto ec = row.read(changed);
                    refused += ec ? 1 : 0;
                    if (ec && !is_expected(ec))
                    {
                        FAIL(ec.message() << " for " << changed);
                    }
                }
            }
            CHECK(refused > rounds_per_file / 2);
            CHECK(allocation_meter::largest() < max_allocation);
        }
    }
}

TEST_CASE("fuzz: malicious documents are refused")
{
    struct row
    {
        const char* name;
        std::string text;
    };
    const std::string deep(200000, '[');
    const row rows[] = {{"deep arrays", deep},
                        {"deep objects",
                         []
                         {
                             std::string out;
                             for (int i = 0; i < 50000; ++i)
                             {
                                 out += "{\"a\":";
                             }
                             return out;
                         }()},
                        {"deep in a field", "{\"service\":" + deep},
                        {"invalid UTF-8", "{\"service\":\"\xc3\x28\"}"},
                        {"number out of range", "{\"service\":1e999}"},
                        {"empty", ""},
                        {"null", "null"},
                        {"zero byte", std::string("{}\0", 3)},
                        {"field twice",
                         R"({"service":"a","service":"b","patience":"now",)"
                         R"("tasks":[{"payload":"x"}]})"}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            CHECK(is_expected(read_job(row.text)));
            CHECK(is_expected(read_configuration(row.text)));
            CHECK(is_expected(read_settings(row.text)));
        }
    }
}
