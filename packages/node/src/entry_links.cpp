#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/entry_selection.hpp>
#include <agatebank/node/entry_links.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* step_roster = "roster";

/// Changes of this period leave in one message: many entries are discovered
/// together while a system starts.
constexpr duration change_period = 100ms;
/// A link that is no longer selected is kept for this long, as an entry that
/// has just answered again may be lost again.
constexpr duration unneeded_link_age = 2s;
/// An entry that can't be reached for this long counts as removed.
constexpr duration gone_timeout = 30s;

} // namespace

entry_links::entry_links(const node_context& context, link_hub& hub,
                         entry_links_options options, entry_links_hooks hooks)
    : context_(context)
    , hub_(hub)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
    , roster_(options_.self)
    , dialer_(
          context_.timers, {}, context_.random, context_.log,
          [this](std::size_t i, object_ptr<GSocketConnection> c)
          { on_connected(i, std::move(c)); },
          longest_dial_delay, [this](std::size_t i) { on_dial_failed(i); })
{
}

// modifiers

void entry_links::add_seeds(const std::vector<endpoint>& seeds)
{
    for (const auto& it : seeds)
    {
        roster_.add_seed({it.address, it.port}, context_.loop.now());
    }
    adjust_links();
}

void entry_links::merge(const roster_update& received)
{
    add_changes(roster_.merge(received.records, context_.loop.now()));
}

void entry_links::add_changes(const std::vector<entry_record>& changes)
{
    if (changes.empty())
    {
        return;
    }
    unsent_changes_.insert(unsent_changes_.end(), changes.begin(),
                           changes.end());
    adjust_pending_ = true;
}

void entry_links::on_received(link_id link)
{
    const auto it = linked_.find(link);
    if (it == linked_.end())
    {
        return;
    }
    auto& p = peers_.at(it->second);
    if (p.unreachable_since)
    {
        p.unreachable_since.reset();
        dialer_.reset_backoff(p.position);
        adjust_pending_ = true;
    }
}

bool entry_links::on_closed(link_id link)
{
    const auto it = linked_.find(link);
    if (it == linked_.end())
    {
        return false;
    }
    auto& p = peers_.at(it->second);
    linked_.erase(it);
    p.link.reset();
    p.unneeded_since.reset();
    p.unneeded_reported = false;
    set_unreachable(p);
    adjust_links();
    return true;
}

void entry_links::close(link_id link)
{
    const auto it = linked_.find(link);
    if (it == linked_.end())
    {
        return;
    }
    auto& p = peers_.at(it->second);
    linked_.erase(it);
    p.link.reset();
    p.unneeded_since.reset();
    p.unneeded_reported = false;
    hub_.close(link);
    adjust_pending_ = true;
}

void entry_links::tick()
{
    const auto now = context_.loop.now();
    if (options_.marks_gone)
    {
        mark_gone_entries(now);
    }
    if (adjust_pending_)
    {
        adjust_links();
    }
    report_unneeded(now);
    if (!unsent_changes_.empty() && now - last_sent_ >= change_period)
    {
        last_sent_ = now;
        context_.log(to_line(
            log_level::info,
            "roster changed by " + std::to_string(unsent_changes_.size()) +
                " records, now " + std::to_string(known_entries()) +
                " other entries, links to " + std::to_string(size()) + " of " +
                std::to_string(selected_.size()) + " selected ones",
            step_roster));
        hooks_.on_changes({std::exchange(unsent_changes_, {})});
    }
}

// links

entry_links::peer& entry_links::peer_of(const entry_address& address)
{
    const auto [it, is_new] = peers_.try_emplace(address);
    if (is_new)
    {
        it->second.position = dialer_.add({address.address, address.port});
        addresses_.push_back(address);
    }
    return it->second;
}

void entry_links::on_connected(std::size_t position,
                               object_ptr<GSocketConnection> connection)
{
    const auto address = addresses_[position];
    auto& p = peers_.at(address);
    const auto link = hub_.add(std::move(connection));
    p.dialing = false;
    p.link = link;
    linked_[link] = address;
    hooks_.on_opened(link);
    hub_.send(link, roster());
}

void entry_links::on_dial_failed(std::size_t position)
{
    set_unreachable(peers_.at(addresses_[position]));
}

void entry_links::set_unreachable(peer& p)
{
    if (!p.unreachable_since)
    {
        p.unreachable_since = context_.loop.now();
        adjust_pending_ = true;
    }
}

// Dials the selected entries and, for those of them that can't be reached, the
// next ones. Stops dialing all others.
void entry_links::adjust_links()
{
    adjust_pending_ = false;
    const auto known = roster_.others();
    selected_ = select_entries(options_.process, known, options_.link_count);
    std::vector<entry_record> reachable;
    for (const auto& it : known)
    {
        const auto found = peers_.find(it.address);
        if (found == peers_.end() || !found->second.unreachable_since)
        {
            reachable.push_back(it);
        }
    }
    auto needed = selected_;
    if (reachable.size() != known.size())
    {
        needed.merge(
            select_entries(options_.process, reachable, options_.link_count));
    }
    for (const auto& address : needed)
    {
        auto& p = peer_of(address);
        if (p.link || p.dialing)
        {
            continue;
        }
        p.dialing = true;
        if (p.unreachable_since)
        {
            dialer_.schedule_dial(p.position);
        }
        else
        {
            dialer_.dial(p.position);
        }
    }
    const auto now = context_.loop.now();
    for (auto& [address, p] : peers_)
    {
        if (needed.count(address) != 0)
        {
            p.unneeded_since.reset();
            continue;
        }
        if (p.dialing)
        {
            dialer_.cancel(p.position);
            p.dialing = false;
        }
        if (p.link && !p.unneeded_since)
        {
            p.unneeded_since = now;
        }
    }
}

void entry_links::report_unneeded(time_point now)
{
    std::vector<link_id> unneeded;
    for (const auto& [link, address] : linked_)
    {
        auto& p = peers_.at(address);
        if (p.unneeded_since && !p.unneeded_reported &&
            now - *p.unneeded_since >= unneeded_link_age)
        {
            p.unneeded_reported = true;
            unneeded.push_back(link);
        }
    }
    for (const auto it : unneeded)
    {
        hooks_.on_unneeded(it);
    }
}

void entry_links::mark_gone_entries(time_point now)
{
    for (const auto& address : selected_)
    {
        auto& p = peers_.at(address);
        if (!p.unreachable_since || now - *p.unreachable_since < gone_timeout)
        {
            continue;
        }
        if (const auto change = roster_.mark_gone(address, now))
        {
            context_.log(to_line(log_level::warning,
                                 "entry is gone, not reached for " +
                                     to_ms_text(now - *p.unreachable_since),
                                 step_roster, address.address));
            add_changes({*change});
        }
        // If the entry answers that it is not gone, it is given a full timeout
        // again.
        p.unreachable_since = now;
    }
    roster_.erase_long_gone(now);
}

// lookup

roster_update entry_links::roster() const
{
    return {roster_.records()};
}

std::size_t entry_links::known_entries() const
{
    return roster_.others().size();
}

std::optional<failure_domain_name>
entry_links::failure_domain(link_id link) const
{
    const auto it = linked_.find(link);
    if (it == linked_.end())
    {
        return std::nullopt;
    }
    for (const auto& record : roster_.others())
    {
        if (record.address == it->second)
        {
            return record.failure_domain;
        }
    }
    return failure_domain_name();
}

std::size_t entry_links::size() const noexcept
{
    return linked_.size();
}

} // namespace agatebank
