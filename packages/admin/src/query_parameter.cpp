#include "query_parameter.hpp"

#include <charconv>

namespace agatebank::detail
{

namespace
{

tl::unexpected<failure> malformed(const std::string& name,
                                  const std::string& found,
                                  const std::string& expected)
{
    return fail(errc::request_malformed, "admin.read_request", {},
                name + ": found \"" + found + "\", expected " + expected);
}

bool parse_number(std::string_view text, uint64_t& out)
{
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc() && stop == end;
}

} // namespace

result<std::optional<uint64_t>>
read_number(const http_request& request, const std::string& name, uint64_t max)
{
    const auto it = request.query.find(name);
    if (it == request.query.end() || it->second.empty())
    {
        return std::optional<uint64_t>();
    }
    uint64_t n = 0;
    if (!parse_number(it->second, n) || n > max)
    {
        return malformed(name, it->second,
                         "a whole number from 0 to " + std::to_string(max));
    }
    return std::optional<uint64_t>(n);
}

result<bool> read_flag(const http_request& request, const std::string& name)
{
    const auto& text = request.parameter(name);
    if (!text.empty() && text != "true" && text != "false")
    {
        return malformed(name, text, "true or false");
    }
    return text == "true";
}

result<std::optional<uint64_t>> read_if_match(const http_request& request)
{
    const auto& text = request.header("if-match");
    if (text.empty() || text == "*")
    {
        return std::optional<uint64_t>();
    }
    const bool quoted =
        text.size() > 2 && text.front() == '"' && text.back() == '"';
    uint64_t n = 0;
    if (!quoted ||
        !parse_number(std::string_view(text).substr(1, text.size() - 2), n))
    {
        return malformed("If-Match", text, "a version in double quotes");
    }
    return std::optional<uint64_t>(n);
}

} // namespace agatebank::detail
