#pragma once

#include <agatebank/http/http_client.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace agatebank
{

/// @brief When further copies of an unanswered call are sent.
struct hedge_options
{
    duration delay{};        ///< time without an answer before the next copy
    unsigned max_copies = 3; ///< maximum number sent, including the first
};

/// @brief What became of the copies of a call.
struct hedge_outcome
{
    uint64_t copies = 0; ///< sent
    /// whether each copy that may have been received was answered
    bool all_answered = true;
};

/// @brief Sends hedged calls: while a call that may be repeated is unanswered,
/// sends further copies of it over other connections, and uses the first answer
/// (Dean and Barroso, The Tail at Scale, 2013). The remaining copies are not
/// cancelled, so that their connections can be reused.
///
/// Load pattern: a peer never answers a fraction of the calls, but answers the
/// next copy immediately.
class hedged_caller
{
  public:
    /// Sends one copy of a call, as http_client::send does.
    using sender = std::function<http_call_handle(http_completion)>;

    // construction
    explicit hedged_caller(timer_queue& timers);
    ~hedged_caller();
    hedged_caller(const hedged_caller&) = delete;
    hedged_caller& operator=(const hedged_caller&) = delete;

    // calls
    /// @brief Sends a call that may be repeated. @p done is called once: with
    /// the first answer, or with a failure when the peer refuses the
    /// connection, is another process than the expected one, or answered no
    /// copy. The call may have been received if any of its copies may have
    /// been.
    /// @param settled called once, when no copy is under way any more, before
    /// @p done if that is called then too
    void send(sender copy_sender, const hedge_options& options,
              http_completion done,
              std::function<void(const hedge_outcome&)> settled = {});

  private:
    struct pending;

    void send_copy(uint64_t number);
    void on_outcome(uint64_t number, uint64_t copy,
                    const tl::expected<http_response, http_failure>& outcome);

    timer_queue& timers_;
    std::map<uint64_t, pending> pending_;
    uint64_t last_number_ = 0;
};

} // namespace agatebank
