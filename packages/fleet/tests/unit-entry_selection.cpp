#include <agatebank/fleet/entry_selection.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace agatebank;

namespace
{

constexpr std::size_t link_count = 8;
constexpr std::size_t domain_count = 5;

entry_record make_entry(std::size_t i)
{
    entry_record out;
    out.address = {"10.0." + std::to_string(i / 250) + "." +
                       std::to_string(i % 250 + 1),
                   7720};
    out.failure_domain =
        failure_domain_name("domain-" + std::to_string(i % domain_count));
    out.version = 1;
    return out;
}

std::string agent_name(std::size_t i)
{
    return "agent-" + std::to_string(i);
}

// Entries that come and go, and the selections of some agents among them.
struct history
{
    std::vector<entry_record> entries;
    std::map<std::size_t, std::set<entry_address>> selections;

    void select_all(std::size_t agents)
    {
        for (std::size_t i = 0; i < agents; ++i)
        {
            selections[i] = select_entries(agent_name(i), entries, link_count);
        }
    }
};

std::size_t count_domains(const std::set<entry_address>& selection,
                          const std::vector<entry_record>& entries)
{
    std::set<failure_domain_name> out;
    for (const auto& it : entries)
    {
        if (selection.count(it.address) != 0)
        {
            out.insert(it.failure_domain);
        }
    }
    return out.size();
}

// Number of entries that are in one selection only.
std::size_t count_moved(const std::set<entry_address>& before,
                        const std::set<entry_address>& after)
{
    std::vector<entry_address> moved;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(),
                                  after.end(), std::back_inserter(moved));
    return moved.size();
}

} // namespace

// Guards against links that grow with the entries, and against a mass move of
// links when one entry comes or goes.
TEST_CASE("entry_selection: over random histories each agent keeps a fixed "
          "number of links in all failure domains, and a change moves few")
{
    rc::prop(
        "links and moves are bounded",
        []
        {
            constexpr std::size_t agents = 20;
            history h;
            const auto initial = *rc::gen::inRange<std::size_t>(1, 70);
            std::size_t next = 0;
            while (next < initial)
            {
                h.entries.push_back(make_entry(next++));
            }
            h.select_all(agents);
            for (int step = 0; step < 12; ++step)
            {
                const auto before = h.selections;
                if (h.entries.empty() || *rc::gen::arbitrary<bool>())
                {
                    h.entries.push_back(make_entry(next++));
                }
                else
                {
                    const auto at =
                        *rc::gen::inRange<std::size_t>(0, h.entries.size());
                    h.entries.erase(h.entries.begin() +
                                    static_cast<std::ptrdiff_t>(at));
                }
                h.select_all(agents);
                std::set<failure_domain_name> domains;
                for (const auto& it : h.entries)
                {
                    domains.insert(it.failure_domain);
                }
                for (const auto& [agent, selection] : h.selections)
                {
                    RC_ASSERT(selection.size() ==
                              std::min(link_count, h.entries.size()));
                    RC_ASSERT(count_domains(selection, h.entries) ==
                              std::min(domains.size(), selection.size()));
                    // The changed entry and one that takes or loses its place;
                    // two more where the best of a failure domain changes.
                    RC_ASSERT(count_moved(before.at(agent), selection) <= 4);
                }
            }
        });
}

// Guards against an entry that no agent selects, and against one that many
// more select than the others.
TEST_CASE("entry_selection: agents are spread over the entries, at sizes up to "
          "a thousand machines")
{
    struct row
    {
        std::size_t entries;
        std::size_t agents;
    };
    const row rows[] = {{3, 11}, {13, 71}, {55, 240}, {180, 820}};
    for (const auto& r : rows)
    {
        INFO(r.entries << " entries, " << r.agents << " agents");
        std::vector<entry_record> entries;
        for (std::size_t i = 0; i < r.entries; ++i)
        {
            entries.push_back(make_entry(i));
        }
        std::map<entry_address, std::size_t> links;
        for (std::size_t i = 0; i < r.agents; ++i)
        {
            for (const auto& it :
                 select_entries(agent_name(i), entries, link_count))
            {
                ++links[it];
            }
        }
        const double mean =
            static_cast<double>(std::min(link_count, r.entries) * r.agents) /
            static_cast<double>(r.entries);
        CHECK(links.size() == r.entries);
        for (const auto& [address, n] : links)
        {
            CHECK(static_cast<double>(n) > mean / 3);
            CHECK(static_cast<double>(n) < mean * 2);
        }
    }
}

TEST_CASE("entry_selection: with no more entries than links, all are selected")
{
    std::vector<entry_record> entries;
    CHECK(select_entries("agent", entries, link_count).empty());
    for (std::size_t i = 0; i < link_count; ++i)
    {
        entries.push_back(make_entry(i));
        CHECK(select_entries("agent", entries, link_count).size() ==
              entries.size());
    }
}
