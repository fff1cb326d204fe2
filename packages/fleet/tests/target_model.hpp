#pragma once

#include <agatebank/core/target_interface.hpp>

#include <map>
#include <string>
#include <vector>

namespace agatebank
{

// Models a target by its documented behaviour: a start is superseded while the
// task runs, and after a run with the same or a higher number was stopped or
// has ended.
struct target_model
{
    std::map<std::string, uint32_t> running;
    /// highest run number stopped or ended, by task
    std::map<std::string, uint32_t> fenced_runs;
    std::vector<ended_run> ended;
    uint64_t last_end = 0;
};

} // namespace agatebank
