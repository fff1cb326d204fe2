#pragma once

#include <agatebank/core/configuration_difference.hpp>
#include <agatebank/core/configuration_edit.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/platform/rate_limited_reader.hpp>
#include <agatebank/platform/table_client.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Options of @ref configuration_store.
struct configuration_store_options
{
    std::string key = "configuration"; ///< of the document in the table
    /// between the starts of two reads of the table
    duration min_read_interval = std::chrono::milliseconds(50);
    duration initial_retry_delay = std::chrono::milliseconds(50);
    duration max_retry_delay = std::chrono::seconds(2);
    /// from the request of a change until it fails, retries included
    duration change_timeout = std::chrono::seconds(15);
    std::size_t max_queued_changes = 64; ///< more are refused
    uint64_t seed = 1;                   ///< for the jitter of retry delays
};

/// @brief A change that an operator requests.
struct configuration_change
{
    configuration_edit edit;
    std::string change_id; ///< unique to a change; the same if repeated
    operator_name changed_by;
    /// the document that the operator last read, to detect conflicts with;
    /// null: any version may be changed
    std::shared_ptr<const configuration> base;
    /// the version that must be in the table; empty: any version
    std::optional<config_version> required_version;
};

/// @brief What other operators changed since the base of a change.
struct configuration_conflict
{
    config_version version; ///< in the table now
    std::string change_id;  ///< of the change that made this version
    std::string changed_by;
    /// changes since the base that are still in the history
    std::vector<change_record> changes;
    std::vector<item_difference> items; ///< that differ from the base
};

/// @brief Why a change failed; after errc::configuration_conflict, also the
/// other change.
struct change_failure
{
    failure reason;
    std::optional<configuration_conflict> conflict;
};

/// @brief A change that is in the table.
struct accepted_change
{
    std::shared_ptr<const configuration> document; ///< latest known version
    config_version version; ///< in which the change was made
    bool written = true;    ///< false: the change made no difference
};

/// @brief Reads and changes the configuration in the platform's table. A change
/// is a read, an edit and a conditional write, which is repeated after a
/// failure.
///
/// When the reply to a write is lost, the store finds out whether the write
/// took effect by looking for the change id in the document's history. One
/// store makes its changes one at a time. Changes of several stores may race;
/// the conditional write lets one of them succeed. The others are retried if
/// the successful change left the part that they edit as it was, and otherwise
/// fail with errc::configuration_conflict.
class configuration_store
{
  public:
    using load_completion = std::function<void(
        const result<std::shared_ptr<const configuration>>&)>;
    using change_completion = std::function<void(
        const tl::expected<accepted_change, change_failure>&)>;

    // construction
    configuration_store(event_loop& loop, table_client& table,
                        configuration_store_options options, log_sink log);

    // calls
    /// @brief Reads and validates the document.
    /// @param done called with the document, or with an error of
    /// @ref table_client, errc::configuration_unknown when the table has no
    /// document yet, or errc::configuration_invalid
    void load(load_completion done);
    /// @brief Makes a change.
    /// @param change the edit, and the versions it may be applied to
    /// @param done called with the accepted change, or with an error as for
    /// @ref load, errc::configuration_conflict, errc::configuration_invalid
    /// when the edited document is invalid, errc::platform_refused when too
    /// many changes are queued or the table holds a version lower than the
    /// base, or errc::platform_outcome_unknown when the change may have been
    /// written: it timed out, or its record may have left the history
    void change(configuration_change change, change_completion done);

    // lookup
    std::size_t reads_sent() const noexcept;

  private:
    struct pending_change
    {
        configuration_change request;
        change_completion done;
        time_point deadline;
        unsigned attempts = 0;
        /// version of a write whose outcome is unknown
        std::optional<config_version> unconfirmed_write;
    };

    result<std::shared_ptr<const configuration>>
    parse(const table_value& value);
    void begin_change();
    void read();
    void on_read(const result<std::optional<table_value>>& value);
    void check_and_write(const configuration& current,
                         const std::optional<std::string>& etag);
    void write(const configuration& current,
               const std::optional<std::string>& etag);
    void on_written(const result<write_result>& outcome,
                    const std::shared_ptr<const configuration>& next);
    bool
    resolve_earlier_write(const std::shared_ptr<const configuration>& current);
    std::optional<change_failure>
    check_version(const configuration& current) const;
    std::optional<change_failure>
    check_base(const configuration& current) const;
    void retry_later(const failure& reason);
    duration draw_retry_delay();
    void succeed(accepted_change accepted);
    void fail_change(change_failure reason);
    void finish(const tl::expected<accepted_change, change_failure>& outcome);

    event_loop& loop_;
    table_client& table_;
    configuration_store_options options_;
    log_sink log_;
    rate_limited_reader reader_;
    std::mt19937_64 random_;
    std::shared_ptr<const configuration> latest_; ///< last one read
    std::string latest_etag_;
    std::deque<pending_change> changes_; ///< the first is in progress
    http_call_handle call_;
    watch timer_;
};

} // namespace agatebank
