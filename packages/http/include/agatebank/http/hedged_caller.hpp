#pragma once

#include <agatebank/http/http_client.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace agatebank
{

/// @brief When a call is sent again beside the one that is still open.
struct hedge_options
{
    duration after{};    ///< without an answer, between two sendings
    unsigned copies = 3; ///< sent at most, the first included
};

/// @brief Sends calls that may be repeated, again on another connection while
/// no answer has come; the first answer counts (Dean and Barroso, The Tail at
/// Scale, 2013). A call that was overtaken runs to its end, so that its
/// connection is kept.
///
/// Load pattern: a share of the calls to a peer is never answered, while the
/// next one is answered at once.
class hedged_caller
{
  public:
    // construction
    hedged_caller(timer_queue& timers, http_client& client);
    ~hedged_caller();
    hedged_caller(const hedged_caller&) = delete;
    hedged_caller& operator=(const hedged_caller&) = delete;

    // calls
    /// @brief Sends a call. @p done is called once: with the first answer, or
    /// with the last failure when no copy was answered.
    /// @pre call.may_resend
    void send(const http_call& call, const hedge_options& options,
              http_completion done);

  private:
    struct pending;

    void send_copy(uint64_t number);
    void on_outcome(uint64_t number, uint64_t copy,
                    const tl::expected<http_response, http_failure>& outcome);

    timer_queue& timers_;
    http_client& client_;
    std::map<uint64_t, pending> pending_;
    uint64_t last_number_ = 0;
};

} // namespace agatebank
