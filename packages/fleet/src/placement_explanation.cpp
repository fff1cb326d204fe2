#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/placement_explanation.hpp>
#include <agatebank/fleet/target_rank.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace agatebank
{

namespace
{

std::string to_percent(double share)
{
    return std::to_string(std::lround(100 * share)) + " %";
}

std::string to_text(const ranked_target& t)
{
    const auto& r = t.rank;
    return std::string(r.late ? "late" : "in time") +
           (r.crowded ? ", crowded" : "") + (r.cold ? ", cold" : "") +
           (r.unsafe ? ", late if the run takes longer" : "") +
           (t.outside_rack ? ", outside the rack of the data" : "") +
           ", start in " + to_ms_text(t.forecast.start) + ", end in " +
           to_ms_text(t.choice.finish) + ", run time " +
           to_ms_text(t.forecast.run) + ", utilisation " +
           to_percent(r.utilisation);
}

std::string to_phrase(const locality_decision& decision)
{
    switch (decision.action)
    {
    case locality_action::run_near:
        return "runs near its data";
    case locality_action::wait_near:
        return "waits near its data for up to " + to_ms_text(decision.granted);
    case locality_action::run_elsewhere:
        break;
    }
    return "runs away from its data";
}

// Names the first component in which a target ranks behind the chosen one.
std::string deciding_component(const ranked_target& chosen,
                               const ranked_target& other)
{
    const auto& a = chosen.rank;
    const auto& b = other.rank;
    if (chosen.outside_rack != other.outside_rack)
    {
        return other.outside_rack ? "outside the rack of the data"
                                  : "waiting near the data does not pay off";
    }
    if (a.late != b.late)
    {
        return "late";
    }
    if (a.crowded != b.crowded)
    {
        return "crowded";
    }
    if (a.cold != b.cold)
    {
        return "cold";
    }
    if (a.unsafe != b.unsafe)
    {
        return "late if the run takes longer";
    }
    if (a.speed_or_finish != b.speed_or_finish)
    {
        return a.late ? "later end, by " + to_ms_text(other.choice.finish -
                                                      chosen.choice.finish)
                      : "faster than needed, kept for longer tasks";
    }
    return a.utilisation != b.utilisation
               ? "higher utilisation"
               : "equal rank, higher number of its agent";
}

} // namespace

placement_explanation explain_placement(const target_map& targets,
                                        const placement_request& request,
                                        const speed_lookup& speed,
                                        time_point now, std::size_t most)
{
    placement_explanation out;
    std::vector<ranked_target> ranked;
    visit_ranked_targets(targets, request, speed, now,
                         [&ranked](const ranked_target& t)
                         { ranked.push_back(t); });
    out.unusable = targets.size() - ranked.size();
    const auto choice = choose_target(targets, request, speed, now);
    if (!choice)
    {
        return out;
    }
    if (choice->locality)
    {
        out.locality = to_phrase(choice->locality->decision) + "; " +
                       to_text(*choice->locality);
    }
    const auto chosen =
        *std::find_if(ranked.begin(), ranked.end(),
                      [&choice](const ranked_target& t)
                      { return t.choice.agent == choice->agent; });
    const auto explain = [&targets, now](const ranked_target& t)
    {
        const auto& target = targets.at(t.choice.agent);
        explained_target it{
            t.choice.agent, target.profile().target, to_text(t), {}, {}};
        if (const auto at = target.reported_at())
        {
            it.load_age = now - *at;
        }
        return it;
    };
    out.chosen = explain(chosen);
    // One more than is reported, as the chosen target is among the best.
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(most + 1, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(),
                      [&chosen](const ranked_target& a, const ranked_target& b)
                      {
                          const bool a_apart =
                              a.outside_rack != chosen.outside_rack;
                          const bool b_apart =
                              b.outside_rack != chosen.outside_rack;
                          return std::tie(a_apart, a.rank, a.choice.agent) <
                                 std::tie(b_apart, b.rank, b.choice.agent);
                      });
    for (auto it = ranked.begin(); it != end; ++it)
    {
        if (it->choice.agent == chosen.choice.agent ||
            out.passed_over.size() == most)
        {
            continue;
        }
        out.passed_over.push_back(explain(*it));
        out.passed_over.back().decided_by = deciding_component(chosen, *it);
    }
    return out;
}

} // namespace agatebank
