#include <agatebank/core/json_reader.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace agatebank;

TEST_CASE("json_reader: errors state the path, the value found and the value "
          "expected")
{
    struct row
    {
        const char* document;
        const char* error;
    };
    const row rows[] = {
        {R"({"name":"a","port":7})", ""},
        {R"({"name":"a","port":70000})",
         "at /port: found 70000, expected a whole number from 1 to 65535"},
        {R"({"name":"a","port":1.5})",
         "at /port: found 1.5, expected a whole number from 1 to 65535"},
        {R"({"name":"a","port":18446744073709551615})",
         "at /port: found 18446744073709551615, expected a whole number "
         "from 1 to 65535"},
        {R"({"port":7})", "at /name: found nothing, expected a value"},
        {R"({"name":"","port":7})",
         "at /name: found \"\", expected a non-empty string"},
        {R"({"name":"a","port":7,"x/y":1})",
         "at /x~1y: found an unknown field, expected no such field"},
        {R"([])", "at /: found [], expected an object"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.document)
        {
            const auto document = parse_json(r.document, "test", "");
            REQUIRE(document);
            json_errors errors;
            json_fields fields(*document, "", errors);
            std::string name;
            int port = 0;
            fields.text("name", name);
            fields.number("port", port, {1, 65535});
            fields.finish();
            CHECK(errors.first() == r.error);
        }
    }
}

TEST_CASE("json_reader: malformed or deeply nested text is an error")
{
    const std::string rows[] = {"", "{", "{\"a\":\"\xff\"}",
                                std::string(100000, '['), "{\"a\":1e999}"};
    for (const auto& text : rows)
    {
        SECTION(text.substr(0, 8))
        {
            const auto got = parse_json(text, "job.parse", "caller");
            REQUIRE(!got);
            CHECK(got.error().code == errc::request_malformed);
            CHECK(got.error().step == "job.parse");
        }
    }
}

// Guards against text that keeps a process busy for minutes: the time to read a
// list grew with the square of its length.
TEST_CASE("json_reader: long lists of objects are read in linear time")
{
    std::string text = "[";
    for (int i = 0; i < 200'000; ++i)
    {
        text += "{},";
    }
    text += "{}]";
    const auto began = std::chrono::steady_clock::now();
    const auto document = parse_json(text, "test", "");
    const auto took = std::chrono::steady_clock::now() - began;
    REQUIRE(document);
    CHECK(document->size() == 200'001);
    CHECK(took < std::chrono::seconds(10));
}

// Guards against log lines and answers as long as the text that was refused.
TEST_CASE("json_reader: the description of an error is short")
{
    const std::string rows[] = {"\"" + std::string(1'000'000, 'a'),
                                "{\"" + std::string(1'000'000, 'a') + "\" 1"};
    for (const auto& text : rows)
    {
        const auto got = parse_json(text, "test", "");
        REQUIRE(!got);
        CHECK(got.error().detail.size() <= 300);
    }
}

TEST_CASE("json_reader: nesting is limited, and field names are unique in "
          "their object")
{
    struct row
    {
        const char* text;
        bool valid;
    };
    const row rows[] = {{R"([[[1]]])", true},
                        {R"([[[[]]]])", false},
                        {R"({"a":{"b":[]}})", true},
                        {R"({"a":{"b":[{}]}})", false},
                        {R"([[],[[]],[[1],[2]],{}])", true},
                        {R"({"a":1,"b":{"a":1}})", true},
                        {R"([{"a":1},{"a":1}])", true},
                        {R"({"a":1,"a":1})", false},
                        {R"({"a":{"b":1},"c":{"b":1,"b":2}})", false}};
    for (const auto& it : rows)
    {
        INFO(it.text);
        CHECK(parse_json(it.text, "test", "", 3).has_value() == it.valid);
    }
}
