#pragma once

#include <agatebank/http/http_client.hpp>

#include <functional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What the target tells the agent beside it.
struct announcement
{
    std::vector<std::string> services;
    unsigned slots = 0;
    std::string url;
};

/// @brief Announces the target to its agent until it says goodbye.
class announcer
{
  public:
    // construction
    /// @param agent_url base URL of the agent, empty: announces to nobody
    /// @param current what to announce now; empty URL: skip this time
    announcer(event_loop& loop, http_client& client, std::string agent_url,
              std::function<announcement()> current);

    // modifiers
    void start();
    void announce();
    /// @brief Withdraws the target. @param done when the agent has replied,
    /// or cannot be reached
    void goodbye(std::function<void()> done);

  private:
    event_loop& loop_;
    http_client& client_;
    std::string agent_url_;
    std::function<announcement()> current_;
    watch timer_;
    http_call_handle call_;
};

} // namespace agatebank
