#include <agatebank/fleet/entry_roster.hpp>

#include <chrono>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// A process that was cut off for this long may still pass on a record from
/// before the entry was gone.
constexpr duration gone_retention = 10min;

bool is_newer(const entry_record& a, const entry_record& b)
{
    return a.version != b.version ? a.version > b.version : a.gone && !b.gone;
}

} // namespace

entry_roster::entry_roster(std::optional<entry_record> self)
{
    if (self)
    {
        self_ = self->address;
        entries_[self->address] = {*self, {}};
    }
}

// modifiers

bool entry_roster::add_seed(const entry_address& address, time_point now)
{
    return entries_.emplace(address, known_entry{{address, {}, 0, false}, now})
        .second;
}

std::optional<entry_record>
entry_roster::to_newer(const entry_record& received) const
{
    const auto it = entries_.find(received.address);
    if (it == entries_.end())
    {
        return received;
    }
    const auto& known = it->second.record;
    if (!is_newer(received, known))
    {
        return std::nullopt;
    }
    if (received.address != self_)
    {
        return received;
    }
    auto own = known;
    own.version = received.version + (received.gone ? 1 : 0);
    return own;
}

std::vector<entry_record>
entry_roster::merge(const std::vector<entry_record>& received, time_point now)
{
    std::vector<entry_record> changes;
    for (const auto& it : received)
    {
        if (const auto newer = to_newer(it))
        {
            entries_[it.address] = {*newer, now};
            changes.push_back(*newer);
        }
    }
    return changes;
}

std::optional<entry_record>
entry_roster::mark_gone(const entry_address& address, time_point now)
{
    const auto it = entries_.find(address);
    if (it == entries_.end() || it->second.record.gone || address == self_)
    {
        return std::nullopt;
    }
    it->second.record.gone = true;
    it->second.changed_at = now;
    return it->second.record;
}

void entry_roster::erase_long_gone(time_point now)
{
    std::erase_if(entries_,
                  [now](const auto& it)
                  {
                      return it.second.record.gone &&
                             now - it.second.changed_at > gone_retention;
                  });
}

// lookup

std::vector<entry_record> entry_roster::records() const
{
    std::vector<entry_record> out;
    for (const auto& [address, entry] : entries_)
    {
        out.push_back(entry.record);
    }
    return out;
}

std::vector<entry_record> entry_roster::others() const
{
    std::vector<entry_record> out;
    for (const auto& [address, entry] : entries_)
    {
        if (!entry.record.gone && address != self_)
        {
            out.push_back(entry.record);
        }
    }
    return out;
}

bool entry_roster::is_member(const entry_address& address) const
{
    const auto it = entries_.find(address);
    return it != entries_.end() && !it->second.record.gone;
}

} // namespace agatebank
