#pragma once

#include <agatebank/core/configuration.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace agatebank
{

/// @brief Compares two texts in a time that depends on their lengths only.
bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// @brief Whether a target meets the needs of a service.
bool may_serve(const inventory_row& row, const service_rule& service);

/// @brief What the configuration says of one target.
struct target_facts
{
    bool in_inventory = false;
    target_state state = target_state::stopped;
    std::vector<service_name> services; ///< that the target may serve
    unsigned slots = 0;
};

/// @brief Indexed look-ups over one version of the configuration. The
/// pointers it returns live as long as the view.
///
/// @code
/// const configuration_view view(document);
/// const auto* rule = view.find_service(service_name("pall-booking"));
/// @endcode
class configuration_view
{
  public:
    // construction
    /// @complexity targets times services
    explicit configuration_view(std::shared_ptr<const configuration> document);

    // lookup
    const configuration& document() const noexcept;
    const std::shared_ptr<const configuration>&
    shared_document() const noexcept;
    config_version version() const noexcept;

    /// @return nullptr when there is no such service
    const service_rule* find_service(const service_name& name) const;
    /// @return nullptr when there is no such patience class
    const patience_rule* find_patience(const patience_name& name) const;
    /// @return nullptr when the inventory has no such target
    const inventory_row* find_target(const target_name& name) const;

    /// @brief The caller that holds a token.
    /// @param token_sha256 of the token, in lower-case hexadecimal
    /// @return nullptr for an unknown token
    /// @complexity linear in callers, whichever of them it is
    const caller_rule* find_caller(std::string_view token_sha256) const;
    /// @brief The operator that holds a token; see @ref find_caller.
    const operator_rule* find_operator(std::string_view token_sha256) const;

    /// @brief The services that a target may serve, in the rules' order;
    /// none when it is not in the inventory.
    std::vector<service_name> allowed_services(const target_name& name) const;
    target_state state_of(const target_name& name) const;
    target_facts facts(const target_name& name) const;

    /// @brief Whether any target of the inventory, in whatever state, meets
    /// the needs of a service.
    bool can_ever_run(const service_name& name) const;

  private:
    std::shared_ptr<const configuration> document_;
    std::unordered_map<service_name, const service_rule*> services_;
    std::unordered_map<patience_name, const patience_rule*> patience_;
    std::unordered_map<target_name, const inventory_row*> targets_;
    std::unordered_set<service_name> meetable_;
};

} // namespace agatebank
