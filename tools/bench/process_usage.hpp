#pragma once

#include <cstdint>

namespace agatebank
{

/// @brief What a process has used so far, from /proc.
struct process_usage
{
    double processor_ms = 0;  ///< time on a processor
    int64_t resident_kib = 0; ///< resident memory now
};

/// @brief Reads the usage of a process; zeros when it is gone.
process_usage read_usage(int pid);

} // namespace agatebank
