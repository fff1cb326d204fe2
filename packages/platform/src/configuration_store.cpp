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
                          "the table has no configuration under this key"));
            }
            else
            {
                done(parse(**value));
            }
        });
}

// Keeps the last parsed document, since most polls read the version that the
// previous poll read.
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
        done(tl::unexpected(change_failure{
            {make_error_code(errc::platform_refused), step_change, options_.key,
             std::to_string(changes_.size()) +
                 " configuration changes are already queued"},
            std::nullopt}));
        return;
    }
    changes_.push_back({std::move(change), std::move(done),
                        loop_.now() + options_.change_timeout, 0,
                        std::nullopt});
    if (changes_.size() == 1)
    {
        begin_change();
    }
}

std::size_t configuration_store::reads_sent() const noexcept
{
    return reader_.reads_sent();
}

void configuration_store::begin_change()
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
        retry_later(value.error());
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
        fail_change({current.error(), std::nullopt});
        return;
    }
    if (resolve_earlier_write(*current))
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
        fail_change(std::move(*refusal));
        return;
    }
    write(current, etag);
}

// Completes the change if an earlier write of it took effect whose reply was
// lost, made by this entry or by another one that received the same request.
// The history keeps a limited number of records: after many later changes the
// record of this change may have been removed from it, and whether the write
// took effect cannot be determined. Returns whether the change has ended,
// with success or failure.
bool configuration_store::resolve_earlier_write(const document_ptr& current)
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
    const bool record_removed =
        pending.unconfirmed_write && !history.empty() &&
        history.front().version > *pending.unconfirmed_write;
    if (record_removed)
    {
        fail_change(
            {{make_error_code(errc::platform_outcome_unknown), step_change,
              options_.key,
              "the outcome of change " + pending.request.change_id +
                  " is unknown: the history no longer reaches back to it"},
             std::nullopt});
    }
    return record_removed;
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
    const bool base_is_required =
        request.base && request.base->version == *required;
    return make_conflict(*required, current,
                         base_is_required ? difference(*request.base, current)
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
                 ", which is lower than version " +
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
        fail_change({edited.error(), std::nullopt});
        return;
    }
    const auto error = find_validation_error(*edited);
    if (!error.empty())
    {
        fail_change({{make_error_code(errc::configuration_invalid), step_change,
                      options_.key, error},
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
        retry_later({make_error_code(errc::configuration_conflict), step_change,
                     options_.key,
                     "another change was written to the table first"});
        return;
    }
    if (outcome.error().code == errc::platform_outcome_unknown)
    {
        changes_.front().unconfirmed_write = next->version;
    }
    retry_later(outcome.error());
}

void configuration_store::retry_later(const failure& reason)
{
    auto& pending = changes_.front();
    const auto delay = draw_retry_delay();
    if (loop_.now() + delay < pending.deadline)
    {
        timer_ = loop_.after(delay, [this] { read(); });
        return;
    }
    auto final_failure = reason;
    if (pending.unconfirmed_write)
    {
        final_failure.code = make_error_code(errc::platform_outcome_unknown);
        final_failure.detail = "change " + pending.request.change_id +
                               " may have been written to the table; " +
                               reason.to_string();
    }
    fail_change({std::move(final_failure), std::nullopt});
}

// Exponential back-off: draws a delay from the upper half of an interval that
// doubles with each attempt, up to max_retry_delay.
duration configuration_store::draw_retry_delay()
{
    constexpr unsigned max_doublings = 16;
    auto& attempts = changes_.front().attempts;
    const auto factor = 1L << std::min(attempts, max_doublings);
    ++attempts;
    const auto longest = std::min(options_.initial_retry_delay * factor,
                                  options_.max_retry_delay);
    std::uniform_int_distribution<int64_t> draw(longest.count() / 2,
                                                longest.count());
    return duration(draw(random_));
}

void configuration_store::succeed(accepted_change accepted)
{
    finish(std::move(accepted));
}

void configuration_store::fail_change(change_failure reason)
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
        begin_change();
    }
    done(outcome);
}

} // namespace agatebank
