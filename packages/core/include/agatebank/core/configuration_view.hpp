#pragma once

#include <agatebank/core/configuration.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace agatebank
{

/// @brief Compares two strings without early exit, so that the time taken
/// does not reveal the position of the first difference. Strings of different
/// lengths return at once.
bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// @brief Whether a target has the accelerators and all the labels that a
/// service requires.
bool meets_requirements(const inventory_row& row, const service_rule& service);

/// @brief The configuration of one target.
struct target_configuration
{
    bool in_inventory = false;
    target_state state = target_state::stopped;
    std::vector<service_name> services; ///< services it may run
    unsigned slots = 0;                 ///< tasks that may run at once
};

/// @brief Indexed lookups over one version of the configuration. The pointers
/// it returns stay valid for the lifetime of the view.
///
/// @code
/// const configuration_view view(document);
/// const auto* rule = view.find_service(service_name("pall-booking"));
/// @endcode
class configuration_view
{
  public:
    // construction
    /// @complexity O(targets * services)
    explicit configuration_view(std::shared_ptr<const configuration> document);

    // lookup
    const configuration& document() const noexcept;
    const std::shared_ptr<const configuration>&
    shared_document() const noexcept;
    config_version version() const noexcept;

    /// @return nullptr if there is no such service
    const service_rule* find_service(const service_name& name) const;
    /// @return nullptr if there is no such patience class
    const patience_rule* find_patience(const patience_name& name) const;
    /// @return nullptr if the inventory has no such target
    const inventory_row* find_target(const target_name& name) const;

    /// @brief Finds the caller to which a token was issued.
    /// @param token_sha256 SHA-256 of the token in lower-case hexadecimal
    /// @return nullptr for an unknown token
    /// @complexity linear in the number of callers, wherever the match is
    const caller_rule* find_caller(std::string_view token_sha256) const;
    /// @brief Finds the operator to which a token was issued; see
    /// @ref find_caller.
    const operator_rule* find_operator(std::string_view token_sha256) const;

    /// @brief The services that a target may run, in the order of the rules;
    /// empty if the target is not in the inventory.
    std::vector<service_name> allowed_services(const target_name& name) const;
    /// @brief The state set by an operator; active if none was set.
    target_state state_of(const target_name& name) const;
    /// @brief All that the configuration holds for one target. A target that
    /// is not in the inventory is reported as stopped, with no services.
    target_configuration configuration_of(const target_name& name) const;

    /// @brief Whether any target of the inventory, regardless of its state,
    /// meets the requirements of a service.
    bool has_capable_target(const service_name& name) const;

  private:
    std::shared_ptr<const configuration> document_;
    std::unordered_map<service_name, const service_rule*> services_;
    std::unordered_map<patience_name, const patience_rule*> patience_;
    std::unordered_map<target_name, const inventory_row*> targets_;
    std::unordered_set<service_name> satisfiable_services_;
};

} // namespace agatebank
