#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <gio/gio.h>

#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A program under test. It is killed when the object goes, and when
/// the test process dies.
class child_process
{
  public:
    // construction
    /// @param arguments program and its arguments
    /// @param output_file takes standard output and standard error, appended
    /// @throw std::runtime_error if it cannot be started
    child_process(event_loop& loop, const std::vector<std::string>& arguments,
                  std::string output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // modifiers
    void signal(int signal_number);
    /// @brief Waits for the end. @return exit code, negative signal number,
    /// or nothing when it still runs
    std::optional<int> wait(duration timeout);
    /// @brief SIGKILL, then waits for the end.
    void kill();

    // lookup
    bool running() const noexcept;
    /// @brief Exit code or negative signal number; empty while it runs.
    const std::optional<int>& exit_code() const noexcept;
    int pid() const;
    /// @brief All that it has written.
    std::string output() const;

  private:
    static void on_exit(GObject* source, GAsyncResult* res, gpointer self);

    event_loop& loop_;
    std::string output_file_;
    object_ptr<GSubprocess> process_;
    std::string pid_;
    std::optional<int> exit_code_;
};

} // namespace agatebank
