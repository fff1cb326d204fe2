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

/// @brief What the settings of both roles say of the process itself.
struct runtime_settings
{
    std::string name;
    std::string failure_domain;
    std::string shared_key_file;
    std::string log_file;
    std::string log_level;
};

/// @brief What every process has: loop, clocks, log, events, metrics, key.
class process_runtime
{
  public:
    /// @brief Begins a graceful stop and calls back at its end.
    using stopper = std::function<void(std::function<void()>)>;
    /// @brief Reads the settings again and applies what may change in a
    /// process that runs.
    using reloader = std::function<result<void>()>;

    // construction
    /// @return errc::settings_unreadable for the key file,
    /// errc::settings_invalid or errc::log_unwritable for the log
    static result<std::unique_ptr<process_runtime>>
    open(const runtime_settings& settings);

    // life time
    /// @brief Runs until stopped: SIGTERM and SIGINT stop gracefully, a
    /// second one at once; SIGHUP re-opens the log and reloads.
    exit_code run(const stopper& begin_stop, const reloader& reload = {});

    // parts
    event_loop loop;
    hybrid_clock clock;
    authenticator auth;
    event_ring events;
    metrics_registry metrics;

    log_sink log();
    void log_info(std::string text);
    /// @return errc::settings_invalid for an unknown word
    result<void> set_log_level(const std::string& word);
    /// @brief A random number for ids and jitter.
    static uint64_t random_number();

  private:
    process_runtime(const runtime_settings& settings, std::string key);

    void on_stop_signal(const stopper& begin_stop);
    void on_reload_signal(const reloader& reload);

    std::unique_ptr<json_log> log_;
    bool stopping_ = false;
    exit_code exit_ = exit_code::success;
};

/// @brief Reads a whole file. @return errc::settings_unreadable
result<std::string> read_file(const std::string& path);

/// @brief Reads a settings file as one JSON document.
/// @param step named in the failure
/// @return errc::settings_unreadable, or as @ref parse_json
result<nlohmann::json> read_settings(const std::string& path, const char* step);

} // namespace agatebank
