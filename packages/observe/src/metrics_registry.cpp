#include <agatebank/observe/metrics_registry.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace agatebank
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array quantile_probabilities{0.5, 0.9, 0.99};
constexpr std::size_t median_marker = 0;
constexpr std::size_t p99_marker = 2;
constexpr std::size_t exact_samples = 32;

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean,
                       acc::tag::max, acc::tag::extended_p_square>>;

enum class metric_kind
{
    counter,
    gauge,
    distribution
};

constexpr std::array kind_words{"counter", "gauge", "summary"};

const char* to_word(metric_kind kind)
{
    return kind_words[static_cast<std::size_t>(kind)];
}

// Keeps the first samples for exact quantiles, since the P-square estimator
// needs a number of samples before its estimates are usable.
struct distribution
{
    accumulator accumulated{acc::extended_p_square_probabilities =
                                quantile_probabilities};
    std::array<double, exact_samples> first_samples{};

    void add(double sample)
    {
        const auto n = acc::count(accumulated);
        if (n < first_samples.size())
        {
            first_samples[n] = sample;
        }
        accumulated(sample);
    }

    double quantile(std::size_t marker) const
    {
        const auto n = acc::count(accumulated);
        if (n > first_samples.size())
        {
            return acc::extended_p_square(accumulated)[marker];
        }
        // Exact quantile by the nearest-rank method.
        auto sorted = first_samples;
        std::sort(sorted.begin(), sorted.begin() + n);
        const auto rank =
            std::ceil(quantile_probabilities[marker] * static_cast<double>(n));
        return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
    }

    distribution_summary summarise() const
    {
        if (acc::count(accumulated) == 0)
        {
            return {};
        }
        return {acc::count(accumulated), acc::sum(accumulated),
                acc::mean(accumulated),  acc::max(accumulated),
                quantile(median_marker), quantile(p99_marker)};
    }
};

struct series
{
    metric_kind kind;
    std::size_t index; ///< into the vector of values of its kind
    std::vector<metric_label> labels;
};

// All series of one name; they have the kind and the help text in common.
struct family
{
    std::string name;
    std::string help;
    metric_kind kind;
    std::vector<series> all_series;
};

bool is_valid_name(const std::string& text, bool colon_allowed)
{
    const auto is_allowed = [&](char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
               (colon_allowed && c == ':');
    };
    return !text.empty() &&
           std::isdigit(static_cast<unsigned char>(text[0])) == 0 &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

void check_names(const metric_key& key)
{
    if (!is_valid_name(key.name, true))
    {
        throw std::invalid_argument("invalid metric name: " + key.name);
    }
    for (const auto& label : key.labels)
    {
        if (!is_valid_name(label.name, false))
        {
            throw std::invalid_argument("invalid label name: " + label.name);
        }
    }
}

// Escapes text for the Prometheus format; only label values have their double
// quotes escaped.
std::string escape(const std::string& text, bool escape_quotes)
{
    std::string out;
    for (const char c : text)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '\\' || (escape_quotes && c == '"'))
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string to_text(double value)
{
    if (std::isnan(value))
    {
        return "NaN";
    }
    if (std::isinf(value))
    {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> buf{};
    const auto end =
        std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    return {buf.data(), end};
}

std::string to_text(const std::vector<metric_label>& labels)
{
    std::string out;
    for (const auto& label : labels)
    {
        out += out.empty() ? "{" : ",";
        out += label.name + "=\"" + escape(label.value, true) + "\"";
    }
    return out.empty() ? out : out + "}";
}

void append_line(std::string& out, const std::string& name,
                 const std::vector<metric_label>& labels,
                 const std::string& value)
{
    out += name + to_text(labels) + " " + value + "\n";
}

void append_header(std::string& out, const std::string& name,
                   const std::string& help, const char* type)
{
    out += "# HELP " + name + " " + escape(help, false) + "\n";
    out += "# TYPE " + name + " " + type + "\n";
}

void append_summary(std::string& out, const std::string& name,
                    const std::vector<metric_label>& labels,
                    const distribution_summary& s)
{
    auto quantiles = labels;
    quantiles.push_back({"quantile", "0.5"});
    append_line(out, name, quantiles, to_text(s.p50));
    quantiles.back().value = "0.99";
    append_line(out, name, quantiles, to_text(s.p99));
    append_line(out, name + "_sum", labels, to_text(s.sum));
    append_line(out, name + "_count", labels, std::to_string(s.count));
}

} // namespace

struct metrics_registry::state
{
    std::vector<family> families;
    std::vector<uint64_t> counters;
    std::vector<gauge_hook> gauges;
    std::vector<distribution> distributions;

    family& find_or_add_family(const metric_key& key, metric_kind kind)
    {
        check_names(key);
        for (auto& f : families)
        {
            if (f.name != key.name)
            {
                continue;
            }
            if (f.kind != kind)
            {
                throw std::invalid_argument(
                    "metric name already in use for another kind: " + key.name);
            }
            return f;
        }
        families.push_back({key.name, key.help, kind, {}});
        return families.back();
    }

    // The index of the series; it was added when the index is next_index.
    std::size_t find_or_add_series(const metric_key& key, metric_kind kind,
                                   std::size_t next_index)
    {
        auto& f = find_or_add_family(key, kind);
        for (const auto& s : f.all_series)
        {
            if (s.labels == key.labels)
            {
                return s.index;
            }
        }
        f.all_series.push_back({kind, next_index, key.labels});
        return next_index;
    }

    void append_series(std::string& out, const family& f, const series& s) const
    {
        switch (s.kind)
        {
        case metric_kind::counter:
            append_line(out, f.name, s.labels,
                        std::to_string(counters[s.index]));
            break;
        case metric_kind::gauge:
            append_line(out, f.name, s.labels, to_text(gauges[s.index]()));
            break;
        case metric_kind::distribution:
            append_summary(out, f.name, s.labels,
                           distributions[s.index].summarise());
            break;
        }
    }

    void append_maxima(std::string& out, const family& f) const
    {
        const auto name = f.name + "_max";
        append_header(out, name, "Greatest sample of " + f.name + ".", "gauge");
        for (const auto& s : f.all_series)
        {
            append_line(out, name, s.labels,
                        to_text(distributions[s.index].summarise().max));
        }
    }

    nlohmann::json to_json(const family& f, const series& s) const
    {
        nlohmann::json labels = nlohmann::json::object();
        for (const auto& label : s.labels)
        {
            labels[label.name] = label.value;
        }
        nlohmann::json out{
            {"name", f.name}, {"kind", to_word(s.kind)}, {"labels", labels}};
        if (s.kind == metric_kind::counter)
        {
            out["value"] = counters[s.index];
        }
        else if (s.kind == metric_kind::gauge)
        {
            out["value"] = gauges[s.index]();
        }
        else
        {
            const auto d = distributions[s.index].summarise();
            out.update({{"count", d.count},
                        {"sum", d.sum},
                        {"mean", d.mean},
                        {"max", d.max},
                        {"p50", d.p50},
                        {"p99", d.p99}});
        }
        return out;
    }
};

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}

metrics_registry::~metrics_registry() = default;

counter_id metrics_registry::add_counter(const metric_key& key)
{
    const auto next = state_->counters.size();
    const auto i = state_->find_or_add_series(key, metric_kind::counter, next);
    if (i == next)
    {
        state_->counters.push_back(0);
    }
    return counter_id(i);
}

gauge_id metrics_registry::add_gauge(const metric_key& key, gauge_hook hook)
{
    const auto next = state_->gauges.size();
    const auto i = state_->find_or_add_series(key, metric_kind::gauge, next);
    if (i == next)
    {
        state_->gauges.emplace_back();
    }
    state_->gauges[i] = std::move(hook);
    return gauge_id(i);
}

distribution_id metrics_registry::add_distribution(const metric_key& key)
{
    const auto next = state_->distributions.size();
    const auto i =
        state_->find_or_add_series(key, metric_kind::distribution, next);
    if (i == next)
    {
        state_->distributions.emplace_back();
    }
    return distribution_id(i);
}

void metrics_registry::increment(counter_id id, uint64_t n)
{
    state_->counters[id.value()] += n;
}

void metrics_registry::observe(distribution_id id, double sample)
{
    state_->distributions[id.value()].add(sample);
}

uint64_t metrics_registry::value(counter_id id) const
{
    return state_->counters[id.value()];
}

double metrics_registry::value(gauge_id id) const
{
    return state_->gauges[id.value()]();
}

distribution_summary metrics_registry::summary(distribution_id id) const
{
    return state_->distributions[id.value()].summarise();
}

std::string metrics_registry::to_prometheus() const
{
    std::string out;
    for (const auto& f : state_->families)
    {
        append_header(out, f.name, f.help, to_word(f.kind));
        for (const auto& s : f.all_series)
        {
            state_->append_series(out, f, s);
        }
        if (f.kind == metric_kind::distribution)
        {
            state_->append_maxima(out, f);
        }
    }
    return out;
}

nlohmann::json metrics_registry::to_json() const
{
    auto metrics = nlohmann::json::array();
    for (const auto& f : state_->families)
    {
        for (const auto& s : f.all_series)
        {
            metrics.push_back(state_->to_json(f, s));
        }
    }
    return {{"metrics", metrics}};
}

} // namespace agatebank
