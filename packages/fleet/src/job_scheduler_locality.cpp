#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <chrono>
#include <utility>

// Accounting of the waits near the data.

namespace agatebank
{

namespace
{

/// Longest wait of an order that no agent gives up for its wait alone. It is
/// dropped once it can't end usefully, which is seconds after its receipt.
constexpr duration no_wait_limit = std::chrono::hours(1);

} // namespace

job_scheduler::wait_limit
job_scheduler::note_locality(scheduled_task& task,
                             const placement_choice& choice)
{
    if (!choice.locality)
    {
        return {};
    }
    const auto& [input, decision] = *choice.locality;
    const bool waits = decision.action == locality_action::wait_near &&
                       decision.granted.count() > 0;
    if (waits)
    {
        ++counts_.locality_waits;
        task.has_waited = true;
        task.wait = choice.locality;
    }
    if (decision.action == locality_action::run_elsewhere)
    {
        ++counts_.locality_elsewhere;
    }
    if (task.wait_given_up && starts_behind_others(input))
    {
        return {true, no_wait_limit};
    }
    return {waits, task.returned ? duration(0) : decision.granted};
}

void job_scheduler::settle_wait(const job_record& job, uint32_t index,
                                const locality_choice& wait,
                                const order_result& end)
{
    const duration queued(end.queued_us);
    const duration expected_elsewhere =
        wait.input.elsewhere->start + wait.input.elsewhere->run;
    const bool done = end.outcome == run_outcome::done;
    const auto gain =
        done ? expected_elsewhere - queued - duration(end.run_us) : -queued;
    counts_.locality_waits_given_up += done ? 0 : 1;
    const auto to_ms = [](duration d)
    {
        return static_cast<uint64_t>(d / std::chrono::milliseconds(1));
    };
    counts_.locality_granted_ms += to_ms(wait.decision.granted);
    counts_.locality_waited_ms += to_ms(queued);
    (gain.count() >= 0 ? counts_.locality_gained_ms
                       : counts_.locality_lost_ms) +=
        to_ms(gain.count() >= 0 ? gain : -gain);
    log(log_level::info, job,
        "waited " + to_ms_text(queued) + " near its data, then " +
            to_word(end.outcome) + "; ended " + to_ms_text(gain) +
            " before the expected end elsewhere; " + to_text(wait),
        static_cast<int32_t>(index));
}

void job_scheduler::drop_wait(const job_record& job, uint32_t index,
                              scheduled_task& task, const char* why)
{
    if (const auto wait = std::exchange(task.wait, std::nullopt))
    {
        ++counts_.locality_waits_given_up;
        log(log_level::info, job,
            std::string("order to wait near its data ended: ") + why + "; " +
                to_text(*wait),
            static_cast<int32_t>(index));
    }
}

} // namespace agatebank
