#include <agatebank/node/entry_node.hpp>

#include <utility>

/// @file
/// The parts of entry_node that put configurations and evacuations in force.

namespace agatebank
{

namespace
{

constexpr const char* step_configuration = "configuration";

} // namespace

void entry_node::update_configuration(const std::string& text,
                                      const char* source)
{
    auto read = hooks_.parse_routes(text);
    if (!read)
    {
        context_.log(to_record(log_level::error, read.error()));
        return;
    }
    if (read->version() <= routes_.version())
    {
        return;
    }
    routes_ = std::move(*read);
    configuration_text_ = text;
    context_.observer.on_phase(phase_configuration);
    context_.log(to_line(
        log_level::info,
        "configuration version " + std::to_string(routes_.version().value()) +
            " is in force, " + std::to_string(routes_.routes().size()) +
            " routes, received from " + source,
        step_configuration));
    report_readiness();
    if (configuration_handler_)
    {
        configuration_handler_();
    }
}

void entry_node::on_configuration(std::function<void()> handler)
{
    configuration_handler_ = std::move(handler);
}

void entry_node::update_evacuation(const evacuation_state& state,
                                   const std::string& source)
{
    if (!scheduler_.set_evacuation(state, source))
    {
        return;
    }
    for (const auto& [link, agent] : agents_)
    {
        send_evacuation(link);
    }
    for (const auto link : peers_)
    {
        send_evacuation(link);
    }
    scheduler_.tick(context_.loop.now());
}

const route_table& entry_node::routes() const noexcept
{
    return routes_;
}

} // namespace agatebank
