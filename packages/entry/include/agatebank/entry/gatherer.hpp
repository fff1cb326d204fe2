#pragma once

#include <agatebank/entry/agent_directory.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace agatebank
{

/// @brief Settles submissions whose issuing entry is lost, from the reports
/// that the agents retain. The job is complete when the agents have the answers
/// of all its tasks; otherwise it is failed with "may-have-run". The first
/// settlement of a submission is stored for 10 minutes, during which this entry
/// gives it to later requests.
///
/// An agent that is queried fences the submission: it refuses every later start
/// of it, so that no task is started after the settlement even if the issuer
/// was only frozen and resumes.
class gatherer
{
  public:
    // construction
    gatherer(event_loop& loop, timer_queue& timers, agent_directory& agents,
             event_ring& events);

    // modifiers
    /// @brief Settles a submission and responds with its settlement, or with
    /// state "running" (202) when tasks still run after @p wait.
    /// @param id_text text of the submission id, for the response
    void gather(const submission_id& id, const std::string& id_text,
                duration wait, http_responder respond);
    /// @brief Processes an agent's reply; one that is not awaited is ignored.
    void on_reply(agent_incarnation agent, const gather_reply& reply);

    // lookup
    /// @brief Number of requests that are not answered yet.
    std::size_t pending() const noexcept;

  private:
    struct pending_gather
    {
        submission_id submission;
        std::string id_text;
        time_point wait_end;
        http_responder respond;
        std::set<agent_incarnation> awaited;
        std::map<task_index, held_report> held;
        uint32_t running = 0;
        timer_id round_end;
    };

    void begin_round(uint64_t number);
    void end_round(uint64_t number);
    void settle(uint64_t number);
    std::string make_settlement(const pending_gather& p) const;

    event_loop& loop_;
    timer_queue& timers_;
    agent_directory& agents_;
    event_ring& events_;
    uint64_t last_number_ = 0;
    std::unordered_map<uint64_t, pending_gather> pending_;
    std::unordered_map<submission_id, std::string> settlements_;
};

} // namespace agatebank
