#include <agatebank/wire/link_traffic.hpp>

namespace agatebank
{

namespace
{

// In the order of the alternatives of message.
constexpr std::array<const char*, message_kind_count> kind_names{
    "heartbeat",       "agent_hello",         "target_report",
    "slot_grant",      "start_reports",       "gather_reply",
    "entry_hello",     "demand_update",       "start_orders",
    "acknowledgement", "cancel_starts",       "agent_configuration",
    "gather_query",    "peer_hello",          "forward_request",
    "forward_reply",   "configuration_query", "configuration_document",
    "event_query",     "event_reply",         "target_hello",
    "target_update",   "run_batch",           "order_results",
    "cancel_orders",   "roster_update",       "crash_reports",
    "entry_load",      "relayed_job",         "relayed_outcome",
    "relay_cancel",    "evacuation_update",   "report_request"};

template <class Traffic>
void add(Traffic& sum, const Traffic& t)
{
    sum.messages_sent += t.messages_sent;
    sum.messages_received += t.messages_received;
    sum.bytes_sent += t.bytes_sent;
    sum.bytes_received += t.bytes_received;
}

} // namespace

const char* to_kind_name(std::size_t kind) noexcept
{
    return kind_names[kind];
}

link_traffic& link_traffic::operator+=(const link_traffic& other)
{
    add(*this, other);
    for (std::size_t i = 0; i < kinds.size(); ++i)
    {
        add(kinds[i], other.kinds[i]);
    }
    return *this;
}

} // namespace agatebank
