#include <agatebank/entry/job_settlement.hpp>
#include <agatebank/http/http_message.hpp>

#include <glib.h>

namespace agatebank
{

namespace
{

using nlohmann::json;

// Answers are arbitrary bytes, whereas JSON text is UTF-8: an answer that is
// not valid UTF-8 is encoded as Base64.
json to_json(const std::string& answer)
{
    const auto size = static_cast<gssize>(answer.size());
    if (g_utf8_validate(answer.data(), size, nullptr) == TRUE)
    {
        return {{"body", answer}};
    }
    char* text = g_base64_encode(reinterpret_cast<const guchar*>(answer.data()),
                                 answer.size());
    json out{{"base64", text}};
    g_free(text);
    return out;
}

json complete_json(const job_settlement& s)
{
    auto answers = json::array();
    for (const auto& it : s.answers)
    {
        answers.push_back(to_json(it));
    }
    return {{"state", "complete"},
            {"run", to_word(execution_status::ran)},
            {"price", s.charged.value()},
            {"answers", std::move(answers)}};
}

json failed_json(const job_settlement& s)
{
    const auto problem = problem_response(200, s.reason, s.status);
    return {{"state", "failed"},
            {"run", to_word(s.status)},
            {"price", 0},
            {"problem", json::parse(problem.body)}};
}

} // namespace

json to_json(const job_settlement& s, const std::string& id)
{
    auto out = s.complete ? complete_json(s) : failed_json(s);
    out["submission"] = id;
    out["patience"] = s.patience.value();
    out["response_ms"] =
        std::chrono::duration<double, std::milli>(s.response_time).count();
    out["messages"] = s.messages;
    return out;
}

} // namespace agatebank
