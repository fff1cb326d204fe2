#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief The state of a target as set by an operator.
enum class target_state
{
    active,   ///< accepts tasks
    draining, ///< accepts no new tasks, finishes those it has
    stopped   ///< accepts no tasks
};

/// @brief One worker of the asset register and the target that runs on it.
struct inventory_row
{
    target_name target;
    worker_name worker;
    rack_name rack;
    failure_domain_name failure_domain;
    unsigned cores = 0;
    unsigned memory_mib = 0;
    unsigned accelerators = 0;
    unsigned slots = 0; ///< tasks that may run at once
    std::vector<std::string> labels;

    bool operator==(const inventory_row&) const = default;
};

/// @brief Which targets a service may use, and how its tasks are treated.
struct service_rule
{
    service_name name;
    std::vector<std::string> required_labels; ///< a target needs all of them
    unsigned min_accelerators = 0;
    bool never_delay = false; ///< queued ahead of all jobs that may be delayed
    unsigned reserved_slots = 0;  ///< per target, reserved for this service
    bool restart_unknown = false; ///< not implemented: restart an idempotent
                                  ///< task whose outcome is unknown

    bool operator==(const service_rule&) const = default;
};

/// @brief A patience class: a paid maximum wait and its price.
struct patience_rule
{
    patience_name name;
    duration wait{};      ///< maximum response time, from admission
    price price_per_task; ///< charged if the answer arrives in time

    bool operator==(const patience_rule&) const = default;
};

/// @brief Weights of the two measures of the dispatch policy, each from 0 to 1.
struct policy_weights
{
    double response = 0.5; ///< weight of response time relative to the ideal
    double waste = 0.5;    ///< weight of wasted messages

    bool operator==(const policy_weights&) const = default;
};

/// @brief A caller, its token and its quota.
struct caller_rule
{
    caller_name name;
    std::string token_sha256;      ///< lower-case hexadecimal
    unsigned max_queued_tasks = 0; ///< 0: no quota

    bool operator==(const caller_rule&) const = default;
};

/// @brief An operator and its token.
struct operator_rule
{
    operator_name name;
    std::string token_sha256; ///< lower-case hexadecimal

    bool operator==(const operator_rule&) const = default;
};

/// @brief The rules that operators set in addition to the inventory.
struct rule_set
{
    std::vector<service_rule> services;
    std::vector<patience_rule> patience;
    policy_weights weights;
    std::vector<caller_rule> callers;
    std::vector<operator_rule> operators;

    bool operator==(const rule_set&) const = default;
};

/// @brief One accepted change. It is kept in the document so that a client can
/// still look it up by its change id after later changes.
struct change_record
{
    config_version version; ///< version that the change produced
    std::string change_id;
    std::string changed_by;
    std::string summary;

    bool operator==(const change_record&) const = default;
};

/// @brief Maximum number of change records in a document.
constexpr std::size_t max_history_records = 64;

/// @brief The versioned configuration document: inventory, rules and target
/// states.
struct configuration
{
    config_version version;
    std::vector<inventory_row> inventory;
    rule_set rules;
    std::map<target_name, target_state> target_states; ///< active if absent
    std::string change_id; ///< random id of the change that produced it
    std::string changed_by;
    /// latest changes, oldest first, at most max_history_records
    std::vector<change_record> history;

    bool operator==(const configuration&) const = default;
};

} // namespace agatebank
