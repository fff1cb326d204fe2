#include "admin_problem.hpp"

#include <agatebank/core/configuration_document.hpp>

#include <array>

namespace agatebank::detail
{

namespace
{

struct status_row
{
    errc code;
    unsigned status;
};

constexpr std::array status_rows{
    status_row{errc::request_malformed, 400},
    status_row{errc::unauthorised, 401},
    status_row{errc::forbidden, 403},
    status_row{errc::not_found, 404},
    status_row{errc::configuration_conflict, 409},
    status_row{errc::configuration_invalid, 422},
    status_row{errc::configuration_unknown, 503},
    status_row{errc::platform_unreachable, 503},
    status_row{errc::platform_refused, 503},
    status_row{errc::platform_outcome_unknown, 504},
};

constexpr unsigned status_unexpected = 500;
constexpr unsigned status_unavailable = 503;
constexpr const char* retry_after_s = "2";

unsigned find_status(const failure& f)
{
    for (const auto& row : status_rows)
    {
        if (f.code == row.code)
        {
            return row.status;
        }
    }
    return status_unexpected;
}

nlohmann::json to_json(const configuration_conflict& c)
{
    auto changes = nlohmann::json::array();
    for (const auto& record : c.changes)
    {
        changes.push_back(agatebank::to_json(record));
    }
    return {{"version", c.version.value()},
            {"change_id", c.change_id},
            {"changed_by", c.changed_by},
            {"changes", std::move(changes)},
            {"difference", agatebank::to_json(c.items)}};
}

} // namespace

http_response admin_problem(const failure& f)
{
    const auto status = find_status(f);
    const auto execution = f.code == errc::platform_outcome_unknown
                               ? execution_status::may_have_run
                               : execution_status::not_run;
    auto r = problem_response(status, f, execution);
    if (status == status_unavailable)
    {
        r.headers.push_back({"Retry-After", retry_after_s});
    }
    if (f.code == errc::unauthorised)
    {
        r.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return r;
}

http_response admin_problem(const change_failure& f,
                            const std::string& change_id)
{
    auto r = admin_problem(f.reason);
    auto body = nlohmann::json::parse(r.body);
    body["change_id"] = change_id;
    if (f.conflict)
    {
        body["conflict"] = to_json(*f.conflict);
    }
    r.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return r;
}

} // namespace agatebank::detail
