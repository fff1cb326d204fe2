#pragma once

#include <agatebank/loop/event_loop.hpp>
#include <agatebank/node/node_context.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace agatebank
{

/// @brief An entry in the test process: accepts the links of agents and sends
/// orders.
class order_source_stand_in
{
  public:
    explicit order_source_stand_in(event_loop& loop)
        : loop_(loop)
        , hub_({loop, clock_, auth_, node_link_options(),
                []
                {
                    return config_version();
                }},
               {[this](link_id l, message&& m) { on_message(l, m); },
                {},
                [this](link_id, const failure&)
                {
                    agent_.reset();
                }})
        , listener_([this](object_ptr<GSocketConnection> c)
                    { hub_.add(std::move(c)); })
    {
        port_ = listener_.listen({"127.0.0.1", 0}).value();
    }

    endpoint address() const
    {
        return {"127.0.0.1", port_};
    }

    bool has_accepting_agent() const
    {
        return agent_.has_value() && accepts_work_;
    }

    /// @brief Sends an order to run a task for 60 ms. Does nothing without a
    /// link.
    /// @param target incarnation that it is for; the agent's present one unless
    /// set
    void send_order(order_id id,
                    std::optional<target_incarnation> target = std::nullopt)
    {
        run_batch batch;
        batch.target = target.value_or(target_);
        batch.job = "000000000000000a";
        batch.route = "r/q/";
        batch.payload = "x";
        batch.task_resources = {1000, 8, 0};
        batch.objective_us = batch.useful_until_us = batch.deadline_us =
            duration(std::chrono::seconds(3)).count();
        run_order order;
        order.id = id;
        order.expected_us = duration(std::chrono::milliseconds(60)).count();
        batch.orders = {order};
        send(batch);
    }

    void send_cancel(order_id id)
    {
        send(cancel_orders{{id}});
    }

    /// @brief The incarnation that the agent follows, as it told last.
    target_incarnation target() const
    {
        return target_;
    }

    /// @brief The results that the agent has sent.
    const std::vector<order_result>& results() const
    {
        return results_;
    }

  private:
    void send(const message& m)
    {
        if (agent_)
        {
            hub_.send(*agent_, m);
        }
    }

    void on_message(link_id link, const message& m)
    {
        if (const auto* hello = std::get_if<target_hello>(&m))
        {
            agent_ = link;
            target_ = hello->target.incarnation;
            accepts_work_ = hello->load.accepts_work;
        }
        else if (const auto* update = std::get_if<target_update>(&m))
        {
            accepts_work_ = update->load.accepts_work;
        }
        else if (const auto* more = std::get_if<order_results>(&m))
        {
            results_.insert(results_.end(), more->results.begin(),
                            more->results.end());
        }
    }

    event_loop& loop_;
    hybrid_clock clock_{[]
                        {
                            return uint64_t{1};
                        }};
    authenticator auth_{""};
    link_hub hub_;
    tcp_listener listener_;
    uint16_t port_ = 0;
    std::optional<link_id> agent_;
    bool accepts_work_ = false;
    target_incarnation target_;
    std::vector<order_result> results_;
};

} // namespace agatebank
