// Submits one job so that a crash and a restart of this program start no task
// twice.
//
//   example_client --entry http://127.0.0.1:8101 --token-file token
//       --id-file booking-17.id --job booking-17.json
//
// Exit codes: 0 the job is complete and its answer was printed, 1 usage,
// 2 refused or failed, 3 no answer: run it again with the same files.
#include "safe_submitter.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace
{

using namespace agatebank;
namespace po = boost::program_options;

constexpr int exit_answered = 0;
constexpr int exit_usage = 1;
constexpr int exit_refused = 2;
constexpr int exit_no_answer = 3;

std::string read_file(const std::string& file)
{
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in),
            std::istreambuf_iterator<char>()};
}

std::optional<submission_plan> parse_plan(int argc, char** argv)
{
    submission_plan plan;
    std::string token_file;
    std::string job_file;
    po::options_description options("Options");
    options.add_options()("entry", po::value(&plan.entries)->required(),
                          "URL of an entry; may be repeated")(
        "token-file", po::value(&token_file)->required(),
        "file with the bearer token")("id-file",
                                      po::value(&plan.id_file)->required(),
                                      "file for the submission id")(
        "job", po::value(&job_file)->required(), "file with the job as JSON");
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    }
    catch (const po::error& e)
    {
        std::cerr << e.what() << "\n" << options;
        return std::nullopt;
    }
    const auto token = read_file(token_file);
    plan.token = token.substr(0, token.find('\n'));
    plan.job = read_file(job_file);
    return plan;
}

} // namespace

int main(int argc, char** argv)
{
    auto plan = parse_plan(argc, argv);
    if (!plan)
    {
        return exit_usage;
    }
    event_loop loop;
    http_client client(loop);
    int code = exit_no_answer;
    safe_submitter submitter(
        loop, client, std::move(*plan),
        [&](const result<http_response>& r)
        {
            if (r)
            {
                std::cout << r->body << "\n";
                const bool complete =
                    r->body.find("\"state\":\"complete\"") != std::string::npos;
                code = complete ? exit_answered : exit_refused;
            }
            else
            {
                std::cerr << r.error().to_string() << "\n";
            }
            loop.quit();
        });
    submitter.start();
    loop.run();
    return code;
}
