#include <agatebank/core/configuration_edit.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

bool has_target(const configuration& c, const target_name& target)
{
    return std::any_of(c.inventory.begin(), c.inventory.end(),
                       [&](const auto& row) { return row.target == target; });
}

void drop_states_of_unknown_targets(configuration& c)
{
    std::map<target_name, target_state> kept;
    for (const auto& row : c.inventory)
    {
        const auto it = c.target_states.find(row.target);
        if (it != c.target_states.end())
        {
            kept.insert(*it);
        }
    }
    c.target_states = std::move(kept);
}

} // namespace

configuration_edit replace_inventory(std::vector<inventory_row> inventory)
{
    return {"/inventory",
            [rows = std::move(inventory)](
                const configuration& c) -> result<configuration>
            {
                auto out = c;
                out.inventory = rows;
                drop_states_of_unknown_targets(out);
                return out;
            }};
}

configuration_edit replace_rules(rule_set rules)
{
    return {"/rules",
            [rules = std::move(rules)](
                const configuration& c) -> result<configuration>
            {
                auto out = c;
                out.rules = rules;
                return out;
            }};
}

configuration_edit set_target_state(const target_name& target,
                                    target_state state)
{
    return {"/target_states/" + target.value(),
            [target, state](const configuration& c) -> result<configuration>
            {
                if (!has_target(c, target))
                {
                    return fail(errc::not_found, "configuration.edit",
                                target.value(),
                                "the inventory has no such target");
                }
                auto out = c;
                out.target_states.erase(target);
                if (state != target_state::active)
                {
                    out.target_states[target] = state;
                }
                return out;
            }};
}

configuration make_next_version(configuration edited, change_record record)
{
    edited.version = config_version(edited.version.value() + 1);
    record.version = edited.version;
    edited.change_id = record.change_id;
    edited.changed_by = record.changed_by;
    edited.history.push_back(std::move(record));
    if (edited.history.size() > max_history_records)
    {
        edited.history.erase(edited.history.begin());
    }
    return edited;
}

} // namespace agatebank
