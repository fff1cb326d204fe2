#include <agatebank/harness/child_process.hpp>
#include <agatebank/harness/run_until.hpp>

#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace agatebank
{

namespace
{

constexpr auto kill_timeout = std::chrono::seconds(20);
constexpr int file_permissions = 0644;

// Called in the child between fork and exec.
void set_parent_death_signal(gpointer)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

int open_output(const std::string& file)
{
    const int fd = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                        file_permissions);
    if (fd < 0)
    {
        throw std::runtime_error("cannot open " + file);
    }
    return fd;
}

int to_exit_code(GSubprocess* process)
{
    if (g_subprocess_get_if_signaled(process) == TRUE)
    {
        return -g_subprocess_get_term_sig(process);
    }
    return g_subprocess_get_exit_status(process);
}

} // namespace

child_process::child_process(event_loop& loop,
                             const std::vector<std::string>& arguments,
                             std::string output_file)
    : loop_(loop), output_file_(std::move(output_file))
{
    std::vector<const gchar*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& a : arguments)
    {
        argv.push_back(a.c_str());
    }
    argv.push_back(nullptr);
    const object_ptr<GSubprocessLauncher> launcher(
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE));
    const int fd = open_output(output_file_);
    g_subprocess_launcher_take_stdout_fd(launcher.get(), dup(fd));
    g_subprocess_launcher_take_stderr_fd(launcher.get(), fd);
    g_subprocess_launcher_set_child_setup(
        launcher.get(), set_parent_death_signal, nullptr, nullptr);
    GError* raw = nullptr;
    process_.reset(
        g_subprocess_launcher_spawnv(launcher.get(), argv.data(), &raw));
    if (!process_)
    {
        const error_ptr error(raw);
        throw std::runtime_error(error->message);
    }
    pid_ = g_subprocess_get_identifier(process_.get());
    g_subprocess_wait_async(process_.get(), nullptr, on_exit, this);
}

child_process::~child_process()
{
    kill();
}

void child_process::on_exit(GObject* source, GAsyncResult* res, gpointer data)
{
    if (g_subprocess_wait_finish(G_SUBPROCESS(source), res, nullptr) == FALSE)
    {
        return;
    }
    static_cast<child_process*>(data)->exit_code_ =
        to_exit_code(G_SUBPROCESS(source));
}

void child_process::signal(int signal_number)
{
    if (running())
    {
        g_subprocess_send_signal(process_.get(), signal_number);
    }
}

std::optional<int> child_process::wait(duration timeout)
{
    run_until(loop_, timeout, [this] { return exit_code_.has_value(); });
    return exit_code_;
}

void child_process::kill()
{
    if (running())
    {
        signal(SIGKILL);
        wait(kill_timeout);
    }
}

bool child_process::running() const noexcept
{
    return !exit_code_.has_value();
}

const std::optional<int>& child_process::exit_code() const noexcept
{
    return exit_code_;
}

int child_process::pid() const
{
    return std::stoi(pid_);
}

std::string child_process::output() const
{
    std::ifstream in(output_file_);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace agatebank
