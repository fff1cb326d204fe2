#include <agatebank/core/configuration_difference.hpp>
#include <agatebank/core/configuration_document.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace agatebank
{

namespace
{

using item_map = std::map<std::string, std::string>;

template <class Rule>
void add_rules(item_map& out, const std::string& path,
               const std::vector<Rule>& rules)
{
    for (const auto& r : rules)
    {
        out[path + r.name.value()] = to_json(r).dump();
    }
}

item_map to_items(const configuration& c)
{
    item_map out;
    for (const auto& row : c.inventory)
    {
        out["/inventory/" + row.target.value()] = to_json(row).dump();
    }
    add_rules(out, "/rules/services/", c.rules.services);
    add_rules(out, "/rules/patience/", c.rules.patience);
    add_rules(out, "/rules/callers/", c.rules.callers);
    add_rules(out, "/rules/operators/", c.rules.operators);
    out["/rules/weights"] = to_json(c.rules.weights).dump();
    for (const auto& [target, state] : c.target_states)
    {
        if (state != target_state::active)
        {
            out["/target_states/" + target.value()] =
                nlohmann::json(to_word(state)).dump();
        }
    }
    return out;
}

std::string find_or_empty(const item_map& items, const std::string& path)
{
    const auto it = items.find(path);
    return it == items.end() ? std::string() : it->second;
}

nlohmann::json to_value(const std::string& text)
{
    return text.empty() ? nlohmann::json() : nlohmann::json::parse(text);
}

struct item_counts
{
    unsigned added = 0;
    unsigned removed = 0;
    unsigned changed = 0;
};

void append(std::string& out, unsigned n, const char* word)
{
    if (n > 0)
    {
        out += (out.empty() ? "" : ", ") + std::to_string(n) + " " + word;
    }
}

std::string to_string(const item_counts& n)
{
    std::string out;
    append(out, n.added, "added");
    append(out, n.removed, "removed");
    append(out, n.changed, "changed");
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
    const auto old_items = to_items(before);
    const auto new_items = to_items(after);
    std::vector<item_difference> out;
    for (const auto& [path, text] : old_items)
    {
        const auto now = find_or_empty(new_items, path);
        if (now != text)
        {
            out.push_back({path, text, now});
        }
    }
    for (const auto& [path, text] : new_items)
    {
        if (old_items.count(path) == 0)
        {
            out.push_back({path, {}, text});
        }
    }
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
                       {"before", to_value(it.before)},
                       {"after", to_value(it.after)}});
    }
    return out;
}

} // namespace agatebank
