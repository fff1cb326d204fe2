#include "task_ledger.hpp"

#include <glib.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace agatebank
{

namespace
{

constexpr int ledger_permissions = 0644;

nlohmann::json describe(const char* event, const task_request& task)
{
    return {{"event", event},
            {"submission", task.submission},
            {"task", task.task},
            {"service", task.service}};
}

} // namespace

task_ledger::task_ledger(const std::string& file, std::string target)
    : target_(std::move(target))
{
    if (file.empty())
    {
        return;
    }
    file_ = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                 ledger_permissions);
    if (file_ < 0)
    {
        throw std::system_error(errno, std::generic_category(), file);
    }
}

task_ledger::~task_ledger()
{
    if (file_ >= 0)
    {
        close(file_);
    }
}

void task_ledger::start(const task_request& task, unsigned running)
{
    auto record = describe("start", task);
    record["running"] = running;
    record["answer"] = parse_work(task.payload).answer;
    append(std::move(record));
}

void task_ledger::end(const task_request& task, const std::string& outcome)
{
    auto record = describe("end", task);
    record["outcome"] = outcome;
    append(std::move(record));
}

void task_ledger::connection()
{
    append(describe("connection", {}));
}

const nlohmann::json& task_ledger::records() const noexcept
{
    return records_;
}

void task_ledger::append(nlohmann::json record)
{
    record["target"] = target_;
    record["at_us"] = g_get_monotonic_time();
    if (file_ >= 0)
    {
        const std::string line = record.dump() + "\n";
        if (write(file_, line.data(), line.size()) < 0)
        {
            throw std::system_error(errno, std::generic_category(), "ledger");
        }
    }
    records_.push_back(std::move(record));
}

} // namespace agatebank
