#include "bench.hpp"
#include "measures.hpp"
#include "report.hpp"

#include <boost/program_options.hpp>

#include <cstdint>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

/// @file
/// Simulates every policy version in every scenario at both sites and writes
/// tables and plots.

namespace
{

using namespace agatebank::experiment;
namespace options = boost::program_options;

struct settings
{
    std::string out;
    std::string version;
    std::string scenario;
    std::string site;
    uint64_t seed = 0;
    bool quick = false;
    bool variants_only = false;
    bool bench = false;
};

struct report
{
    std::vector<run_measures> runs;
    std::vector<std::pair<std::string, std::string>> plots; // file, SVG
    std::vector<run_measures> variants;
};

bool matches(const std::string& filter, const std::string& name)
{
    return filter.empty() || name.find(filter) != std::string::npos;
}

std::string file_name(const std::string& site, std::size_t scenario)
{
    return site + "-" + std::to_string(scenario) + ".svg";
}

report run_all(const settings& s)
{
    report out;
    for (auto current_site : all_sites())
    {
        current_site.seed += s.seed;
        std::size_t number = 0;
        for (const auto& sc : all_scenarios(s.quick))
        {
            ++number;
            if (!matches(s.site, current_site.name) ||
                !matches(s.scenario, sc.name))
            {
                continue;
            }
            std::vector<plot_line> lines;
            for (const auto& version : all_versions())
            {
                if (matches(s.version, version.name))
                {
                    const auto run = simulate(current_site, sc, version);
                    out.runs.push_back(measure(current_site, sc, version, run));
                    lines.push_back({version.name, answered_within(run)});
                }
            }
            out.plots.emplace_back(
                file_name(current_site.name, number),
                to_svg(current_site.name + ", " + sc.name + ": class " +
                           patience_classes.front().name +
                           ", share of offered jobs answered",
                       lines));
        }
    }
    return out;
}

// Runs the variants, each with one mechanism changed, at the first site.
// Variants that retry without limit are skipped in saturated scenarios, where
// they would not stop retrying.
void run_variants(const settings& s, report& out)
{
    auto current_site = all_sites().front();
    current_site.seed += s.seed;
    for (const auto& sc : all_scenarios(s.quick))
    {
        if (!sc.compares_variants || !matches(s.scenario, sc.name))
        {
            continue;
        }
        for (const auto& version : all_variants())
        {
            const bool is_feasible =
                !version.retries_without_limit || !sc.is_saturated();
            if (is_feasible && matches(s.version, version.name))
            {
                const auto run = simulate(current_site, sc, version);
                out.variants.push_back(measure(current_site, sc, version, run));
            }
        }
    }
}

bool write_file(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream os(path);
    os << text;
    os.close();
    return !os.fail();
}

bool write_report(const settings& s, const report& r)
{
    const std::filesystem::path folder(s.out);
    std::filesystem::create_directories(folder);
    bool ok = write_file(folder / "policy.csv", to_csv(r.runs));
    ok &= write_file(folder / "policy.md",
                     "# Policy under load and faults\n\n"
                     "Written by `make experiment`; the columns are explained "
                     "in `README.md`.\n" +
                         to_markdown(r.runs));
    ok &= write_file(folder / "variants.csv", to_csv(r.variants));
    ok &= write_file(folder / "variants.md",
                     "# One mechanism changed at a time\n\n"
                     "Written by `make experiment`; the columns are explained "
                     "in `README.md`.\n" +
                         to_markdown(r.variants));
    for (const auto& [name, svg] : r.plots)
    {
        ok &= write_file(folder / name, svg);
    }
    return ok;
}

int run(int argc, char** argv)
{
    settings s;
    options::options_description known("experiment");
    known.add_options()("help", "print this help")(
        "out", options::value(&s.out),
        "directory for the report; if absent, it is printed")(
        "site", options::value(&s.site),
        "run only sites whose name contains this")(
        "scenario", options::value(&s.scenario),
        "run only scenarios whose name contains this")(
        "version", options::value(&s.version),
        "run only versions whose name contains this")(
        "seed", options::value(&s.seed), "added to the seed of each site")(
        "bench", options::bool_switch(&s.bench),
        "measure the processor time of dispatch decisions instead")(
        "variants", options::bool_switch(&s.variants_only),
        "run only the variants")("quick", options::bool_switch(&s.quick),
                                 "shorter runs");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, known), given);
    options::notify(given);
    if (given.count("help") != 0)
    {
        std::cout << known;
        return 0;
    }
    if (s.bench)
    {
        std::cout << bench_decisions();
        return 0;
    }
    auto r = s.variants_only ? report{} : run_all(s);
    if (s.variants_only || !s.out.empty())
    {
        run_variants(s, r);
    }
    if (s.out.empty())
    {
        std::cout << to_markdown(r.runs) << to_markdown(r.variants);
        return 0;
    }
    return write_report(s, r) ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "experiment: %s\n", e.what());
        return 2;
    }
}
