#include "demo_report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace agatebank
{

namespace
{

constexpr int name_width = 14;
constexpr int column_width = 10;

struct class_row
{
    std::size_t submitted = 0;
    std::size_t complete = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    std::size_t tasks = 0;
    int64_t price = 0;
    int64_t messages = 0;
    std::vector<double> ratios;
};

void add(class_row& row, const job_outcome& o)
{
    ++row.submitted;
    if (o.reply.state == "complete")
    {
        ++row.complete;
        row.tasks += o.planned->job.tasks.size();
        row.price += o.reply.price;
        row.messages += o.reply.messages;
        row.ratios.push_back(o.response_ms / o.planned->ideal_ms);
    }
    else if (o.reply.state == "failed")
    {
        ++row.failed;
    }
    else
    {
        ++row.refused;
    }
}

// Quantile by the nearest-rank method; NaN if there are no values.
double quantile(std::vector<double> values, double q)
{
    if (values.empty())
    {
        return std::nan("");
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(
        std::ceil(q * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

class_row row_of(const std::string& patience,
                 const std::vector<job_outcome>& outcomes)
{
    class_row row;
    for (const auto& o : outcomes)
    {
        if (o.planned->job.patience == patience)
        {
            add(row, o);
        }
    }
    return row;
}

void print_row(std::ostream& out, const std::string& name, const class_row& r)
{
    const double per_task = r.tasks == 0 ? std::nan("")
                                         : static_cast<double>(r.messages) /
                                               static_cast<double>(r.tasks);
    out << std::left << std::setw(name_width) << name << std::right
        << std::setw(column_width) << r.submitted << std::setw(column_width)
        << r.complete << std::setw(column_width) << r.failed
        << std::setw(column_width) << r.refused << std::fixed
        << std::setprecision(2) << std::setw(column_width)
        << quantile(r.ratios, 0.5) << std::setw(column_width)
        << quantile(r.ratios, 0.99) << std::setw(column_width) << r.price
        << std::setw(column_width) << per_task << '\n';
}

} // namespace

void print_table(std::ostream& out, const demo_plan& plan,
                 const std::vector<job_outcome>& outcomes)
{
    out << "\nResponse time over the ideal (the longest task's run time on "
           "the fastest\nsuitable target); price in "
        << plan.currency << "; messages per task.\n\n";
    out << std::left << std::setw(name_width) << "patience" << std::right;
    for (const char* head : {"submitted", "complete", "failed", "refused",
                             "median", "p99", "price", "messages"})
    {
        out << std::setw(column_width) << head;
    }
    out << '\n';
    for (const auto& name : plan.patience)
    {
        print_row(out, name, row_of(name, outcomes));
    }
    out << '\n';
}

void print_summary(std::ostream& out, const std::vector<job_outcome>& outcomes,
                   const ledger& starts)
{
    class_row all;
    for (const auto& o : outcomes)
    {
        add(all, o);
    }
    out << "demo: " << all.submitted << " jobs, " << all.complete
        << " complete, " << all.failed << " failed, " << all.refused
        << " refused, " << starts.starts().size() << " tasks started, "
        << starts.started_twice().size() << " started twice" << std::endl;
}

} // namespace agatebank
