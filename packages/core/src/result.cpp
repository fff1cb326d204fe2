#include <agatebank/core/result.hpp>

namespace agatebank
{

std::string failure::to_string() const
{
    std::string out = step;
    if (!peer.empty())
    {
        out += " at " + peer;
    }
    out += ": " + code.message();
    if (!detail.empty())
    {
        out += " (" + detail + ")";
    }
    return out;
}

} // namespace agatebank
