#include <agatebank/harness/ledger.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace agatebank
{

namespace
{

// The first two fields of a caller's submission id: the form that targets
// receive.
std::string short_id(const std::string& submission)
{
    const auto first = submission.find('-');
    if (first == std::string::npos)
    {
        return submission;
    }
    return submission.substr(0, submission.find('-', first + 1));
}

ledger_start to_start(const nlohmann::json& j)
{
    return {j.at("submission"), j.at("task"),  j.at("target"),
            j.at("answer"),     j.at("at_us"), j.at("running")};
}

} // namespace

ledger::ledger(const std::string& directory)
{
    for (const auto& it : std::filesystem::directory_iterator(directory))
    {
        if (it.path().extension() == ".jsonl")
        {
            read_file(it.path().string());
        }
    }
}

void ledger::read_file(const std::string& file)
{
    std::ifstream in(file);
    std::string line;
    while (std::getline(in, line))
    {
        const auto j = nlohmann::json::parse(line, nullptr, false);
        if (j.is_discarded())
        {
            continue;
        }
        if (j.at("event") == "connection")
        {
            ++connections_;
        }
        if (j.at("event") != "start")
        {
            continue;
        }
        starts_.push_back(to_start(j));
        by_submission_[starts_.back().submission].push_back(starts_.size() - 1);
        by_answer_[starts_.back().answer].push_back(starts_.size() - 1);
    }
}

const std::vector<ledger_start>& ledger::starts() const noexcept
{
    return starts_;
}

std::size_t ledger::connections() const noexcept
{
    return connections_;
}

std::vector<ledger_start> ledger::starts_of(const std::string& submission) const
{
    std::vector<ledger_start> out;
    const auto it = by_submission_.find(short_id(submission));
    if (it != by_submission_.end())
    {
        for (const auto n : it->second)
        {
            out.push_back(starts_[n]);
        }
    }
    return out;
}

std::vector<int64_t> ledger::times_of(const std::string& answer) const
{
    std::vector<int64_t> out;
    const auto it = by_answer_.find(answer);
    if (it != by_answer_.end())
    {
        for (const auto n : it->second)
        {
            out.push_back(starts_[n].at_us);
        }
    }
    return out;
}

std::vector<std::string> ledger::started_twice() const
{
    std::map<std::string, std::vector<std::string>> targets;
    for (const auto& s : starts_)
    {
        targets[s.submission + " task " + s.task].push_back(s.target);
    }
    std::vector<std::string> out;
    for (const auto& it : targets)
    {
        if (it.second.size() > 1)
        {
            out.push_back(it.first + " on " + it.second[0] + " and " +
                          it.second[1]);
        }
    }
    return out;
}

std::vector<std::string> ledger::over_slots(unsigned slots) const
{
    std::vector<std::string> out;
    for (const auto& s : starts_)
    {
        if (s.running > slots)
        {
            out.push_back(s.target + " ran " + std::to_string(s.running));
        }
    }
    return out;
}

} // namespace agatebank
