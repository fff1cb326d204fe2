#include <agatebank/http/hedged_caller.hpp>

#include <utility>

namespace agatebank
{

namespace
{

// Whether no other copy of a call would be received either, as nothing or
// another process listens at the peer's address.
bool is_final(const std::error_code& code)
{
    return code == make_error_code(errc::peer_unreachable) ||
           code == make_error_code(errc::start_wrong_incarnation);
}

} // namespace

struct hedged_caller::pending
{
    sender copy_sender;
    hedge_options options;
    http_completion done; ///< empty after it has been called
    std::function<void(const hedge_outcome&)> settled;
    timer_id timer;
    uint64_t last_copy = 0;
    bool may_have_been_received = false; ///< some copy
    bool all_answered = true; ///< of the copies that may have been received
    std::map<uint64_t, http_call_handle> copies; ///< not yet completed
};

hedged_caller::hedged_caller(timer_queue& timers) : timers_(timers) {}

hedged_caller::~hedged_caller()
{
    for (const auto& [number, p] : pending_)
    {
        timers_.cancel(p.timer);
    }
}

void hedged_caller::send(sender copy_sender, const hedge_options& options,
                         http_completion done,
                         std::function<void(const hedge_outcome&)> settled)
{
    const auto number = ++last_number_;
    auto& p = pending_[number];
    p.copy_sender = std::move(copy_sender);
    p.options = options;
    p.done = std::move(done);
    p.settled = std::move(settled);
    send_copy(number);
}

void hedged_caller::send_copy(uint64_t number)
{
    auto& p = pending_.at(number);
    const auto copy = ++p.last_copy;
    p.timer = timer_id();
    if (copy < p.options.max_copies)
    {
        p.timer = timers_.schedule(p.options.delay,
                                   [this, number] { send_copy(number); });
    }
    p.copies[copy] = p.copy_sender(
        [this, number,
         copy](const tl::expected<http_response, http_failure>& outcome)
        { on_outcome(number, copy, outcome); });
}

void hedged_caller::on_outcome(
    uint64_t number, uint64_t copy,
    const tl::expected<http_response, http_failure>& outcome)
{
    auto& p = pending_.at(number);
    // Keeps the handle alive until its completion has returned.
    const auto keep = std::move(p.copies.at(copy));
    p.copies.erase(copy);
    http_completion done;
    const bool has_other_copy = p.timer != timer_id() || !p.copies.empty();
    p.may_have_been_received |=
        outcome || outcome.error().may_have_been_received || !p.copies.empty();
    p.all_answered &= outcome || !outcome.error().may_have_been_received;
    const bool final_failure =
        !outcome && (!has_other_copy || is_final(outcome.error().reason.code));
    if (outcome || final_failure)
    {
        timers_.cancel(std::exchange(p.timer, timer_id()));
        done = std::exchange(p.done, nullptr);
    }
    const bool may_have_been_received = p.may_have_been_received;
    const hedge_outcome copies{p.last_copy, p.all_answered};
    std::function<void(const hedge_outcome&)> settled;
    if (p.copies.empty() && p.timer == timer_id())
    {
        settled = std::move(p.settled);
        pending_.erase(number);
    }
    if (settled)
    {
        settled(copies);
    }
    if (done && outcome)
    {
        done(outcome);
    }
    else if (done)
    {
        auto error = outcome.error();
        error.may_have_been_received = may_have_been_received;
        done(tl::unexpected(std::move(error)));
    }
}

} // namespace agatebank
