#include "task_request.hpp"

#include <nlohmann/json.hpp>

namespace agatebank
{

task_work parse_work(const std::string& payload)
{
    const auto document = nlohmann::json::parse(payload, nullptr, false);
    task_work w{{}, payload};
    if (!document.is_object())
    {
        return w;
    }
    const auto run = document.find("run_ms");
    if (run != document.end() && run->is_number())
    {
        w.run_time = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(run->get<double>()));
    }
    const auto echo = document.find("echo");
    if (echo != document.end() && echo->is_string())
    {
        w.answer = echo->get<std::string>();
    }
    return w;
}

} // namespace agatebank
