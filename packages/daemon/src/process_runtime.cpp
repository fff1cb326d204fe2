#include <agatebank/core/json_reader.hpp>
#include <agatebank/daemon/process_runtime.hpp>

#include <glib.h>

#include <csignal>
#include <random>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_read = "file.read";
constexpr std::size_t event_capacity = 20000;

uint64_t wall_clock_us()
{
    return static_cast<uint64_t>(g_get_real_time());
}

std::string trim_trailing_newlines(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    {
        text.pop_back();
    }
    return text;
}

} // namespace

result<std::string> read_file(const std::string& path)
{
    char* data = nullptr;
    gsize length = 0;
    GError* raw_error = nullptr;
    if (g_file_get_contents(path.c_str(), &data, &length, &raw_error) == FALSE)
    {
        const error_ptr error(raw_error);
        return fail(errc::settings_unreadable, step_read, path, error->message);
    }
    std::string out(data, length);
    g_free(data);
    return out;
}

result<nlohmann::json> read_settings(const std::string& path, const char* step)
{
    const auto text = read_file(path);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    return parse_json(*text, step, path);
}

result<std::unique_ptr<process_runtime>>
process_runtime::open(const runtime_settings& settings)
{
    std::string key;
    if (!settings.shared_key_file.empty())
    {
        auto text = read_file(settings.shared_key_file);
        if (!text)
        {
            return tl::unexpected(text.error());
        }
        key = trim_trailing_newlines(std::move(*text));
    }
    const auto level = parse_log_level(settings.log_level);
    if (!level)
    {
        return tl::unexpected(level.error());
    }
    std::unique_ptr<process_runtime> out(
        new process_runtime(settings, std::move(key)));
    if (const auto& ready = out->loop.status(); !ready)
    {
        return tl::unexpected(ready.error());
    }
    json_log_options options{settings.log_file, *level, settings.name,
                             settings.failure_domain};
    options.defer = [&loop = out->loop](std::function<void()> fn)
    {
        loop.defer(std::move(fn));
    };
    auto log = json_log::open(options, wall_clock_us);
    if (!log)
    {
        return tl::unexpected(log.error());
    }
    out->log_ = std::move(*log);
    return out;
}

process_runtime::process_runtime(const runtime_settings& settings,
                                 std::string key)
    : clock(wall_clock_us)
    , auth(std::move(key))
    , events(clock, settings.name, event_capacity)
{
}

exit_code process_runtime::run(const graceful_stop_hook& begin_stop,
                               const reload_hook& reload)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto stop = [this, &begin_stop]
    {
        on_stop_signal(begin_stop);
    };
    const auto on_term = loop.on_signal(SIGTERM, stop);
    const auto on_int = loop.on_signal(SIGINT, stop);
    const auto on_hup =
        loop.on_signal(SIGHUP, [this, &reload] { on_reload_signal(reload); });
    loop.run();
    return exit_;
}

void process_runtime::on_stop_signal(const graceful_stop_hook& begin_stop)
{
    if (std::exchange(stopping_, true))
    {
        exit_ = exit_code::forced_stop;
        loop.quit();
        return;
    }
    begin_stop([this] { loop.quit(); });
}

void process_runtime::on_reload_signal(const reload_hook& reload)
{
    auto done = log_->reopen();
    if (done && reload)
    {
        done = reload();
    }
    if (!done)
    {
        log_->sink()(to_record(log_level::error, done.error()));
        return;
    }
    log_info(reload ? "settings reloaded" : "log reopened");
}

result<void> process_runtime::set_log_level(const std::string& word)
{
    const auto level = parse_log_level(word);
    if (!level)
    {
        return tl::unexpected(level.error());
    }
    log_->set_level(*level);
    return {};
}

log_sink process_runtime::log()
{
    return log_->sink();
}

void process_runtime::log_info(std::string text)
{
    log_record r;
    r.text = std::move(text);
    log_->sink()(r);
}

uint64_t process_runtime::random_number()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32U) | device();
}

} // namespace agatebank
