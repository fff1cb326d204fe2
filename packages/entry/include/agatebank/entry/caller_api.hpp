#pragma once

#include <agatebank/core/configuration_view.hpp>
#include <agatebank/core/submission_id.hpp>
#include <agatebank/entry/forwarder.hpp>
#include <agatebank/entry/submission_service.hpp>
#include <agatebank/http/http_server.hpp>

#include <functional>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief The HTTP interface for callers, described in docs/openapi.json.
class caller_api
{
  public:
    using current_view = std::function<const configuration_view&()>;
    /// @brief The reason for which requests are refused now (503); empty when
    /// they are served.
    using refusal_reason = std::function<std::optional<failure>()>;

    // construction
    /// @brief Registers the routes on @p server.
    /// @param self requests for submissions of other issuers are forwarded
    caller_api(http_server& server, entry_incarnation self,
               submission_id_codec codec, submission_service& submissions,
               forwarder& forwarding, current_view view, refusal_reason reason);

  private:
    /// handles a request whose token belongs to a configured caller
    using caller_handler = std::function<void(
        const caller_rule&, const http_request&, http_responder)>;

    void add_route(const std::string& method, const std::string& pattern,
                   caller_handler handler);
    void reserve_ids(const caller_rule& caller, const http_request& rq,
                     const http_responder& respond);
    void submit_job(const caller_rule& caller, const http_request& rq,
                    http_responder respond);
    void serve_or_forward(forward_kind kind, const caller_rule& caller,
                          const http_request& rq, http_responder respond);

    http_server& server_;
    entry_incarnation self_;
    submission_id_codec codec_;
    submission_service& submissions_;
    forwarder& forwarder_;
    current_view view_;
    refusal_reason refusal_reason_;
};

/// @brief Serves a request for a submission that this entry issued, whether
/// received from a caller or forwarded by another entry.
void serve_request(submission_service& submissions,
                   const forward_request& request, http_responder respond);

} // namespace agatebank
