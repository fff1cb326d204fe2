#pragma once

#include <agatebank/core/event.hpp>
#include <agatebank/core/hybrid_clock.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/daemon/command_line.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/observe/json_log.hpp>
#include <agatebank/observe/metrics_registry.hpp>
#include <agatebank/wire/authenticator.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief Settings of the process that both roles have in common.
struct runtime_settings
{
    std::string name;
    std::string failure_domain;
    std::string shared_key_file; ///< empty: messages are not authenticated
    std::string log_file;        ///< empty: standard output
    std::string log_level;       ///< debug, info, warning or error
};

/// @brief The parts that every process has: event loop, clock, message
/// authenticator, event ring, metrics and log.
class process_runtime
{
  public:
    /// @brief Begins a graceful stop and calls its argument when the stop is
    /// complete.
    using graceful_stop_hook = std::function<void(std::function<void()>)>;
    /// @brief Reads the settings again and applies those that can change
    /// without a restart.
    using reload_hook = std::function<result<void>()>;

    // construction
    /// @brief Reads the shared key and opens the log.
    /// @return errc::settings_unreadable when the key file cannot be read,
    /// errc::settings_invalid for an unknown log level,
    /// errc::log_unwritable when the log file cannot be opened, an errno when
    /// the event loop has no epoll set
    static result<std::unique_ptr<process_runtime>>
    open(const runtime_settings& settings);

    // execution
    /// @brief Runs the event loop until the process is stopped. The first
    /// SIGTERM or SIGINT begins a graceful stop, a second one ends the loop
    /// without waiting for it; SIGHUP reopens the log and reloads the
    /// settings.
    /// @param begin_stop begins the graceful stop
    /// @param reload reloads the settings; empty: only the log is reopened
    exit_code run(const graceful_stop_hook& begin_stop,
                  const reload_hook& reload = {});

    // parts
    event_loop loop;
    hybrid_clock clock;
    authenticator auth;
    event_ring events;
    metrics_registry metrics;

    log_sink log();
    void log_info(std::string text);
    /// @param word debug, info, warning or error
    /// @return errc::settings_invalid for any other word
    result<void> set_log_level(const std::string& word);
    /// @brief Draws a random number for ids and jitter from the system's
    /// random source.
    static uint64_t random_number();

  private:
    process_runtime(const runtime_settings& settings, std::string key);

    void on_stop_signal(const graceful_stop_hook& begin_stop);
    void on_reload_signal(const reload_hook& reload);

    std::unique_ptr<json_log> log_;
    bool stopping_ = false;
    exit_code exit_ = exit_code::success;
};

/// @brief Reads a whole file.
/// @return the contents, or errc::settings_unreadable
result<std::string> read_file(const std::string& path);

/// @brief Reads a settings file as one JSON document.
/// @param step the processing step that a failure names
/// @return errc::settings_unreadable, or the errors of @ref parse_json
result<nlohmann::json> read_settings(const std::string& path, const char* step);

} // namespace agatebank
