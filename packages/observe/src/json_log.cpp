#include "line_output.hpp"
#include "utc_time.hpp"
#include <agatebank/observe/json_log.hpp>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cerrno>
#include <fstream>
#include <ostream>
#include <utility>

#include <string.h>
#include <unistd.h>

namespace agatebank
{

namespace
{

namespace logging = boost::log;
using backend_type = logging::sinks::text_ostream_backend;
using frontend_type = logging::sinks::synchronous_sink<backend_type>;
using stream_ptr = boost::shared_ptr<std::ostream>;

constexpr const char* step_open = "log.open";
constexpr const char* step_level = "log.level";
constexpr const char* step_write = "log.write";
constexpr const char* record_attribute = "agatebank-record";
constexpr const char* owner_attribute = "agatebank-owner";

constexpr std::array level_words{"debug", "info", "warning", "error"};

void add_if_not_empty(nlohmann::ordered_json& line, const char* name,
                      const std::string& value)
{
    if (!value.empty())
    {
        line[name] = value;
    }
}

std::string to_line(const json_log_options& options, uint64_t wall_us,
                    const log_record& r)
{
    nlohmann::ordered_json line;
    line["time"] = to_utc_text(wall_us);
    line["level"] = to_word(r.level);
    line["process"] = options.process;
    line["failure_domain"] = options.failure_domain;
    line["text"] = r.text;
    add_if_not_empty(line, "step", r.step);
    add_if_not_empty(line, "peer", r.peer);
    add_if_not_empty(line, "submission", r.submission);
    if (r.task >= 0)
    {
        line["task"] = r.task;
    }
    if (r.error != 0)
    {
        line["error"] = r.error;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// A stream to standard output whose writes never block.
class standard_output : public std::ostream
{
  public:
    standard_output() : std::ostream(&lines_), lines_(STDOUT_FILENO) {}

    bool can_accept_line() const noexcept
    {
        return lines_.can_accept_line();
    }

  private:
    line_output lines_;
};

bool output_accepts_line(const stream_ptr& stream)
{
    const auto* out = dynamic_cast<const standard_output*>(stream.get());
    return out == nullptr || out->can_accept_line();
}

result<stream_ptr> open_stream(const std::string& file)
{
    if (file.empty())
    {
        return stream_ptr(boost::make_shared<standard_output>());
    }
    errno = 0;
    auto out = boost::make_shared<std::ofstream>(file, std::ios::app);
    if (!*out)
    {
        return fail(errc::log_unwritable, step_open, file, strerror(errno));
    }
    return stream_ptr(std::move(out));
}

} // namespace

result<log_level> parse_log_level(const std::string& word)
{
    for (std::size_t i = 0; i < level_words.size(); ++i)
    {
        if (word == level_words[i])
        {
            return static_cast<log_level>(i);
        }
    }
    return fail(errc::settings_invalid, step_level, {},
                "found \"" + word +
                    "\", expected debug, info, warning or error");
}

const char* to_word(log_level level) noexcept
{
    const auto i = static_cast<std::size_t>(level);
    return i < level_words.size() ? level_words[i] : "unknown";
}

struct json_log::state : std::enable_shared_from_this<json_log::state>
{
    json_log_options options;
    wall_clock clock;
    stream_ptr stream;
    boost::shared_ptr<backend_type> backend;
    boost::shared_ptr<frontend_type> frontend;
    logging::attribute_set attributes;

    // Boost.Log has one core for the whole process, which passes each record
    // to the sinks of all logs. The owner attribute lets a sink take only the
    // records of its own log.
    void attach()
    {
        attributes[owner_attribute] =
            logging::attributes::constant<const state*>(this);
        backend = boost::make_shared<backend_type>();
        backend->auto_flush(!options.defer);
        backend->add_stream(stream);
        frontend = boost::make_shared<frontend_type>(backend);
        frontend->set_filter(
            [this](const logging::attribute_value_set& values)
            {
                const auto owner =
                    logging::extract<const state*>(owner_attribute, values);
                return owner && owner.get() == this;
            });
        frontend->set_formatter(
            [this](const logging::record_view& view,
                   logging::formatting_ostream& os)
            {
                const auto r =
                    logging::extract<const log_record*>(record_attribute, view);
                os << to_line(options, clock(), *r.get());
            });
        logging::core::get()->add_sink(frontend);
    }

    bool flush_pending = false;
    uint64_t current_second = 0;  ///< seconds since the Unix epoch
    unsigned lines_in_second = 0; ///< written in current_second
    uint64_t dropped = 0;         ///< lines, since the last one written

    // Whether the rate limit and the output allow another line.
    bool can_write_line()
    {
        const auto now = clock() / 1'000'000;
        if (now != current_second)
        {
            current_second = now;
            lines_in_second = 0;
        }
        return lines_in_second < options.max_lines_per_s &&
               output_accepts_line(stream);
    }

    void write(const log_record& r)
    {
        if (r.level < options.level)
        {
            return;
        }
        if (!can_write_line())
        {
            ++dropped;
            return;
        }
        if (const auto n = std::exchange(dropped, 0); n != 0)
        {
            log_record notice;
            notice.level = log_level::warning;
            notice.text = std::to_string(n) + " log lines dropped";
            notice.step = step_write;
            write_line(notice);
        }
        write_line(r);
        flush_later();
    }

    // Flushes once after the current iteration of the event loop, so that its
    // lines are written together.
    void flush_later()
    {
        if (!options.defer || std::exchange(flush_pending, true))
        {
            return;
        }
        options.defer(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->flush_pending = false;
                    self->stream->flush();
                }
            });
    }

    void write_line(const log_record& r)
    {
        ++lines_in_second;
        attributes[record_attribute] =
            logging::attributes::constant<const log_record*>(&r);
        const auto core = logging::core::get();
        auto record = core->open_record(attributes);
        if (record)
        {
            core->push_record(std::move(record));
        }
    }
};

json_log::json_log(std::shared_ptr<state> s) : state_(std::move(s))
{
    state_->attach();
}

json_log::~json_log()
{
    logging::core::get()->remove_sink(state_->frontend);
    state_->stream->flush();
}

result<std::unique_ptr<json_log>> json_log::open(json_log_options options,
                                                 wall_clock clock)
{
    auto stream = open_stream(options.file);
    if (!stream)
    {
        return tl::unexpected(stream.error());
    }
    auto s = std::make_shared<state>();
    s->options = std::move(options);
    s->clock = std::move(clock);
    s->stream = std::move(*stream);
    return std::unique_ptr<json_log>(new json_log(std::move(s)));
}

result<void> json_log::reopen()
{
    auto stream = open_stream(state_->options.file);
    if (!stream)
    {
        return tl::unexpected(stream.error());
    }
    state_->stream->flush();
    state_->backend->remove_stream(state_->stream);
    state_->stream = std::move(*stream);
    state_->backend->add_stream(state_->stream);
    return {};
}

void json_log::set_level(log_level level)
{
    state_->options.level = level;
}

log_sink json_log::sink()
{
    return [s = state_.get()](const log_record& r)
    {
        s->write(r);
    };
}

} // namespace agatebank
