#include "target_server.hpp"

#include <utility>

namespace agatebank
{

namespace
{

constexpr auto idle_check_period = std::chrono::milliseconds(20);
// Tasks that the agent sent before it processed the withdrawal may still
// arrive.
constexpr auto late_request_allowance = std::chrono::milliseconds(200);

task_request read_task(const http_request& request)
{
    return {request.header("agatebank-submission"),
            request.header("agatebank-task"),
            request.header("agatebank-service"), request.body};
}

http_server_options server_options(const target_options& o)
{
    http_server_options s;
    s.address = o.address;
    s.port = o.port;
    return s;
}

std::string make_url(const std::string& address, uint16_t port)
{
    return "http://" + address + ":" + std::to_string(port);
}

} // namespace

target_server::target_server(event_loop& loop, http_client& client,
                             const target_options& options)
    : loop_(loop)
    , options_(options)
    , ledger_(options.ledger, options.name)
    , random_(options.seed)
    , server_(loop, server_options(options))
    , raw_(options.address, make_raw_handlers())
    , announcer_(loop, client, options.agent_url,
                 [this] { return current_announcement(); })
{
    add_routes();
}

result<uint16_t> target_server::listen()
{
    const auto mode = parse_fault_mode(options_.mode);
    if (!mode)
    {
        return tl::unexpected(mode.error());
    }
    faults_.mode = *mode;
    auto port = server_.listen();
    if (port)
    {
        port_ = *port;
        announcer_.start();
    }
    return port;
}

void target_server::shut_down(std::function<void()> done)
{
    on_shut_down_ = std::move(done);
    announcer_.withdraw(
        [this]
        {
            last_busy_ = loop_.now();
            idle_check_ =
                loop_.every(idle_check_period, [this] { exit_when_idle(); });
        });
}

void target_server::exit_when_idle()
{
    if (!running_.empty())
    {
        last_busy_ = loop_.now();
    }
    if (loop_.now() - last_busy_ >= late_request_allowance)
    {
        on_shut_down_();
    }
}

void target_server::add_routes()
{
    server_.route("POST", "/v1/tasks",
                  [this](const auto& rq, auto respond)
                  { run_task(rq, respond); });
    server_.route("GET", "/ledger",
                  [this](const auto&, auto respond)
                  { respond(json_response(200, ledger_.records())); });
    server_.route("POST", "/mode",
                  [this](const auto& rq, auto respond)
                  { set_faults(rq, respond); });
}

void target_server::run_task(const http_request& request,
                             const http_responder& respond)
{
    const auto task = read_task(request);
    const auto work = parse_work(task.payload);
    ledger_.start(task, static_cast<unsigned>(running_.size()) + 1);
    if (faults_.mode == fault_mode::fail_fast)
    {
        ledger_.end(task, "failed");
        respond({500, "text/plain", "failed", {}});
        return;
    }
    if (faults_.mode == fault_mode::hang)
    {
        unanswered_.push_back(respond);
        return;
    }
    const uint64_t task_number = ++last_task_number_;
    running_[task_number] = loop_.after(
        run_time(work), [this, task_number, task, respond, answer = work.answer]
        { finish_task(task_number, task, answer, respond); });
}

void target_server::finish_task(uint64_t task_number, const task_request& task,
                                const std::string& answer,
                                const http_responder& respond)
{
    ledger_.end(task, "answered");
    respond({200, "text/plain", answer, {}});
    running_.erase(task_number);
}

duration target_server::run_time(const task_work& work)
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    double factor = faults_.slow_factor / options_.speed;
    if (uniform(random_) < faults_.straggler_share)
    {
        factor *= faults_.straggler_factor;
    }
    return std::chrono::duration_cast<duration>(work.run_time * factor);
}

void target_server::set_faults(const http_request& request,
                               const http_responder& respond)
{
    const auto f = parse_target_faults(request.body, faults_);
    if (!f)
    {
        respond(problem_response(400, f.error(), execution_status::not_run));
        return;
    }
    faults_ = *f;
    announcer_.announce();
    respond(json_response(200, {{"mode", to_word(faults_.mode)}}));
}

announcement target_server::current_announcement() const
{
    if (!faults_.announce)
    {
        return {};
    }
    const uint16_t port = is_raw(faults_.mode) ? raw_.port() : port_;
    return {options_.services, options_.slots,
            make_url(options_.address, port)};
}

raw_handlers target_server::make_raw_handlers()
{
    raw_handlers h;
    h.mode = [this]
    {
        return faults_.mode;
    };
    h.on_connection = [this]
    {
        ledger_.connection();
    };
    h.on_task = [this](const task_request& task)
    {
        ledger_.start(task, 1);
    };
    h.on_end = [this](const task_request& task, const std::string& outcome)
    {
        ledger_.end(task, outcome);
    };
    return h;
}

} // namespace agatebank
