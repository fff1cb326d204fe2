#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/random_jitter.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <map>

namespace agatebank
{

/// @brief Exponential back-off with jitter for agents that refuse starts: the
/// pause doubles with each consecutive refusal. The budget of refusals is a
/// share of the starts sent; a refusal beyond it causes the longest pause.
class retry_pacer
{
  public:
    // construction
    explicit retry_pacer(uint64_t seed);

    // modifiers
    void on_start();
    void on_refusal(agent_incarnation agent, time_point now);
    /// @brief Records that the agent has run a task, which ends the pause.
    void on_run(agent_incarnation agent);
    void remove(agent_incarnation agent);

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
