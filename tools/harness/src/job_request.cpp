#include <agatebank/harness/job_request.hpp>

#include <nlohmann/json.hpp>

namespace agatebank
{

std::string to_body(const job_request& job)
{
    auto tasks = nlohmann::json::array();
    for (const auto& t : job.tasks)
    {
        tasks.push_back(
            {{"payload", {{"run_ms", t.run_ms}, {"echo", t.echo}}}});
    }
    return nlohmann::json{{"service", job.service},
                          {"patience", job.patience},
                          {"idempotent", job.idempotent},
                          {"tasks", tasks}}
        .dump();
}

} // namespace agatebank
