#include "store_stand_in.hpp"
#include <agatebank/harness/port_block.hpp>
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <platform/configuration_feed.hpp>
#include <string>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

// A table service that is silent for a while, and the feed of an entry.
class silent_table
{
  public:
    silent_table(event_loop& loop, const std::string& address, uint16_t port,
                 duration silence_limit)
        : loop_(loop)
        , store_(loop, address, port)
        , feed_(loop, {store_.address(), 1, true, silence_limit},
                {[this](const std::string& text) { received_ = text; },
                 [](const evacuation_state&) {
                 }},
                [](const log_record&) {})
    {
        store_.write("first");
        feed_.start();
    }

    /// @brief Changes the configuration, after which a poll begins; is silent
    /// after @p phase for @p length, and changes it again at once.
    void play(duration phase, duration length)
    {
        steps_.push_back(loop_.after(0ms,
                                     [this]
                                     {
                                         REQUIRE(received_ == "first");
                                         store_.write("second");
                                     }));
        steps_.push_back(
            loop_.after(phase, [this] { store_.set_mode(store_mode::mute); }));
        steps_.push_back(loop_.after(phase + length,
                                     [this]
                                     {
                                         store_.set_mode(store_mode::serving);
                                         store_.write("third");
                                         answers_again_ = loop_.now();
                                     }));
    }

    bool has_last() const
    {
        return received_ == "third";
    }

    /// @brief When the service began to answer again.
    time_point answers_again() const
    {
        return answers_again_;
    }

  private:
    event_loop& loop_;
    store_stand_in store_;
    platform::configuration_feed feed_;
    std::string received_;
    std::vector<watch> steps_;
    time_point answers_again_ = time_point::max();
};

} // namespace

// Guards against an entry that serves routes of an old configuration: its poll
// was sent just before the table service answered again after a silence, and
// the times until it is given up and sent again add up to more than the limit.
TEST_CASE("configuration_feed: a change right after a silence of any length is "
          "known within the limit")
{
    for (const duration limit : {3000ms, 4000ms, 5000ms})
    {
        INFO("limit " << limit.count() / 1000 << " ms");
        event_loop loop;
        struct play
        {
            duration phase;
            duration length;
            std::unique_ptr<silent_table> table;
            duration took{};
        };
        std::vector<play> plays;
        port_block ports;
        const auto port = ports.take();
        int n = 0;
        for (const duration phase : {20ms, 500ms, 1000ms, 1500ms, 2000ms})
        {
            for (duration length = 500ms; length <= 4500ms; length += 400ms)
            {
                // A loopback address for each service.
                const auto address = "127.0.4." + std::to_string(++n);
                plays.push_back({phase, length,
                                 std::make_unique<silent_table>(loop, address,
                                                                port, limit)});
            }
        }
        run_for(loop, 500ms);
        for (const auto& it : plays)
        {
            it.table->play(it.phase, it.length);
        }
        const auto all_know = [&]
        {
            bool all = true;
            for (auto& it : plays)
            {
                if (it.took.count() == 0 && it.table->has_last())
                {
                    it.took = loop.now() - it.table->answers_again();
                }
                all = all && it.took.count() != 0;
            }
            return all;
        };
        CHECK(run_until(loop, 15s, all_know));
        for (const auto& it : plays)
        {
            INFO("silent for " << it.length.count() / 1000 << " ms, "
                               << it.phase.count() / 1000
                               << " ms after a poll began");
            CHECK(it.took.count() != 0);
            CHECK(it.took < limit);
        }
    }
}
