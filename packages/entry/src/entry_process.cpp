#include <agatebank/core/configuration_document.hpp>
#include <agatebank/entry/entry_process.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_start = "entry.start";
constexpr const char* step_ready = "entry.ready";
constexpr const char* step_terms = "job.terms";
/// Bound on opening a link to another entry.
constexpr duration connect_timeout = std::chrono::seconds(2);
/// Interval at which a stopping process checks whether it is idle.
constexpr duration idle_poll = std::chrono::milliseconds(20);

process_identity make_identity(const entry_settings& s,
                               entry_incarnation incarnation)
{
    process_identity out;
    out.incarnation = incarnation.value();
    out.name = s.name;
    out.failure_domain = s.failure_domain;
    return out;
}

} // namespace

entry_process::entry_process(entry_dependencies dependencies,
                             entry_settings settings)
    : dependencies_(std::move(dependencies))
    , settings_(std::move(settings))
    , identity_(make_identity(settings_, dependencies_.incarnation))
    , codec_(dependencies_.auth.hex_mac())
    , timers_(dependencies_.loop)
    , connector_(connect_timeout)
    , dispatcher_(dependencies_.policy)
    , configuration_(dependencies_.loop, dependencies_.events,
                     dependencies_.log, dependencies_.load_configuration,
                     settings_.configuration_poll)
    , hub_({dependencies_.loop, dependencies_.clock, dependencies_.auth,
            settings_.links,
            [this]
            {
                return configuration_.version();
            }},
           make_hub_handlers())
    , listener_([this](object_ptr<GSocketConnection> c)
                { hub_.add(std::move(c)); })
    , entries_(dependencies_.loop, dependencies_.clock, dependencies_.auth,
               dependencies_.events, settings_.peers, settings_.membership)
    , agents_(dependencies_.loop, timers_, hub_, dependencies_.events,
              identity_, settings_.agent_loss_timeout)
    , peer_links_(hub_, connector_, entries_, identity_)
    , gatherer_(dependencies_.loop, timers_, agents_, dependencies_.events)
    , forwarder_(dependencies_.loop, timers_, peer_links_, entries_, gatherer_)
    , collector_(timers_, dependencies_.events, agents_, entries_, peer_links_)
    , submissions_(
          dependencies_.loop, timers_, dependencies_.incarnation, codec_,
          [this](const caller_name& caller, const job_document& job)
          { return find_job_rules(caller, job); },
          settings_.submissions)
    , jobs_(dependencies_.loop, timers_, dispatcher_, agents_,
            dependencies_.events,
            [this](const submission_id& id, const job_settlement& s)
            { submissions_.on_settled(id, s); })
    , http_(dependencies_.loop, settings_.http)
{
    submissions_.set_jobs(jobs_);
    agents_.set_handlers(make_agent_handlers());
    peer_links_.on_link_up(
        [this](entry_incarnation peer)
        {
            forwarder_.on_link_up(peer);
            collector_.on_link_up(peer);
        });
    entries_.on_announcement(
        [this](const peer_record& peer)
        {
            dispatcher_.set_entries(
                static_cast<unsigned>(entries_.live().size()) + 1);
            query_newer_configuration(peer);
        });
    configuration_.on_change([this] { apply_configuration(); });
    caller_api_ = std::make_unique<caller_api>(
        http_, dependencies_.incarnation, codec_, submissions_, forwarder_,
        [this]() -> const configuration_view& { return configuration_.view(); },
        [this] { return serving_error(); });
}

entry_process::~entry_process() = default;

// lifecycle

result<void> entry_process::start()
{
    if (!dependencies_.auth.enabled() && !is_loopback(settings_.wire.address))
    {
        return fail(errc::key_required, step_start, settings_.wire.to_string(),
                    "set shared_key_file");
    }
    const auto port = listener_.listen(settings_.wire);
    if (!port)
    {
        return tl::unexpected(port.error());
    }
    entry_announcement self;
    self.self = identity_;
    self.address = settings_.wire.address;
    self.port = *port;
    auto announced = entries_.start(settings_.wire, self);
    if (!announced)
    {
        return announced;
    }
    const auto http_port = http_.listen();
    if (!http_port)
    {
        return tl::unexpected(http_port.error());
    }
    configuration_.start();
    started_ = true;
    event e;
    e.kind = event_kind::process_started;
    dependencies_.events.record(std::move(e));
    return {};
}

void entry_process::begin_stop(std::function<void()> done)
{
    leaving_ = true;
    on_stopped_ = std::move(done);
    stop_deadline_ = dependencies_.loop.now() + settings_.stop_timeout;
    submissions_.refuse_new_jobs();
    entries_.announce(configuration_.version(), true);
    event e;
    e.kind = event_kind::process_leaving;
    dependencies_.events.record(std::move(e));
    // During the delay the load balancer notices that this process is not
    // ready and sends its requests elsewhere; those that still arrive are
    // answered.
    timers_.schedule(settings_.leave_delay, [this] { stop_when_idle(); });
}

bool entry_process::idle() const
{
    return jobs_.running_jobs() == 0 && http_.in_flight() == 0 &&
           forwarder_.pending() == 0 && gatherer_.pending() == 0;
}

void entry_process::stop_when_idle()
{
    if (!idle() && dependencies_.loop.now() < stop_deadline_)
    {
        timers_.schedule(idle_poll, [this] { stop_when_idle(); });
        return;
    }
    http_.stop_accepting();
    // Waits once more, so that the last responses are written to the sockets.
    timers_.schedule(idle_poll, [this] { on_stopped_(); });
}

std::optional<failure> entry_process::readiness_error() const
{
    if (leaving_)
    {
        return failure{errc::process_leaving, step_ready, {}, {}};
    }
    return serving_error();
}

// Does not depend on leaving_: a stopping process still serves requests for
// existing submissions.
std::optional<failure> entry_process::serving_error() const
{
    if (!configuration_.known())
    {
        return failure{errc::configuration_unknown, step_ready,
                       settings_.platform_url,
                       "neither the store nor a peer has answered"};
    }
    for (const auto& peer : entries_.live())
    {
        if (peer.announcement.version > configuration_.version() &&
            !entries_.discovery_complete())
        {
            return failure{
                errc::not_ready, step_ready, peer.announcement.self.name,
                "announces configuration version " +
                    std::to_string(peer.announcement.version.value()) +
                    ", version " +
                    std::to_string(configuration_.version().value()) +
                    " is in force here"};
        }
    }
    return std::nullopt;
}

// links

hub_handlers entry_process::make_hub_handlers()
{
    hub_handlers h;
    h.on_message = [this](link_id link, message&& m)
    {
        process_message(link, std::move(m));
    };
    h.on_heartbeat = [this](link_id link, const heartbeat& beat)
    {
        agents_.on_heartbeat(link, beat);
    };
    h.on_closed = [this](link_id link, const failure& why)
    {
        dependencies_.log(to_record(log_level::info, why));
        if (!agents_.on_closed(link))
        {
            forwarder_.on_closed(link);
            peer_links_.on_closed(link);
        }
    };
    return h;
}

void entry_process::process_message(link_id link, message&& m)
{
    if (const auto* hello = std::get_if<agent_hello>(&m))
    {
        agents_.on_hello(link, *hello);
        send_agent_configuration(agent_incarnation(hello->self.incarnation));
    }
    else if (const auto* request = std::get_if<forward_request>(&m))
    {
        process_forwarded(link, *request);
    }
    else if (const auto* reply = std::get_if<forward_reply>(&m))
    {
        forwarder_.on_reply(*reply);
    }
    else if (std::holds_alternative<configuration_query>(m))
    {
        send_configuration(link);
    }
    else if (const auto* doc = std::get_if<configuration_document>(&m))
    {
        const auto* peer = hub_.find(link);
        configuration_.apply_text_if_newer(doc->text,
                                           peer == nullptr ? "" : peer->peer());
    }
    else if (const auto* query = std::get_if<event_query>(&m))
    {
        hub_.send(link,
                  event_reply{query->request_id,
                              dependencies_.events.select(query->filter)});
    }
    else if (agents_.is_agent(link))
    {
        agents_.on_message(link, m);
    }
    else if (const auto* events = std::get_if<event_reply>(&m))
    {
        collector_.on_reply(*events);
    }
}

void entry_process::process_forwarded(link_id link,
                                      const forward_request& request)
{
    event e;
    e.kind = event_kind::request_forwarded;
    e.submission = to_name(request.submission);
    dependencies_.events.record(std::move(e));
    serve_request(
        submissions_, request,
        [this, link, number = request.request_id](const http_response& r) {
            hub_.send(link,
                      forward_reply{number, r.status, r.content_type, r.body});
        });
}

void entry_process::send_configuration(link_id link)
{
    hub_.send(link, configuration_document{
                        configuration_.version(),
                        to_text(configuration_.view().document())});
}

void entry_process::query_newer_configuration(const peer_record& peer)
{
    if (peer.announcement.version > configuration_.version())
    {
        peer_links_.send(entry_incarnation(peer.announcement.self.incarnation),
                         configuration_query{});
    }
}

// agents

agent_handlers entry_process::make_agent_handlers()
{
    agent_handlers h;
    h.on_target_changed = [this](agent_incarnation agent)
    {
        offer_target(agent);
    };
    h.on_disconnected = [this](agent_incarnation agent)
    {
        jobs_.withdraw(agent);
        offer_target(agent);
    };
    h.on_lost = [this](agent_incarnation agent)
    {
        jobs_.on_lost(agent);
    };
    h.on_grant = [this](agent_incarnation agent, uint32_t credits)
    {
        jobs_.on_grant(agent, credits);
    };
    h.on_report = [this](agent_incarnation agent, task_ref task,
                         const start_report& report)
    {
        jobs_.on_report(agent, task, report);
    };
    h.on_gather_reply =
        [this](agent_incarnation agent, const gather_reply& reply)
    {
        gatherer_.on_reply(agent, reply);
    };
    h.on_event_reply = [this](agent_incarnation, const event_reply& reply)
    {
        collector_.on_reply(reply);
    };
    return h;
}

void entry_process::offer_target(agent_incarnation agent)
{
    const auto* record = agents_.find(agent);
    const auto configured =
        configuration_.view().configuration_of(record->target.target);
    target_offer offer;
    offer.agent = agent;
    offer.target = record->target.target;
    offer.failure_domain = record->self.failure_domain;
    offer.slots = std::min<uint32_t>(record->target.slots, configured.slots);
    offer.one_way_delay = agents_.one_way_delay(agent);
    offer.accepts_work = record->connected() && record->target.accepts_work &&
                         configured.in_inventory &&
                         configured.state == target_state::active;
    for (const auto& service : record->target.services)
    {
        if (std::count(configured.services.begin(), configured.services.end(),
                       service) != 0)
        {
            offer.services.push_back(service);
        }
    }
    for (const auto& service : offer.services)
    {
        const auto* rule = configuration_.view().find_service(service);
        if (rule->reserved_slots > 0)
        {
            offer.reserved.push_back({service, rule->reserved_slots});
        }
    }
    jobs_.offer(offer);
}

void entry_process::send_agent_configuration(agent_incarnation agent)
{
    const auto* record = agents_.find(agent);
    const auto configured =
        configuration_.view().configuration_of(record->target.target);
    agent_configuration out;
    out.version = configuration_.version();
    out.in_inventory = configured.in_inventory;
    out.state = configured.state;
    out.services = configured.services;
    out.slots = configured.slots;
    agents_.send(agent, out);
}

void entry_process::apply_configuration()
{
    jobs_.set_weights(configuration_.view().document().rules.weights);
    for (const auto agent : agents_.agents_not_lost())
    {
        send_agent_configuration(agent);
        offer_target(agent);
    }
    entries_.announce(configuration_.version(), leaving_);
}

// callers

result<job_rules> entry_process::find_job_rules(const caller_name& caller,
                                                const job_document& job) const
{
    const auto& view = configuration_.view();
    const auto* service = view.find_service(job.service);
    if (service == nullptr)
    {
        return fail(errc::service_unknown, step_terms, {}, job.service.value());
    }
    const auto* patience = view.find_patience(job.patience);
    if (patience == nullptr)
    {
        return fail(errc::patience_unknown, step_terms, {},
                    job.patience.value());
    }
    if (!view.has_capable_target(job.service))
    {
        return fail(errc::needs_unmeetable, step_terms, {},
                    job.service.value());
    }
    for (const auto& it : view.document().rules.callers)
    {
        if (it.name == caller && it.max_queued_tasks != 0 &&
            jobs_.waiting_tasks(caller) + job.tasks.size() >
                it.max_queued_tasks)
        {
            return fail(errc::quota_exceeded, step_terms, {},
                        "the job's " + std::to_string(job.tasks.size()) +
                            " tasks would exceed the limit of " +
                            std::to_string(it.max_queued_tasks) +
                            " queued tasks");
        }
    }
    return job_rules{*service, *patience};
}

// lookup

http_server& entry_process::http() noexcept
{
    return http_;
}

configuration_holder& entry_process::configuration() noexcept
{
    return configuration_;
}

const agent_directory& entry_process::agents() const noexcept
{
    return agents_;
}

const entry_directory& entry_process::entries() const noexcept
{
    return entries_;
}

const job_service& entry_process::jobs() const noexcept
{
    return jobs_;
}

const submission_service& entry_process::submissions() const noexcept
{
    return submissions_;
}

const link_hub& entry_process::links() const noexcept
{
    return hub_;
}

const dispatcher& entry_process::job_dispatcher() const noexcept
{
    return dispatcher_;
}

event_collector& entry_process::events() noexcept
{
    return collector_;
}

const process_identity& entry_process::identity() const noexcept
{
    return identity_;
}

time_point entry_process::now() const
{
    return dependencies_.loop.now();
}

bool entry_process::leaving() const noexcept
{
    return leaving_;
}

} // namespace agatebank
