#include <agatebank/core/configuration_document.hpp>
#include <agatebank/platform/configuration_store.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_load = "configuration.load";
constexpr const char* step_change = "configuration.change";

using document_ptr = std::shared_ptr<const configuration>;

std::string describe(const configuration_conflict& c)
{
    return "version " + std::to_string(c.version.value()) + " by " +
           c.changed_by + ", change " + c.change_id +
           (c.changes.empty() ? "" : ": " + c.changes.back().summary);
}

change_failure make_conflict(config_version base, const configuration& current,
                             std::vector<item_difference> items)
{
    configuration_conflict out;
    out.version = current.version;
    out.change_id = current.change_id;
    out.changed_by = current.changed_by;
    out.items = std::move(items);
    std::copy_if(current.history.begin(), current.history.end(),
                 std::back_inserter(out.changes),
                 [&](const auto& record) { return record.version > base; });
    auto text = describe(out);
    return {{make_error_code(errc::configuration_conflict), step_change,
             current.changed_by, std::move(text)},
            std::move(out)};
}

} // namespace

configuration_store::configuration_store(event_loop& loop, table_client& table,
                                         configuration_store_options options,
                                         log_sink log)
    : loop_(loop)
    , table_(table)
    , options_(std::move(options))
    , log_(std::move(log))
    , reader_(loop, table, options_.key, options_.min_read_interval)
    , random_(options_.seed)
{
}

void configuration_store::load(load_completion done)
{
    reader_.read(
        [this, done = std::move(done)](const auto& value)
        {
            if (!value)
            {
                done(tl::unexpected(value.error()));
            }
            else if (!*value)
            {
                done(fail(errc::configuration_unknown, step_load, options_.key,
                          "the table has no such key"));
            }
            else
            {
                done(parse(**value));
            }
        });
}

// Polls mostly find the version that the poll before them found.
result<document_ptr> configuration_store::parse(const table_value& value)
{
    if (latest_ && latest_etag_ == value.etag)
    {
        return latest_;
    }
    auto parsed = parse_configuration(value.body, "table key " + options_.key);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    latest_ = std::make_shared<const configuration>(std::move(*parsed));
    latest_etag_ = value.etag;
    return latest_;
}

void configuration_store::change(configuration_change change,
                                 change_completion done)
{
    if (changes_.size() >= options_.max_queued_changes)
    {
        done(tl::unexpected(
            change_failure{{make_error_code(errc::platform_refused),
                            step_change, options_.key, "too many changes wait"},
                           std::nullopt}));
        return;
    }
    changes_.push_back({std::move(change), std::move(done),
                        loop_.now() + options_.change_timeout, 0,
                        std::nullopt});
    if (changes_.size() == 1)
    {
        begin();
    }
}

std::size_t configuration_store::reads_sent() const noexcept
{
    return reader_.reads_sent();
}

void configuration_store::begin()
{
    read();
}

void configuration_store::read()
{
    reader_.read([this](const auto& value) { on_read(value); });
}

void configuration_store::on_read(
    const result<std::optional<table_value>>& value)
{
    if (!value)
    {
        try_again(value.error());
        return;
    }
    if (!*value)
    {
        check_and_write(configuration{}, std::nullopt);
        return;
    }
    const auto current = parse(**value);
    if (!current)
    {
        give_up({current.error(), std::nullopt});
        return;
    }
    if (find_own_change(*current))
    {
        return;
    }
    check_and_write(**current, (*value)->etag);
}

void configuration_store::check_and_write(
    const configuration& current, const std::optional<std::string>& etag)
{
    auto refusal = check_version(current);
    if (!refusal)
    {
        refusal = check_base(current);
    }
    if (refusal)
    {
        give_up(std::move(*refusal));
        return;
    }
    write(current, etag);
}

// Looks for a write of this change whose reply was lost, be it ours or that
// of another entry which the operator asked before. Its record is gone from
// the history after many later changes; then nobody can tell.
bool configuration_store::find_own_change(const document_ptr& current)
{
    const auto& pending = changes_.front();
    const auto& history = current->history;
    const auto it =
        std::find_if(history.begin(), history.end(),
                     [&](const auto& record)
                     { return record.change_id == pending.request.change_id; });
    if (it != history.end())
    {
        succeed({current, it->version, true});
        return true;
    }
    const bool forgotten = pending.unknown_write && !history.empty() &&
                           history.front().version > *pending.unknown_write;
    if (forgotten)
    {
        give_up({{make_error_code(errc::platform_outcome_unknown), step_change,
                  options_.key,
                  "change " + pending.request.change_id +
                      " is older than the history"},
                 std::nullopt});
    }
    return forgotten;
}

std::optional<change_failure>
configuration_store::check_version(const configuration& current) const
{
    const auto& request = changes_.front().request;
    const auto required = request.required_version;
    if (!required || *required == current.version)
    {
        return std::nullopt;
    }
    const bool base_known = request.base && request.base->version == *required;
    return make_conflict(*required, current,
                         base_known ? difference(*request.base, current)
                                    : std::vector<item_difference>());
}

std::optional<change_failure>
configuration_store::check_base(const configuration& current) const
{
    const auto& request = changes_.front().request;
    if (!request.base || current.version == request.base->version)
    {
        return std::nullopt;
    }
    if (current.version < request.base->version)
    {
        return change_failure{
            {make_error_code(errc::platform_refused), step_change, options_.key,
             "the table holds version " +
                 std::to_string(current.version.value()) +
                 ", lower than version " +
                 std::to_string(request.base->version.value()) + " in force"},
            std::nullopt};
    }
    auto items =
        select_part(difference(*request.base, current), request.edit.part);
    if (items.empty())
    {
        return std::nullopt;
    }
    return make_conflict(request.base->version, current, std::move(items));
}

void configuration_store::write(const configuration& current,
                                const std::optional<std::string>& etag)
{
    auto& pending = changes_.front();
    auto edited = pending.request.edit.apply(current);
    if (!edited)
    {
        give_up({edited.error(), std::nullopt});
        return;
    }
    const auto fault = find_fault(*edited);
    if (!fault.empty())
    {
        give_up({{make_error_code(errc::configuration_invalid), step_change,
                  options_.key, fault},
                 std::nullopt});
        return;
    }
    const auto items = difference(current, *edited);
    if (items.empty() && etag)
    {
        succeed({std::make_shared<const configuration>(current),
                 current.version, false});
        return;
    }
    const auto next = std::make_shared<const configuration>(make_next_version(
        std::move(*edited), {{},
                             pending.request.change_id,
                             pending.request.changed_by.value(),
                             summarise(items)}));
    call_ = table_.put(options_.key, to_text(*next), etag,
                       [this, next](const auto& outcome)
                       { on_written(outcome, next); });
}

void configuration_store::on_written(const result<write_result>& outcome,
                                     const document_ptr& next)
{
    call_.reset();
    if (outcome && outcome->outcome == write_outcome::written)
    {
        succeed({next, next->version, true});
        return;
    }
    if (outcome)
    {
        try_again({make_error_code(errc::configuration_conflict), step_change,
                   options_.key, "another version was written"});
        return;
    }
    if (outcome.error().code == errc::platform_outcome_unknown)
    {
        changes_.front().unknown_write = next->version;
    }
    try_again(outcome.error());
}

void configuration_store::try_again(const failure& reason)
{
    auto& pending = changes_.front();
    const auto delay = draw_back_off();
    if (loop_.now() + delay < pending.deadline)
    {
        timer_ = loop_.after(delay, [this] { read(); });
        return;
    }
    auto last = reason;
    if (pending.unknown_write)
    {
        last.code = make_error_code(errc::platform_outcome_unknown);
        last.detail = "change " + pending.request.change_id +
                      " may be in the table; " + reason.to_string();
    }
    give_up({std::move(last), std::nullopt});
}

// Exponential back-off with full jitter over the upper half.
duration configuration_store::draw_back_off()
{
    constexpr unsigned max_doublings = 16;
    auto& attempts = changes_.front().attempts;
    const auto factor = 1L << std::min(attempts, max_doublings);
    ++attempts;
    const auto full =
        std::min(options_.first_back_off * factor, options_.max_back_off);
    std::uniform_int_distribution<int64_t> draw(full.count() / 2, full.count());
    return duration(draw(random_));
}

void configuration_store::succeed(accepted_change accepted)
{
    finish(std::move(accepted));
}

void configuration_store::give_up(change_failure reason)
{
    log_(to_record(log_level::warning, reason.reason));
    finish(tl::unexpected(std::move(reason)));
}

void configuration_store::finish(
    const tl::expected<accepted_change, change_failure>& outcome)
{
    const auto done = std::move(changes_.front().done);
    changes_.pop_front();
    if (!changes_.empty())
    {
        begin();
    }
    done(outcome);
}

} // namespace agatebank
