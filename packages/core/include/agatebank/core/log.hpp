#pragma once

#include <agatebank/core/result.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace agatebank
{

/// @brief Severity of a log record.
enum class log_level : uint8_t
{
    debug,
    info,
    warning,
    error
};

/// @brief One log record. Fields that do not apply are empty. The sink adds the
/// process name and its failure domain.
struct log_record
{
    log_level level = log_level::info;
    std::string text;
    std::string step;
    std::string peer;
    std::string submission;
    int32_t task = -1; ///< index of a task; -1 if none
    int32_t error = 0; ///< error code, see errc; 0 if none
};

/// @brief Receives log records. The core and the adapters log only
/// through a sink.
using log_sink = std::function<void(const log_record&)>;

/// @brief Makes a log record from a failure.
inline log_record to_record(log_level level, const failure& f)
{
    log_record r;
    r.level = level;
    r.text = f.to_string();
    r.step = f.step;
    r.peer = f.peer;
    r.error = f.code.value();
    return r;
}

} // namespace agatebank
