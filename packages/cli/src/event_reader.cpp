#include "event_reader.hpp"

#include <agatebank/core/json_reader.hpp>

#include <optional>

namespace agatebank::detail
{

namespace
{

std::optional<event_kind> find_kind(const std::string& word)
{
    constexpr unsigned max_kinds = 256; // event_kind is one byte
    for (unsigned i = 0; i < max_kinds; ++i)
    {
        const auto kind = static_cast<event_kind>(i);
        if (word == to_word(kind))
        {
            return kind;
        }
    }
    return std::nullopt;
}

event read_event(const nlohmann::json& value, const std::string& path,
                 json_errors& errors)
{
    event e;
    std::string word;
    json_fields fields(value, path, errors);
    fields.number("wall_us", e.stamp.wall_us, {});
    fields.number("counter", e.stamp.counter, {0, UINT32_MAX});
    fields.text("kind", word);
    fields.optional_text("process", e.process);
    fields.optional_text("submission", e.submission);
    fields.optional_number("task", e.task, {-1, INT32_MAX});
    fields.optional_text("target", e.target);
    fields.optional_text("peer", e.peer);
    fields.optional_text("detail", e.detail);
    const auto kind = find_kind(word);
    if (!kind)
    {
        errors.add(path + "/kind", word, "an event kind");
    }
    e.kind = kind.value_or(e.kind);
    return e;
}

} // namespace

result<std::vector<event>> read_events(const nlohmann::json& body)
{
    std::vector<event> out;
    json_errors errors;
    json_fields fields(body, "", errors);
    fields.array("events",
                 [&](const nlohmann::json& value, const std::string& path)
                 { out.push_back(read_event(value, path, errors)); });
    if (!errors.empty())
    {
        return fail(errc::request_malformed, "timeline.read", {},
                    errors.first());
    }
    return out;
}

} // namespace agatebank::detail
