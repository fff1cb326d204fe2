#pragma once

#include <agatebank/http/http_client.hpp>

#include <functional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Data that the target announces to its agent.
struct announcement
{
    std::vector<std::string> services;
    unsigned slots = 0;
    std::string url;
};

/// @brief Announces the target to its agent periodically until the target is
/// withdrawn.
class announcer
{
  public:
    // construction
    /// @param agent_url base URL of the agent; if empty, nothing is announced
    /// @param current returns the data to announce; if its URL is empty, this
    /// announcement is skipped
    announcer(event_loop& loop, http_client& client, std::string agent_url,
              std::function<announcement()> current);

    // modifiers
    void start();
    /// @brief Sends one announcement at once.
    void announce();
    /// @brief Stops announcing and withdraws the target.
    /// @param done called once the agent has replied or the call has failed
    void withdraw(std::function<void()> done);

  private:
    event_loop& loop_;
    http_client& client_;
    std::string agent_url_;
    std::function<announcement()> current_;
    watch timer_;
    http_call_handle call_;
};

} // namespace agatebank
