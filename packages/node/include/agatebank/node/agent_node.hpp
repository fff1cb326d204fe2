#pragma once

#include <agatebank/core/target_port.hpp>
#include <agatebank/fleet/run_board.hpp>
#include <agatebank/node/entry_roster.hpp>
#include <agatebank/node/node_context.hpp>
#include <agatebank/node/target_lease.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What an agent is told at its start.
struct agent_node_settings
{
    std::vector<endpoint> seeds; ///< link addresses of some entries
    lease_options lease;
};

/// @brief An agent that runs orders by amounts of room at the target beside
/// it: links to the entries, the lease, and the board of its runs.
class agent_node
{
  public:
    // construction
    agent_node(node_context context, agent_node_settings settings,
               target_port port);

    // life time
    void start();
    /// @brief Returns what waits, and ends when the runs have ended.
    void begin_stop(std::function<void()> done);
    /// @brief Dials further entries; those known stay.
    void add_seeds(const std::vector<endpoint>& seeds);

    // announcements of the target
    void on_announcement(const target_announcement& a);
    /// @brief The target says that it ends now.
    void on_withdrawal(const std::string& target);

    // lookup
    bool ready() const;
    const run_board& board() const noexcept;
    const link_hub& links() const noexcept;

  private:
    struct entry_link
    {
        uint64_t orders_seen = 0;
        target_load told;
        time_point told_at;
        std::vector<run_end> ends;
    };

    // links
    void on_connected(std::size_t position,
                      object_ptr<GSocketConnection> connection);
    void on_message(link_id link, message&& m);
    void on_closed(link_id link, const failure& why);
    void learn_entry(const entry_address& entry);
    void queue_end(order_source to, const run_end& end);
    void flush();
    void schedule_flush();
    void hello(link_id link);
    void hello_all();
    /// @brief The load to tell; the number of orders seen is the link's.
    target_load load_now() const;
    bool is_open(time_point now) const;

    // target
    void begin_life(const target_announcement& a);
    void extend_lease();
    void on_lease_answer(const lease_answer& a, time_point sent);
    void on_lease_failure(const lease_failure& f);
    void schedule_lease(duration delay);
    /// @brief Opens or closes the board, and tells the entries.
    void renew_open();
    void raise_token();
    void start_run(const run_name& name, const std::string& payload);
    void stop_run(const run_name& name);
    void on_timer();

    node_context context_;
    agent_node_settings settings_;
    target_port port_;
    run_board board_;
    link_hub hub_;
    endpoint_dialer dialer_;
    entry_roster roster_;
    std::map<std::size_t, link_id> dialled_;
    std::map<link_id, entry_link> entries_;
    std::optional<target_announcement> target_;
    target_lease lease_;
    uint64_t token_ = 0;
    uint64_t token_step_ = 0;
    end_position seen_;
    bool was_in_touch_ = false;
    bool runs_gone_ = true;
    bool life_is_new_ = true;
    bool stopping_ = false;
    time_point stop_began_;
    bool flush_pending_ = false;
    watch lease_timer_;
    watch load_timer_;
    watch timer_;
    time_point last_timer_;
    std::function<void()> stopped_;
};

} // namespace agatebank
