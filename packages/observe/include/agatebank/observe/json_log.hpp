#pragma once

#include <agatebank/core/log.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief Where a process's log goes and what each line says of the process.
struct json_log_options
{
    std::string file;                  ///< appended to; empty: standard output
    log_level level = log_level::info; ///< lower levels are dropped
    std::string process;
    std::string failure_domain;
    /// Lines in a second; more are dropped and counted, and the count is
    /// logged with the next line. A process at its peak writes a tenth.
    unsigned max_lines_per_s = 5000;
    /// Calls back when the loop comes round: lines are written then, together.
    /// Empty: each line is written at once.
    std::function<void(std::function<void()>)> defer{};
};

/// @brief Reads a level's word: debug, info, warning or error.
/// @return errc::settings_invalid for any other word
result<log_level> parse_log_level(const std::string& word);

/// @brief The word of a level, such as "warning".
const char* to_word(log_level level) noexcept;

/// @brief Writes log records as JSON lines through Boost.Log, synchronously
/// on the caller's thread. It never waits: lines that standard output can't
/// take now are kept up to a bound, further ones are dropped and counted. Each
/// line has the fields time (UTC), level, process, failure_domain and text, and
/// those of step, peer, submission, task and error that apply. Files are not
/// rotated here: move the file away and call @ref reopen.
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
    /// @brief Opens the file anew, as on SIGHUP. On a failure the lines go on
    /// to the file that was open.
    result<void> reopen();
    /// @brief Sets the level below which records are dropped.
    void set_level(log_level level);

    // lookup
    /// @brief The function that records go through; valid for the log's life.
    log_sink sink();

  private:
    struct state;
    explicit json_log(std::shared_ptr<state> s);

    std::shared_ptr<state> state_;
};

} // namespace agatebank
