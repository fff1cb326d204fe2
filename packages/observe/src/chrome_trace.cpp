#include <agatebank/observe/timeline.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace agatebank
{

namespace
{

using nlohmann::json;

constexpr int process_thread = 0; ///< thread of all instant events

enum class span_kind
{
    start, ///< start_sent to report_received
    run    ///< run_began to run_ended
};

// The kind of span that an event begins.
std::optional<span_kind> span_begun_by(event_kind kind)
{
    switch (kind)
    {
    case event_kind::start_sent:
        return span_kind::start;
    case event_kind::run_began:
        return span_kind::run;
    default:
        return std::nullopt;
    }
}

// The kind of span that an event ends.
std::optional<span_kind> span_ended_by(event_kind kind)
{
    switch (kind)
    {
    case event_kind::report_received:
        return span_kind::start;
    case event_kind::run_ended:
        return span_kind::run;
    default:
        return std::nullopt;
    }
}

const char* to_word(span_kind kind)
{
    return kind == span_kind::start ? "start" : "run";
}

std::string task_name(const event& e)
{
    return e.submission + "/" + std::to_string(e.task);
}

// Converts events, added in order, to the list of trace events.
class trace_builder
{
  public:
    void add(const event& e)
    {
        last_us_ = std::max(last_us_, e.stamp.wall_us);
        if (const auto kind = span_begun_by(e.kind))
        {
            begin_span(e, *kind);
            return;
        }
        const auto kind = span_ended_by(e.kind);
        if (kind && end_span(e, *kind))
        {
            return;
        }
        add_instant(e);
    }

    json finish()
    {
        for (const auto& it : open_)
        {
            append_span(it.second, last_us_, true);
        }
        open_.clear();
        return {{"traceEvents", std::move(out_)}, {"displayTimeUnit", "ms"}};
    }

  private:
    struct span_key
    {
        std::string process;
        span_kind kind;
        std::string submission;
        int32_t task;
        std::string target;

        auto operator<=>(const span_key&) const = default;
    };

    struct open_span
    {
        event began;
        span_kind kind;
        int thread;
    };

    static span_key key_of(const event& e, span_kind kind)
    {
        return {e.process, kind, e.submission, e.task, e.target};
    }

    void begin_span(const event& e, span_kind kind)
    {
        end_span(e, kind); // a span of the same key ends where this one begins
        const int thread = allocate_thread(e);
        open_[key_of(e, kind)] = {e, kind, thread};
    }

    bool end_span(const event& e, span_kind kind)
    {
        const auto it = open_.find(key_of(e, kind));
        if (it == open_.end())
        {
            return false;
        }
        append_span(it->second, e.stamp.wall_us, false);
        busy_[{e.process, e.target, it->second.thread}] = false;
        open_.erase(it);
        return true;
    }

    int pid_of(const std::string& process)
    {
        const auto next = static_cast<int>(pids_.size()) + 1;
        const auto [it, added] = pids_.emplace(process, next);
        if (added)
        {
            out_.push_back({{"ph", "M"},
                            {"name", "process_name"},
                            {"pid", next},
                            {"args", {{"name", process}}}});
            name_thread(next, process_thread, process);
        }
        return it->second;
    }

    void name_thread(int pid, int tid, const std::string& name)
    {
        out_.push_back({{"ph", "M"},
                        {"name", "thread_name"},
                        {"pid", pid},
                        {"tid", tid},
                        {"args", {{"name", name}}}});
    }

    // Returns the lowest numbered thread of the target without an open span and
    // marks it as busy; adds a thread when all of them have an open span.
    int allocate_thread(const event& e)
    {
        const int pid = pid_of(e.process);
        for (int number = 0;; ++number)
        {
            const auto name = e.target + " #" + std::to_string(number);
            const auto next = static_cast<int>(threads_[e.process].size()) + 1;
            const auto [it, added] = threads_[e.process].emplace(name, next);
            if (added)
            {
                name_thread(pid, next, name);
            }
            auto& busy = busy_[{e.process, e.target, it->second}];
            if (!busy)
            {
                busy = true;
                return it->second;
            }
        }
    }

    static json arguments(const event& e)
    {
        json args{{"counter", e.stamp.counter}};
        const std::pair<const char*, const std::string*> texts[] = {
            {"submission", &e.submission},
            {"target", &e.target},
            {"peer", &e.peer},
            {"detail", &e.detail}};
        for (const auto& [name, text] : texts)
        {
            if (!text->empty())
            {
                args[name] = *text;
            }
        }
        if (e.task >= 0)
        {
            args["task"] = e.task;
        }
        return args;
    }

    void append_span(const open_span& span, uint64_t end_us, bool unfinished)
    {
        const auto& e = span.began;
        auto args = arguments(e);
        if (unfinished)
        {
            args["unfinished"] = true;
        }
        const int pid = pid_of(e.process);
        out_.push_back({{"ph", "X"},
                        {"name", task_name(e)},
                        {"cat", to_word(span.kind)},
                        {"pid", pid},
                        {"tid", span.thread},
                        {"ts", e.stamp.wall_us},
                        {"dur", end_us - e.stamp.wall_us},
                        {"args", args}});
        append_flow(span, pid);
    }

    // Adds the end of a flow that belongs to the span: a start span begins the
    // flow, a run span finishes it. Both ends have the same id, made of the
    // task and the target.
    void append_flow(const open_span& span, int pid)
    {
        const auto& e = span.began;
        json flow{{"ph", span.kind == span_kind::start ? "s" : "f"},
                  {"name", "task"},
                  {"cat", "flow"},
                  {"id", task_name(e) + "@" + e.target},
                  {"pid", pid},
                  {"tid", span.thread},
                  {"ts", e.stamp.wall_us}};
        if (span.kind == span_kind::run)
        {
            flow["bp"] = "e";
        }
        out_.push_back(std::move(flow));
    }

    void add_instant(const event& e)
    {
        out_.push_back({{"ph", "i"},
                        {"s", "t"},
                        {"name", agatebank::to_word(e.kind)},
                        {"cat", "event"},
                        {"pid", pid_of(e.process)},
                        {"tid", process_thread},
                        {"ts", e.stamp.wall_us},
                        {"args", arguments(e)}});
    }

    json out_ = json::array();
    uint64_t last_us_ = 0;
    std::map<std::string, int> pids_;
    std::map<std::string, std::map<std::string, int>> threads_;
    std::map<std::tuple<std::string, std::string, int>, bool> busy_;
    std::map<span_key, open_span> open_;
};

} // namespace

json to_chrome_trace(const std::vector<event>& events)
{
    trace_builder builder;
    for (const auto& e : events)
    {
        builder.add(e);
    }
    return builder.finish();
}

} // namespace agatebank
