#include <agatebank/core/configuration_view.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

// Compares with every rule, even after a match, so that the time taken does
// not reveal which rule matched.
template <class Rule>
const Rule* find_by_token(const std::vector<Rule>& rules,
                          std::string_view token_sha256)
{
    const Rule* found = nullptr;
    for (const auto& r : rules)
    {
        if (equal_in_constant_time(r.token_sha256, token_sha256))
        {
            found = &r;
        }
    }
    return found;
}

template <class Map>
typename Map::mapped_type find_or_null(const Map& map,
                                       const typename Map::key_type& key)
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : it->second;
}

} // namespace

bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        difference |= static_cast<unsigned>(static_cast<unsigned char>(a[i]) ^
                                            static_cast<unsigned char>(b[i]));
    }
    return difference == 0;
}

bool meets_requirements(const inventory_row& row, const service_rule& service)
{
    if (row.accelerators < service.min_accelerators)
    {
        return false;
    }
    const auto has_label = [&](const std::string& label)
    {
        return std::find(row.labels.begin(), row.labels.end(), label) !=
               row.labels.end();
    };
    return std::all_of(service.required_labels.begin(),
                       service.required_labels.end(), has_label);
}

configuration_view::configuration_view(
    std::shared_ptr<const configuration> document)
    : document_(std::move(document))
{
    for (const auto& p : document_->rules.patience)
    {
        patience_.emplace(p.name, &p);
    }
    for (const auto& row : document_->inventory)
    {
        targets_.emplace(row.target, &row);
    }
    for (const auto& s : document_->rules.services)
    {
        services_.emplace(s.name, &s);
        const auto& rows = document_->inventory;
        if (std::any_of(rows.begin(), rows.end(),
                        [&](const auto& row)
                        { return meets_requirements(row, s); }))
        {
            satisfiable_services_.insert(s.name);
        }
    }
}

const configuration& configuration_view::document() const noexcept
{
    return *document_;
}

const std::shared_ptr<const configuration>&
configuration_view::shared_document() const noexcept
{
    return document_;
}

config_version configuration_view::version() const noexcept
{
    return document_->version;
}

const service_rule*
configuration_view::find_service(const service_name& name) const
{
    return find_or_null(services_, name);
}

const patience_rule*
configuration_view::find_patience(const patience_name& name) const
{
    return find_or_null(patience_, name);
}

const inventory_row*
configuration_view::find_target(const target_name& name) const
{
    return find_or_null(targets_, name);
}

const caller_rule*
configuration_view::find_caller(std::string_view token_sha256) const
{
    return find_by_token(document_->rules.callers, token_sha256);
}

const operator_rule*
configuration_view::find_operator(std::string_view token_sha256) const
{
    return find_by_token(document_->rules.operators, token_sha256);
}

std::vector<service_name>
configuration_view::allowed_services(const target_name& name) const
{
    std::vector<service_name> out;
    const auto* row = find_target(name);
    if (row == nullptr)
    {
        return out;
    }
    for (const auto& s : document_->rules.services)
    {
        if (meets_requirements(*row, s))
        {
            out.push_back(s.name);
        }
    }
    return out;
}

target_state configuration_view::state_of(const target_name& name) const
{
    const auto it = document_->target_states.find(name);
    return it == document_->target_states.end() ? target_state::active
                                                : it->second;
}

target_configuration
configuration_view::configuration_of(const target_name& name) const
{
    target_configuration out;
    const auto* row = find_target(name);
    if (row == nullptr)
    {
        return out;
    }
    out.in_inventory = true;
    out.state = state_of(name);
    out.services = allowed_services(name);
    out.slots = row->slots;
    return out;
}

bool configuration_view::has_capable_target(const service_name& name) const
{
    return satisfiable_services_.count(name) != 0;
}

} // namespace agatebank
