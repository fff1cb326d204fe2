#pragma once

#include <agatebank/entry/entry_directory.hpp>
#include <agatebank/entry/gatherer.hpp>
#include <agatebank/entry/peer_links.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <map>

namespace agatebank
{

/// @brief Passes callers' requests on to the entry that issued the
/// submission, and has them gathered when that entry is gone. A request is
/// sent again over a new connection while the issuer lives: the issuer
/// answers a repeated request from its record.
class forwarder
{
  public:
    // construction
    forwarder(event_loop& loop, timer_queue& timers, peer_links& links,
              entry_directory& entries, gatherer& gathering);

    // modifiers
    /// @brief Forwards a request and passes on the issuer's response.
    void forward(forward_request request, http_responder respond);
    void on_reply(const forward_reply& reply);
    /// @brief Sends what waits for a link to this issuer.
    void on_up(entry_incarnation issuer);
    void on_closed(link_id link);

    // lookup
    std::size_t pending() const noexcept;

  private:
    struct pending_request
    {
        forward_request request;
        http_responder respond;
        time_point give_up;
        link_id sent_on;
        timer_id retry;
    };

    void attempt(uint64_t number);
    void retry_later(uint64_t number);
    void hand_to_gatherer(uint64_t number);
    void give_up(uint64_t number);

    event_loop& loop_;
    timer_queue& timers_;
    peer_links& links_;
    entry_directory& entries_;
    gatherer& gathering_;
    uint64_t last_number_ = 0;
    std::map<uint64_t, pending_request> requests_;
};

} // namespace agatebank
