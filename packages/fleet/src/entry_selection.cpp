#include <agatebank/fleet/entry_selection.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace agatebank
{

namespace
{

uint64_t to_score(const std::string& process, const entry_address& entry)
{
    const auto text =
        process + "|" + entry.address + ":" + std::to_string(entry.port);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::set<entry_address> select_entries(const std::string& process,
                                       const std::vector<entry_record>& entries,
                                       std::size_t count)
{
    std::vector<std::pair<uint64_t, const entry_record*>> ranked;
    ranked.reserve(entries.size());
    for (const auto& it : entries)
    {
        ranked.emplace_back(to_score(process, it.address), &it);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b)
              {
                  return a.first != b.first
                             ? a.first > b.first
                             : a.second->address < b.second->address;
              });
    std::set<entry_address> out;
    std::set<failure_domain_name> domains;
    for (const auto& [score, entry] : ranked)
    {
        if (out.size() < count && domains.insert(entry->failure_domain).second)
        {
            out.insert(entry->address);
        }
    }
    for (const auto& [score, entry] : ranked)
    {
        if (out.size() >= count)
        {
            break;
        }
        out.insert(entry->address);
    }
    return out;
}

} // namespace agatebank
