#include <agatebank/core/route_table.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

route_table::route_table(config_version version, std::vector<route> routes)
    : version_(version), routes_(std::move(routes))
{
    std::stable_sort(routes_.begin(), routes_.end(),
                     [](const route& a, const route& b)
                     {
                         if (a.host != b.host)
                         {
                             return a.host < b.host;
                         }
                         return a.path_prefix.size() > b.path_prefix.size();
                     });
}

config_version route_table::version() const noexcept
{
    return version_;
}

const std::vector<route>& route_table::routes() const noexcept
{
    return routes_;
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    auto it = std::lower_bound(routes_.begin(), routes_.end(), host,
                               [](const route& r, std::string_view h)
                               { return r.host < h; });
    for (; it != routes_.end() && it->host == host; ++it)
    {
        if (path.substr(0, it->path_prefix.size()) == it->path_prefix)
        {
            return &*it;
        }
    }
    return nullptr;
}

} // namespace agatebank
