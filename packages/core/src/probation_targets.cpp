#include <agatebank/core/probation_targets.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace agatebank
{

namespace
{

/// Targets that may be lost to tasks which crash them; the others have to bear
/// the remaining load.
constexpr double probation_share = 0.34;

} // namespace

std::size_t initial_probation_targets(std::size_t targets)
{
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(probation_share *
                                    static_cast<double>(targets)));
}

std::set<agent_incarnation>
select_probation_targets(const std::vector<agent_incarnation>& targets)
{
    return select_probation_targets(targets,
                                    initial_probation_targets(targets.size()));
}

std::set<agent_incarnation>
select_probation_targets(const std::vector<agent_incarnation>& targets,
                         std::size_t count)
{
    std::vector<std::pair<uint64_t, agent_incarnation>> ranked;
    for (const auto agent : targets)
    {
        const auto n = agent.value();
        ranked.emplace_back(XXH3_64bits(&n, sizeof n), agent);
    }
    std::sort(ranked.begin(), ranked.end());
    count = std::min(std::max<std::size_t>(1, count), ranked.size());
    std::set<agent_incarnation> out;
    for (std::size_t i = 0; i < count; ++i)
    {
        out.insert(ranked[i].second);
    }
    return out;
}

} // namespace agatebank
