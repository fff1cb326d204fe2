#pragma once

#include <agatebank/core/log.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief Destination of a process's log, the fields that each line carries
/// about the process, and the limits on output.
struct json_log_options
{
    std::string file;                  ///< appended to; empty: standard output
    log_level level = log_level::info; ///< records below it are dropped
    std::string process;
    std::string failure_domain;
    /// Lines written in one second at most; further ones are dropped, and
    /// their number is logged before the next line that is written. A process
    /// at peak load writes about a tenth of this.
    unsigned max_lines_per_s = 5000;
    /// Runs a function after the event loop's current iteration; the lines of
    /// one iteration are written together then. Empty: each line is written
    /// at once.
    std::function<void(std::function<void()>)> defer{};
};

/// @brief Parses the name of a level: debug, info, warning or error.
/// @return errc::settings_invalid for any other word
result<log_level> parse_log_level(const std::string& word);

/// @brief The name of a level, such as "warning".
const char* to_word(log_level level) noexcept;

/// @brief Writes log records as JSON lines through Boost.Log, synchronously
/// on the caller's thread. Writing to standard output never blocks: lines that
/// it cannot take now are buffered up to a limit; further ones are dropped and
/// counted. Each line has the fields time (UTC), level, process, failure_domain
/// and text, and those of step, peer, submission, task and error that apply.
/// The log does not rotate its file: move the file away and call @ref reopen.
///
/// @code
/// auto log = json_log::open({"", log_level::info, "entry-1", "sapporo"},
///                           wall_clock);
/// const log_sink sink = (*log)->sink();
/// sink({log_level::info, "listening"});
/// @endcode
class json_log
{
  public:
    /// @brief Reads the wall clock in microseconds since the Unix epoch.
    using wall_clock = std::function<uint64_t()>;

    // construction
    /// @return errc::log_unwritable when the file cannot be opened
    static result<std::unique_ptr<json_log>> open(json_log_options options,
                                                  wall_clock clock);
    ~json_log();
    json_log(const json_log&) = delete;
    json_log& operator=(const json_log&) = delete;

    // modifiers
    /// @brief Reopens the file, for log rotation on SIGHUP. On a failure the
    /// log continues to write to the file that was open.
    /// @return errc::log_unwritable when the file cannot be opened
    result<void> reopen();
    /// @brief Sets the level below which records are dropped.
    void set_level(log_level level);

    // lookup
    /// @brief The function that writes a record to this log; it must not be
    /// called after the log is destroyed.
    log_sink sink();

  private:
    struct state;
    explicit json_log(std::shared_ptr<state> s);

    std::shared_ptr<state> state_;
};

} // namespace agatebank
