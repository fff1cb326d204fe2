#include <agatebank/http/http_message.hpp>

namespace agatebank
{

namespace
{

const std::string&
find_or_empty(const std::map<std::string, std::string>& values,
              const std::string& name)
{
    static const std::string empty;
    const auto it = values.find(name);
    return it == values.end() ? empty : it->second;
}

} // namespace

const std::string& http_request::header(const std::string& name) const
{
    return find_or_empty(headers, name);
}

const std::string& http_request::parameter(const std::string& name) const
{
    return find_or_empty(query, name);
}

http_response json_response(unsigned status, const nlohmann::json& body)
{
    http_response r;
    r.status = status;
    r.content_type = "application/json";
    r.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return r;
}

http_response problem_response(unsigned status, const failure& f,
                               execution_status execution)
{
    const auto code = static_cast<errc>(f.code.value());
    const bool is_project_code = f.code.category() == error_category();
    auto r = json_response(
        status, {{"type", "about:blank"},
                 {"title", f.code.message()},
                 {"status", status},
                 {"code", is_project_code ? error_word(code) : "system"},
                 {"number", f.code.value()},
                 {"step", f.step},
                 {"peer", f.peer},
                 {"detail", f.detail},
                 {"run", to_word(execution)}});
    r.content_type = "application/problem+json";
    return r;
}

} // namespace agatebank
