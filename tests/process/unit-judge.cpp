#include <agatebank/harness/judge.hpp>

#include <catch2/catch.hpp>

#include <glib.h>

#include <filesystem>
#include <fstream>
#include <string>

using namespace agatebank;

namespace
{

constexpr int64_t refused_us = 1000;
constexpr int64_t started_us = 2000;

// A ledger of one start.
ledger make_ledger()
{
    char* made = g_dir_make_tmp("agatebank-XXXXXX", nullptr);
    const std::string directory = made;
    g_free(made);
    std::ofstream(directory + "/target.jsonl")
        << R"({"event":"start","submission":"a-1","task":"0","target":"t",)"
        << R"("answer":"x","running":1,"at_us":)" << started_us << "}\n";
    ledger out(directory);
    std::filesystem::remove_all(directory);
    return out;
}

} // namespace

// Guards against a judge that accepts the start of a refused job since its
// caller submitted it again, though only after the start.
TEST_CASE("judge: a start after 'not run' needs a submission in between")
{
    struct row
    {
        const char* name;
        int64_t sent_again_us; ///< 0: never
        std::size_t breaches;
    };
    for (const auto& it : {row{"never submitted again", 0, 1},
                           row{"submitted again before the start", 1500, 0},
                           row{"submitted again after the start", 2500, 1}})
    {
        INFO(it.name);
        judge verdict;
        job_request job;
        job.tasks.resize(1);
        job.tasks[0].echo = "x";
        caller_reply reply;
        reply.run = "not-run";
        reply.got_us = refused_us;
        verdict.saw("a-1-0", job, reply);
        if (it.sent_again_us != 0)
        {
            caller_reply again;
            again.sent_us = it.sent_again_us;
            again.got_us = it.sent_again_us + 1000;
            verdict.saw("a-1-0", job, again);
        }
        CHECK(verdict.breaches(make_ledger()).size() == it.breaches);
    }
}
