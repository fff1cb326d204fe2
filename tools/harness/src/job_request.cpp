#include <agatebank/harness/job_request.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace agatebank
{

std::string to_body(const job_request& job)
{
    auto tasks = nlohmann::json::array();
    for (const auto& t : job.tasks)
    {
        tasks.push_back({{"payload", {{"run_ms", t.run_ms}, {"echo", t.echo}}},
                         {"run_time_ms", std::max<int64_t>(1, t.run_ms)}});
    }
    return nlohmann::json{{"service", job.service},
                          {"patience", job.patience},
                          {"idempotent", job.idempotent},
                          {"tasks", tasks}}
        .dump();
}

} // namespace agatebank
