#include "process_usage.hpp"

#include <fstream>
#include <string>

namespace agatebank
{

namespace
{

constexpr double ns_per_ms = 1e6;

std::string proc_file(int pid, const char* name)
{
    return "/proc/" + std::to_string(pid) + "/" + name;
}

int64_t read_resident_kib(int pid)
{
    std::ifstream is(proc_file(pid, "status"));
    std::string word;
    int64_t kib = 0;
    while (is >> word)
    {
        if (word == "VmRSS:")
        {
            is >> kib;
        }
    }
    return kib;
}

} // namespace

process_usage read_usage(int pid)
{
    process_usage out;
    std::ifstream is(proc_file(pid, "schedstat"));
    double ns = 0;
    is >> ns;
    out.processor_ms = ns / ns_per_ms;
    out.resident_kib = read_resident_kib(pid);
    return out;
}

} // namespace agatebank
