#pragma once

#include <cstdint>

namespace agatebank
{

/// @brief Resources that a process has used so far, read from /proc.
struct process_usage
{
    double processor_ms = 0;  ///< processor time
    int64_t resident_kib = 0; ///< current resident memory
};

/// @brief Reads the usage of a process; zeros if the process has ended.
process_usage read_usage(int pid);

} // namespace agatebank
