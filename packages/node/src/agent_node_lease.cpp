#include <agatebank/core/duration_math.hpp>
#include <agatebank/node/agent_node.hpp>

#include <algorithm>
#include <utility>

/// @file
/// The parts of agent_node that call the target: its lease and its runs.

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* step_lease = "lease";

/// Long-poll time of a lease call while runs are active: a quarter of the
/// default lease.
constexpr duration list_wait = 250ms;
constexpr duration shortest_list_wait = 50ms;
/// Long-poll time while nothing runs under the lease.
constexpr duration idle_list_wait = 400ms;
/// Delay before the next lease call after a failure.
constexpr duration lease_retry_delay = 40ms;
/// The target refuses a start that arrives later than this after sending.
constexpr duration start_validity = 500ms;

target_time add(target_time t, duration d)
{
    return target_time(
        t.value() +
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

} // namespace

// lease

void agent_node::schedule_lease(duration delay)
{
    lease_timer_ = context_.loop.after(delay, [this] { extend_lease(); });
}

void agent_node::extend_lease()
{
    const auto now = context_.loop.now();
    lease_request request;
    request.last_end_seen = last_end_seen_;
    const auto clock = lease_.clock(now);
    const bool may_extend = lease_.may_extend(now);
    const auto extension = lease_.extension(heard_.oldest(scheduler_), now);
    if (may_extend && target_connected_)
    {
        const auto next = scheduler_.time_to_next_end(now);
        // A short lease is extended sooner. Stops of unknown runs are repeated
        // with each listing.
        request.wait =
            scheduler_.holds_ends()         ? shortest_list_wait
            : scheduler_.has_unknown_runs() ? list_wait
            : next ? std::clamp(extension / 4, shortest_list_wait, list_wait)
                   : idle_list_wait;
        request.expected_end =
            std::min(request.wait, next.value_or(request.wait));
    }
    if (clock && may_extend && extension.count() > 0)
    {
        request.lease_until = add(*clock, extension);
        lease_.on_extension_sent(extension, now);
        runs_ended_ = false;
    }
    lease_timer_.reset();
    const auto call = ++last_lease_call_;
    port_.extend_lease(
        request,
        [this, now, call](tl::expected<lease_answer, lease_failure> answer)
        {
            if (call != last_lease_call_)
            {
                return; // of an earlier incarnation
            }
            if (answer)
            {
                on_lease_answer(*answer, now);
            }
            else
            {
                on_lease_failure(answer.error());
            }
        });
}

void agent_node::on_lease_answer(const lease_answer& answer, time_point sent)
{
    const auto now = context_.loop.now();
    const auto held_back = announcements_.on_answer(answer.incarnation, now);
    if (answer.incarnation != target_->profile.incarnation)
    {
        // The target restarted, and has not yet announced its new incarnation,
        // or the announcement that is followed was not its own.
        scheduler_.set_accepting_orders(false, now);
        target_connected_ = false;
        if (held_back)
        {
            begin_incarnation(*held_back);
        }
        else if (std::exchange(unannounced_, answer.incarnation) !=
                 answer.incarnation)
        {
            // It knows no token yet, and would accept calls from before.
            last_end_seen_ = {};
            ++fencing_token_;
            set_target();
            extend_lease();
        }
        else
        {
            schedule_lease(lease_retry_delay);
        }
        schedule_flush();
        return;
    }
    if (!target_connected_)
    {
        context_.log(to_line(log_level::info, "target answers lease calls",
                             step_lease, target_->profile.target));
    }
    target_connected_ = true;
    context_.observer.on_phase(phase_target);
    lease_.on_answer(answer.clock, now);
    for (const auto& it : answer.ended)
    {
        last_end_seen_ = std::max(last_end_seen_, it.position);
    }
    if (std::exchange(first_list_pending_, false))
    {
        scheduler_.on_new_incarnation(answer, now);
        previous_target_drained_ = false;
    }
    scheduler_.on_listing(answer, sent, now);
    update_acceptance();
    schedule_lease(duration(0));
}

void agent_node::on_lease_failure(const lease_failure& why)
{
    const auto now = context_.loop.now();
    if (target_connected_)
    {
        context_.log(to_record(log_level::warning, why.reason));
    }
    target_connected_ = false;
    switch (why.error)
    {
    case lease_error::fenced:
        raise_fencing_token();
        break;
    case lease_error::unreachable:
        announcements_.on_unreachable();
        scheduler_.set_accepting_orders(false, now);
        scheduler_.on_target_unreachable(lease_.time_left(now), now);
        lease_.reset();
        break;
    case lease_error::wrong_target:
        if (const auto held_back = announcements_.on_wrong_target(now))
        {
            begin_incarnation(*held_back);
            update_acceptance();
            return;
        }
        break;
    case lease_error::no_answer:
    case lease_error::refused:
        break;
    }
    update_acceptance();
    schedule_lease(lease_retry_delay);
}

void agent_node::raise_fencing_token()
{
    fencing_token_ += fencing_token_step_;
    fencing_token_step_ *= 2;
    context_.log(to_line(log_level::warning,
                         "target rejected the fencing token, raised to " +
                             std::to_string(fencing_token_),
                         step_lease, target_->profile.target));
    set_target();
}

void agent_node::set_target()
{
    const auto& profile = target_->profile;
    port_.set_target(profile.target, profile.incarnation, fencing_token_);
}

void agent_node::update_acceptance()
{
    const auto now = context_.loop.now();
    scheduler_.set_accepting_orders(is_accepting_work(now), now);
    schedule_flush();
}

// runs

void agent_node::start_run(const run_id& id, const std::string& payload)
{
    const auto now = context_.loop.now();
    const auto clock = lease_.clock(now);
    const auto incarnation = target_->profile.incarnation;
    // The target extends its lease with the time until which a start is valid.
    const auto validity = std::min(
        start_validity, lease_.extension(heard_.oldest(scheduler_), now));
    lease_.on_start_sent(validity, now);
    port_.start({id, payload, add(clock.value_or(target_time()), validity)},
                [this, id, incarnation](start_answer a)
                {
                    if (incarnation == target_->profile.incarnation)
                    {
                        if (a == start_answer::accepted)
                        {
                            context_.observer.on_phase(phase_run);
                        }
                        scheduler_.on_start_answer(id, a, context_.loop.now());
                        schedule_flush();
                    }
                });
}

void agent_node::stop_run(const run_id& id)
{
    const auto incarnation = target_->profile.incarnation;
    port_.stop(id,
               [this, id, incarnation](bool taken)
               {
                   if (incarnation == target_->profile.incarnation)
                   {
                       scheduler_.on_stop_answer(id, taken,
                                                 context_.loop.now());
                   }
               });
}

} // namespace agatebank
