#include <agatebank/core/json_reader.hpp>
#include <agatebank/entry/job_document.hpp>

namespace agatebank
{

namespace
{

constexpr const char* step_parse = "job.parse";

std::string to_payload(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

task_document read_task(const nlohmann::json& value, const std::string& path,
                        const job_limits& limits, json_errors& errors)
{
    task_document task;
    json_fields fields(value, path, errors);
    if (fields.has("payload"))
    {
        task.payload = to_payload(value["payload"]);
    }
    fields.optional_any("payload");
    duration declared{};
    fields.optional_milliseconds(
        "run_time_ms", declared,
        {1, std::chrono::duration_cast<std::chrono::milliseconds>(
                limits.max_declared_run_time)
                .count()});
    if (declared > duration::zero())
    {
        task.declared_run_time = declared;
    }
    fields.finish();
    return task;
}

} // namespace

result<job_document> parse_job(std::string_view text, const job_limits& limits)
{
    const auto document = parse_json(text, step_parse, {});
    if (!document)
    {
        return tl::unexpected(document.error());
    }
    json_errors errors;
    json_fields fields(*document, "", errors);
    job_document job;
    fields.text("service", job.service);
    fields.text("patience", job.patience);
    fields.optional_boolean("idempotent", job.idempotent);
    bool too_many = false;
    fields.array("tasks",
                 [&](const nlohmann::json& value, const std::string& path)
                 {
                     too_many = job.tasks.size() >= limits.max_tasks;
                     if (!too_many)
                     {
                         job.tasks.push_back(
                             read_task(value, path, limits, errors));
                     }
                 });
    fields.finish();
    if (too_many)
    {
        return fail(errc::too_many_tasks, step_parse, {},
                    "at most " + std::to_string(limits.max_tasks) +
                        " tasks per job");
    }
    if (errors.empty() && job.tasks.empty())
    {
        errors.add("/tasks", "no task", "at least one task");
    }
    if (!errors.empty())
    {
        return fail(errc::request_malformed, step_parse, {}, errors.first());
    }
    return job;
}

} // namespace agatebank
