#pragma once

#include <agatebank/core/route_table.hpp>
#include <agatebank/fleet/job_board.hpp>
#include <agatebank/node/entry_roster.hpp>
#include <agatebank/node/node_context.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief Where an entry listens for links and whom it tells of itself.
struct entry_node_settings
{
    endpoint links;              ///< where agents and entries dial
    std::vector<endpoint> seeds; ///< link addresses of some entries
    double remote_data_factor = 1;
};

/// @brief What an entry node needs of its surroundings.
struct entry_node_hooks
{
    /// Reads the text of a configuration.
    std::function<result<route_table>(const std::string& text)> read_routes;
};

/// @brief An entry that places jobs by amounts of room: links to agents and
/// other entries, the routes in force, and the board of its jobs.
class entry_node
{
  public:
    using answer = std::function<void(const job_outcome&)>;

    // construction
    entry_node(node_context context, entry_node_settings settings,
               entry_node_hooks hooks);

    // life time
    /// @brief Listens and tells the seeds. @return errc::address_in_use
    result<void> start();
    /// @brief Finishes the jobs at hand; new ones are taken for a while,
    /// since connections that are open keep bringing them.
    void begin_stop(std::function<void()> done);
    /// @brief Tells further entries; those known stay.
    void add_seeds(const std::vector<endpoint>& seeds);

    // configuration
    /// @brief Takes a configuration into force unless it is older than the
    /// one in force.
    void offer_configuration(const std::string& text, const char* source);
    /// @brief The routes in force; version 0 when there are none yet.
    const route_table& routes() const noexcept;

    // jobs
    /// @brief Takes a job. A job that runs here already goes on, and the
    /// later caller gets its answer.
    /// @param number of the request, for @ref abandon
    void submit(uint64_t number, job_arrival arrival, answer done);
    /// @brief The caller of a request has gone.
    void abandon(uint64_t number);
    /// @brief Stops a running job. @return whether there was one
    bool cancel(const std::string& job_id);
    bool is_running(const std::string& job_id) const;

    // lookup
    /// @brief Whether callers should be sent here.
    bool ready() const;
    bool stopping() const noexcept;
    const job_board& board() const noexcept;
    const link_hub& links() const noexcept;

  private:
    struct waiting_caller
    {
        uint64_t number = 0;
        answer done;
    };

    // links
    void on_message(link_id link, message&& m);
    void on_heartbeat(link_id link, const heartbeat& beat);
    void on_closed(link_id link, const failure& why);
    void on_target_hello(link_id link, const target_hello& hello);
    void on_known_entries(const known_entries& m);
    void learn_entry(const entry_address& entry);
    void broadcast_roster();
    void send_batch(agent_incarnation agent, const run_batch& batch);
    void send_cancel(agent_incarnation agent,
                     const std::vector<order_id>& orders);

    // jobs
    void on_finish(job_key key, const job_outcome& outcome);
    void on_timer();
    void finish_stop();

    node_context context_;
    entry_node_settings settings_;
    entry_node_hooks hooks_;
    route_table routes_;
    std::string configuration_text_;
    job_board board_;
    link_hub hub_;
    tcp_listener listener_;
    endpoint_dialer dialer_;
    entry_roster roster_;
    std::map<std::size_t, link_id> dialled_; ///< links to entries
    std::map<link_id, agent_incarnation> agents_;
    std::map<agent_incarnation, link_id> agent_links_;
    std::map<job_key, waiting_caller> callers_;
    std::unordered_map<uint64_t, job_key> by_number_;
    watch timer_;
    time_point last_timer_;
    uint64_t last_key_ = 0;
    bool stopping_ = false;
    time_point stop_began_;
    std::function<void()> stopped_;
};

} // namespace agatebank
