#include <agatebank/core/evacuation_state.hpp>

#include <utility>

namespace agatebank
{

evacuation_state::evacuation_state(evacuation_version version,
                                   std::set<failure_domain_name> domains)
    : version_(version), domains_(std::move(domains))
{
}

bool evacuation_state::merge(const evacuation_state& other)
{
    if (other.version_ <= version_)
    {
        return false;
    }
    *this = other;
    return true;
}

evacuation_version evacuation_state::version() const noexcept
{
    return version_;
}

const std::set<failure_domain_name>& evacuation_state::domains() const noexcept
{
    return domains_;
}

bool evacuation_state::is_evacuated(const failure_domain_name& domain) const
{
    return domains_.count(domain) != 0;
}

std::string evacuation_state::to_text() const
{
    std::string names;
    for (const auto& it : domains_)
    {
        names += (names.empty() ? "" : ", ") + it.value();
    }
    return "table version " + std::to_string(version_.value()) + ": " +
           (names.empty() ? "none" : names);
}

} // namespace agatebank
