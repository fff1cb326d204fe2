#include <agatebank/node/entry_node.hpp>

/// @file
/// The part of entry_node that receives load reports.

namespace agatebank
{

void entry_node::on_target_update(link_id link, const target_update& update)
{
    const auto it = agents_.find(link);
    if (it == agents_.end())
    {
        return;
    }
    const auto agent = it->second;
    const auto target = scheduler_.targets().find(agent);
    if (target != scheduler_.targets().end())
    {
        reports_.count_update(target->second.load(), update.load);
    }
    scheduler_.set_load(agent, update.load, context_.loop.now());
    if (update.load.accepts_work)
    {
        context_.observer.on_phase(phase_target);
    }
}

} // namespace agatebank
