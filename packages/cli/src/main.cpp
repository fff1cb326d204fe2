#include <agatebank/cli/cli_command.hpp>

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

namespace
{

std::string read_variable(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

std::string random_id()
{
    std::random_device device;
    std::ostringstream os;
    os << std::hex;
    for (int i = 0; i < 4; ++i)
    {
        os << device();
    }
    return os.str();
}

} // namespace

int main(int argc, char** argv)
{
    agatebank::cli_environment environment{std::cin, std::cout, std::cerr,
                                           read_variable, random_id};
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto code = agatebank::run_cli(arguments, environment);
    std::cout.flush();
    return static_cast<int>(code);
}
