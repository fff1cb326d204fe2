#pragma once

#include <agatebank/entry/entry_directory.hpp>
#include <agatebank/entry/gatherer.hpp>
#include <agatebank/entry/peer_links.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <map>

namespace agatebank
{

/// @brief Forwards callers' requests to the entry that issued the submission,
/// or to the gatherer when that entry is lost.
///
/// While the issuer is live, an unanswered request is sent again over each new
/// connection. The repetition starts nothing: the issuer answers it from its
/// record of the submission.
class forwarder
{
  public:
    // construction
    forwarder(event_loop& loop, timer_queue& timers, peer_links& links,
              entry_directory& entries, gatherer& gathering);

    // modifiers
    /// @brief Forwards a request and responds with the issuer's response, or
    /// with 503 when there is none in time.
    void forward(forward_request request, http_responder respond);
    /// @brief Responds to the caller; an unknown request is ignored.
    void on_reply(const forward_reply& reply);
    /// @brief Sends the requests that wait for a link to this issuer.
    void on_link_up(entry_incarnation issuer);
    /// @brief Marks the requests sent on a closed link as unsent.
    void on_closed(link_id link);

    // lookup
    /// @brief Number of requests that are not answered yet.
    std::size_t pending() const noexcept;

  private:
    struct pending_request
    {
        forward_request request;
        http_responder respond;
        time_point expiry;
        link_id sent_on; ///< 0 while not sent
        timer_id check_timer;
    };

    void try_send(uint64_t number);
    void schedule_check(uint64_t number);
    void pass_to_gatherer(uint64_t number);
    void respond_unreachable(uint64_t number);

    event_loop& loop_;
    timer_queue& timers_;
    peer_links& links_;
    entry_directory& entries_;
    gatherer& gatherer_;
    uint64_t last_number_ = 0;
    std::map<uint64_t, pending_request> requests_;
};

} // namespace agatebank
