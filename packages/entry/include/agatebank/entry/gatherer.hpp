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

/// @brief Answers for submissions whose issuing entry is gone: asks every
/// agent for what it holds. All answers there make the whole answer;
/// otherwise the submission is marked failed, "may have run". The first
/// verdict stands.
///
/// Agents fence the submission when they are asked, so that nothing of it
/// starts later, even if the issuer was only frozen.
class gatherer
{
  public:
    // construction
    gatherer(event_loop& loop, timer_queue& timers, agent_directory& agents,
             event_ring& events);

    // modifiers
    /// @brief Gathers a submission and responds with its verdict, or with
    /// "running" when @p wait passes while tasks still run.
    void gather(const submission_id& id, const std::string& id_text,
                duration wait, http_responder respond);
    void on_reply(agent_incarnation agent, const gather_reply& reply);

    // lookup
    std::size_t pending() const noexcept;

  private:
    struct inquiry
    {
        submission_id submission;
        std::string id_text;
        time_point give_up;
        http_responder respond;
        std::set<agent_incarnation> awaited;
        std::map<task_index, held_report> held;
        uint32_t running = 0;
        timer_id round_end;
    };

    void begin_round(uint64_t number);
    void end_round(uint64_t number);
    void conclude(uint64_t number);
    std::string verdict_of(const inquiry& q) const;

    event_loop& loop_;
    timer_queue& timers_;
    agent_directory& agents_;
    event_ring& events_;
    uint64_t last_number_ = 0;
    std::unordered_map<uint64_t, inquiry> inquiries_;
    std::unordered_map<submission_id, std::string> verdicts_;
};

} // namespace agatebank
