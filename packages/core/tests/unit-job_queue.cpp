#include <agatebank/core/job_queue.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <tuple>
#include <vector>

using namespace agatebank;

namespace
{

// Reference implementation: a vector kept sorted by position.
struct sorted_jobs
{
    struct row
    {
        queue_position position;
        std::vector<uint32_t> tasks;
    };
    queue_order order;
    std::vector<row> rows;

    row* find(job_key job)
    {
        const auto it =
            std::find_if(rows.begin(), rows.end(),
                         [&](const row& r) { return r.position.job == job; });
        return it == rows.end() ? nullptr : &*it;
    }
    void add(const queue_position& position, std::vector<uint32_t> tasks)
    {
        rows.push_back({position, std::move(tasks)});
        const auto key = [&](const row& r)
        {
            const auto& p = r.position;
            const auto wait =
                order == queue_order::shortest_wait ? p.wait : duration::zero();
            return std::tuple(p.delayable, wait, p.latest_start, p.job);
        };
        std::sort(rows.begin(), rows.end(),
                  [&](const row& a, const row& b) { return key(a) < key(b); });
    }
    std::optional<queue_position> first() const
    {
        for (const auto& r : rows)
        {
            if (!r.tasks.empty())
            {
                return r.position;
            }
        }
        return std::nullopt;
    }
    std::size_t size() const
    {
        std::size_t n = 0;
        for (const auto& r : rows)
        {
            n += r.tasks.size();
        }
        return n;
    }
};

} // namespace

TEST_CASE("job_queue: returns tasks in the same order as a sorted vector")
{
    rc::prop(
        "any sequence of operations",
        []
        {
            const service_name service("pall-booking");
            const bool by_start = *rc::gen::arbitrary<bool>();
            const auto order = by_start ? queue_order::latest_start
                                        : queue_order::shortest_wait;
            job_queue queue;
            sorted_jobs reference{order, {}};
            uint64_t next_job = 0;
            const auto steps = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(0, 1000));
            for (const int step : steps)
            {
                const job_key some_job(next_job == 0 ? 0 : step % next_job);
                auto* row = reference.find(some_job);
                if (step % 4 == 0)
                {
                    const queue_position p{step % 3 != 0,
                                           duration(by_start ? step : step % 5),
                                           time_point(duration(step / 7 % 20)),
                                           job_key(next_job++)};
                    queue.add(service, p, {0, 1, 2});
                    reference.add(p, {0, 1, 2});
                }
                else if (step % 4 == 1)
                {
                    const auto first = reference.first();
                    RC_ASSERT(queue.first(service, order) == first);
                    if (first)
                    {
                        auto& tasks = reference.find(first->job)->tasks;
                        RC_ASSERT(queue.take(first->job) == tasks.front());
                        tasks.erase(tasks.begin());
                    }
                }
                else if (step % 4 == 2 && row != nullptr)
                {
                    RC_ASSERT(queue.put_back(some_job, 9));
                    row->tasks.insert(row->tasks.begin(), 9);
                }
                else if (row != nullptr)
                {
                    RC_ASSERT(queue.remove(some_job).size() ==
                              row->tasks.size());
                    reference.rows.erase(reference.rows.begin() +
                                         (row - reference.rows.data()));
                    RC_ASSERT(!queue.put_back(some_job, 9));
                }
                RC_ASSERT(queue.size() == reference.size());
                RC_ASSERT(queue.size(service) == reference.size());
            }
        });
}
