#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/random_jitter.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <map>

namespace agatebank
{

/// @brief Paces the starts at agents that refused one: a pause that doubles
/// with each refusal in a row, with jitter. Refusals beyond a budget, a share
/// of the starts sent, pause at once for the longest time.
class retry_pacer
{
  public:
    // construction
    explicit retry_pacer(uint64_t seed);

    // modifiers
    void on_start();
    void on_refusal(agent_incarnation agent, time_point now);
    /// @brief The agent ran a start.
    void on_run(agent_incarnation agent);
    void forget(agent_incarnation agent);

    // lookup
    bool may_start(agent_incarnation agent, time_point now) const;

  private:
    struct pause
    {
        unsigned refusals = 0;
        time_point until;
    };

    random_jitter jitter_;
    double budget_;
    std::map<agent_incarnation, pause> pauses_;
};

} // namespace agatebank
