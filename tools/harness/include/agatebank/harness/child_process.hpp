#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <gio/gio.h>

#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A program under test. It is killed when the object is destroyed, and
/// when the test process ends.
class child_process
{
  public:
    // construction
    /// @param arguments path of the program, then its arguments
    /// @param output_file file to which standard output and standard error are
    /// appended
    /// @throw std::runtime_error if it cannot be started
    child_process(event_loop& loop, const std::vector<std::string>& arguments,
                  std::string output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // modifiers
    void signal(int signal_number);
    /// @brief Runs the loop until the process has ended, at most @p timeout.
    /// @return exit code or negative signal number; empty if still running
    std::optional<int> wait(duration timeout);
    /// @brief Sends SIGKILL and waits for the process to end.
    void kill();

    // lookup
    bool running() const noexcept;
    /// @brief Exit code or negative signal number; empty while running.
    const std::optional<int>& exit_code() const noexcept;
    int pid() const;
    /// @brief Contents of the output file.
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
