#include <agatebank/cli/cli_command.hpp>

namespace agatebank
{

std::string cli_context::text(const char* name) const
{
    return values.count(name) == 0 ? std::string()
                                   : values[name].as<std::string>();
}

bool cli_context::flag(const char* name) const
{
    return values.count(name) != 0 && values[name].as<bool>();
}

uint64_t cli_context::number(const char* name) const
{
    return values[name].as<uint64_t>();
}

} // namespace agatebank
