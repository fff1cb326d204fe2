#include <agatebank/admin/live_status.hpp>
#include <agatebank/core/configuration_document.hpp>

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace agatebank
{

namespace
{

std::string to_hex(uint64_t n)
{
    constexpr std::size_t buffer_size = 17; // 16 digits and the final null
    char buf[buffer_size];
    std::snprintf(buf, sizeof buf, "%016" PRIx64, n);
    return buf;
}

} // namespace

bool must_apply_configuration(const process_status& process)
{
    return process.reachable && !process.leaving;
}

bool is_in_force_everywhere(const std::vector<process_status>& processes,
                            config_version version)
{
    return std::all_of(processes.begin(), processes.end(),
                       [&](const auto& p) {
                           return !must_apply_configuration(p) ||
                                  p.version >= version;
                       });
}

nlohmann::json to_json(const target_status& status)
{
    auto services = nlohmann::json::array();
    for (const auto& s : status.services)
    {
        services.push_back(s.value());
    }
    return {{"target", status.target.value()},
            {"worker", status.worker.value()},
            {"failure_domain", status.failure_domain.value()},
            {"agent", status.agent},
            {"state", to_word(status.state)},
            {"services", std::move(services)},
            {"slots", status.slots},
            {"in_flight", status.in_flight},
            {"ejected", status.ejected},
            {"accepts_work", status.accepts_work},
            {"version", status.version.value()}};
}

nlohmann::json to_json(const process_status& status)
{
    return {{"kind", status.kind == process_kind::entry ? "entry" : "agent"},
            {"name", status.name},
            {"incarnation", to_hex(status.incarnation)},
            {"failure_domain", status.failure_domain.value()},
            {"address", status.address},
            {"version", status.version.value()},
            {"leaving", status.leaving},
            {"reachable", status.reachable}};
}

nlohmann::json to_json(const event& e)
{
    return {{"wall_us", e.stamp.wall_us}, {"counter", e.stamp.counter},
            {"kind", to_word(e.kind)},    {"process", e.process},
            {"submission", e.submission}, {"task", e.task},
            {"target", e.target},         {"peer", e.peer},
            {"detail", e.detail}};
}

} // namespace agatebank
