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
    /// @brief Why the process does not serve now; nothing when it does.
    using not_serving = std::function<std::optional<failure>()>;

    // construction
    /// @brief Registers the routes on @p server.
    caller_api(http_server& server, entry_incarnation self,
               submission_id_codec codec, submission_service& submissions,
               forwarder& forwarding, current_view view, not_serving serving);

  private:
    /// a handler for a caller whose token is known
    using caller_handler = std::function<void(
        const caller_rule&, const http_request&, http_responder)>;

    void add(const std::string& method, const std::string& pattern,
             caller_handler handler);
    void reserve(const caller_rule& caller, const http_request& rq,
                 const http_responder& respond);
    void create(const caller_rule& caller, const http_request& rq,
                http_responder respond);
    void pass_on(forward_kind kind, const caller_rule& caller,
                 const http_request& rq, http_responder respond);

    http_server& server_;
    entry_incarnation self_;
    submission_id_codec codec_;
    submission_service& submissions_;
    forwarder& forwarding_;
    current_view view_;
    not_serving not_serving_;
};

/// @brief Serves a caller's request on a submission of this entry.
void serve_request(submission_service& submissions,
                   const forward_request& request, http_responder respond);

} // namespace agatebank
