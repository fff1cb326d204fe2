#include "fault_mode.hpp"

#include <agatebank/core/json_reader.hpp>

#include <array>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_mode = "target.mode";
constexpr double max_factor = 1000.0;

constexpr std::array<std::pair<fault_mode, const char*>, 9> mode_names{{
    {fault_mode::ok, "ok"},
    {fault_mode::hang, "hang"},
    {fault_mode::fail_fast, "fail_fast"},
    {fault_mode::garbage, "garbage"},
    {fault_mode::half_answer_then_close, "half_answer_then_close"},
    {fault_mode::unframed_answer, "unframed_answer"},
    {fault_mode::close_before_read, "close_before_read"},
    {fault_mode::close_after_head, "close_after_head"},
    {fault_mode::close_after_body, "close_after_body"},
}};

} // namespace

bool is_raw(fault_mode mode) noexcept
{
    return mode >= fault_mode::garbage;
}

const char* to_word(fault_mode mode) noexcept
{
    for (const auto& w : mode_names)
    {
        if (w.first == mode)
        {
            return w.second;
        }
    }
    return "ok";
}

result<fault_mode> parse_fault_mode(const std::string& word)
{
    for (const auto& w : mode_names)
    {
        if (w.second == word)
        {
            return w.first;
        }
    }
    return fail(errc::request_malformed, step_mode, {}, "unknown mode " + word);
}

result<target_faults> parse_target_faults(const std::string& body,
                                          const target_faults& current)
{
    const auto document = parse_json(body, step_mode, {});
    if (!document)
    {
        return tl::unexpected(document.error());
    }
    target_faults f = current;
    std::string word = to_word(f.mode);
    json_errors errors;
    json_fields fields(*document, "", errors);
    fields.optional_text("mode", word);
    fields.optional_double("slow_factor", f.slow_factor, 0.0, max_factor);
    fields.optional_double("straggler_share", f.straggler_share, 0.0, 1.0);
    fields.optional_double("straggler_factor", f.straggler_factor, 0.0,
                           max_factor);
    fields.optional_boolean("announce", f.announce);
    fields.finish();
    if (!errors.empty())
    {
        return fail(errc::request_malformed, step_mode, {}, errors.first());
    }
    const auto mode = parse_fault_mode(word);
    if (!mode)
    {
        return tl::unexpected(mode.error());
    }
    f.mode = *mode;
    return f;
}

} // namespace agatebank
