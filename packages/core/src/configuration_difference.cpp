#include <agatebank/core/configuration_difference.hpp>
#include <agatebank/core/configuration_document.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <unordered_map>

namespace agatebank
{

namespace
{

using item_list = std::vector<item_difference>;

const std::string& name_of(const inventory_row& row)
{
    return row.target.value();
}

template <class Rule>
const std::string& name_of(const Rule& rule)
{
    return rule.name.value();
}

// Adds the differences between two lists of named items. Only items that
// differ are serialised.
template <class T>
void add_differences(item_list& out, const std::string& path,
                     const std::vector<T>& before, const std::vector<T>& after)
{
    std::unordered_map<std::string_view, const T*> old_items;
    for (const auto& item : before)
    {
        old_items.emplace(name_of(item), &item);
    }
    for (const auto& item : after)
    {
        const auto it = old_items.find(name_of(item));
        if (it == old_items.end())
        {
            out.push_back({path + name_of(item), {}, to_json(item).dump()});
            continue;
        }
        if (*it->second != item)
        {
            out.push_back({path + name_of(item), to_json(*it->second).dump(),
                           to_json(item).dump()});
        }
        old_items.erase(it);
    }
    for (const auto& [name, item] : old_items)
    {
        out.push_back({path + std::string(name), to_json(*item).dump(), {}});
    }
}

void add_weights(item_list& out, const policy_weights& before,
                 const policy_weights& after)
{
    if (before != after)
    {
        out.push_back(
            {"/rules/weights", to_json(before).dump(), to_json(after).dump()});
    }
}

using state_map = std::map<target_name, target_state>;

// The JSON text of a target's state; empty for active, the default.
std::string state_text(const state_map& states, const target_name& target)
{
    const auto it = states.find(target);
    return it == states.end() || it->second == target_state::active
               ? std::string()
               : nlohmann::json(to_word(it->second)).dump();
}

void add_states(item_list& out, const state_map& before, const state_map& after)
{
    auto all = before;
    all.insert(after.begin(), after.end());
    for (const auto& item : all)
    {
        const auto old_state = state_text(before, item.first);
        const auto new_state = state_text(after, item.first);
        if (old_state != new_state)
        {
            out.push_back(
                {"/target_states/" + item.first.value(), old_state, new_state});
        }
    }
}

// Parses the JSON text of an item; null if it is empty.
nlohmann::json parse_or_null(const std::string& text)
{
    return text.empty() ? nlohmann::json() : nlohmann::json::parse(text);
}

struct item_counts
{
    unsigned added = 0;
    unsigned removed = 0;
    unsigned changed = 0;
};

void append_count(std::string& out, unsigned n, const char* word)
{
    if (n > 0)
    {
        out += (out.empty() ? "" : ", ") + std::to_string(n) + " " + word;
    }
}

std::string to_string(const item_counts& n)
{
    std::string out;
    append_count(out, n.added, "added");
    append_count(out, n.removed, "removed");
    append_count(out, n.changed, "changed");
    return out;
}

item_counts count(const std::vector<item_difference>& items)
{
    item_counts out;
    for (const auto& it : items)
    {
        auto& n = it.before.empty()  ? out.added
                  : it.after.empty() ? out.removed
                                     : out.changed;
        ++n;
    }
    return out;
}

} // namespace

std::vector<item_difference> difference(const configuration& before,
                                        const configuration& after)
{
    item_list out;
    const auto& old_rules = before.rules;
    const auto& new_rules = after.rules;
    add_differences(out, "/inventory/", before.inventory, after.inventory);
    add_differences(out, "/rules/services/", old_rules.services,
                    new_rules.services);
    add_differences(out, "/rules/patience/", old_rules.patience,
                    new_rules.patience);
    add_differences(out, "/rules/callers/", old_rules.callers,
                    new_rules.callers);
    add_differences(out, "/rules/operators/", old_rules.operators,
                    new_rules.operators);
    add_weights(out, old_rules.weights, new_rules.weights);
    add_states(out, before.target_states, after.target_states);
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.path < b.path; });
    return out;
}

bool is_in_part(const item_difference& item, std::string_view part)
{
    const std::string_view path = item.path;
    return path.substr(0, part.size()) == part &&
           (path.size() == part.size() || path[part.size()] == '/');
}

std::vector<item_difference>
select_part(const std::vector<item_difference>& items, std::string_view part)
{
    std::vector<item_difference> out;
    std::copy_if(items.begin(), items.end(), std::back_inserter(out),
                 [&](const auto& item) { return is_in_part(item, part); });
    return out;
}

std::string summarise(const std::vector<item_difference>& items)
{
    struct part_row
    {
        const char* path;
        const char* word;
    };
    constexpr std::array parts{part_row{"/inventory", "inventory"},
                               part_row{"/rules", "rules"},
                               part_row{"/target_states", "target states"}};
    std::string out;
    for (const auto& part : parts)
    {
        const auto selected = select_part(items, part.path);
        if (!selected.empty())
        {
            out += (out.empty() ? "" : "; ") + std::string(part.word) + ": " +
                   to_string(count(selected));
        }
    }
    return out.empty() ? "no difference" : out;
}

nlohmann::json to_json(const std::vector<item_difference>& items)
{
    auto out = nlohmann::json::array();
    for (const auto& it : items)
    {
        out.push_back({{"path", it.path},
                       {"before", parse_or_null(it.before)},
                       {"after", parse_or_null(it.after)}});
    }
    return out;
}

} // namespace agatebank
