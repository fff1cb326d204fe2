#pragma once

#include <agatebank/core/result.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace agatebank
{

/// @brief Weight of a log record.
enum class log_level : uint8_t
{
    debug,
    info,
    warning,
    error
};

/// @brief One record of the log. Empty fields do not apply. The process and
/// its failure domain are added by the sink.
struct log_record
{
    log_level level = log_level::info;
    std::string text;
    std::string step;
    std::string peer;
    std::string submission;
    int32_t task = -1;
    int32_t error = 0; ///< number of an error, 0: none
};

/// @brief Where records go; core and adapters log only through it.
using log_sink = std::function<void(const log_record&)>;

/// @brief A record that reports a failure.
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
