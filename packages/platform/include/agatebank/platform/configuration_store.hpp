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

/// @brief Tunables of @ref configuration_store.
struct configuration_store_options
{
    std::string key = "configuration";
    duration min_read_interval = std::chrono::milliseconds(50);
    duration first_back_off = std::chrono::milliseconds(50);
    duration max_back_off = std::chrono::seconds(2);
    duration change_timeout = std::chrono::seconds(15);
    std::size_t max_queued_changes = 64;
    uint64_t seed = 1; ///< of the jitter
};

/// @brief A change that an operator asks for.
struct configuration_change
{
    configuration_edit edit;
    std::string change_id; ///< random, unique to this change
    operator_name changed_by;
    /// the document the operator last saw; nothing: any will do
    std::shared_ptr<const configuration> base;
    /// when given: refuse unless this version is in the table
    std::optional<config_version> required_version;
};

/// @brief What other operators changed meanwhile.
struct configuration_conflict
{
    config_version version; ///< in the table now
    std::string change_id;  ///< that made it
    std::string changed_by;
    std::vector<change_record> changes; ///< since the base, as far as kept
    std::vector<item_difference> items; ///< changed since the base
};

/// @brief Why a change failed; with errc::configuration_conflict, the other
/// change.
struct change_failure
{
    failure reason;
    std::optional<configuration_conflict> conflict;
};

/// @brief A change that is in the table.
struct accepted_change
{
    std::shared_ptr<const configuration> document; ///< latest that was read
    config_version version;                        ///< that holds the change
    bool written = true; ///< false: the document already was so
};

/// @brief The configuration in the platform's table: read, and changed by
/// read, edit and conditional write.
///
/// A write whose reply was lost is looked for by its change id. Changes of
/// one store are made one after the other; changes of several stores may
/// race, and the table lets one of them win. A loser is tried again when
/// the winner left its part alone, and fails with
/// errc::configuration_conflict otherwise.
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
    /// @brief Reads and validates the document. Errors: those of the table;
    /// errc::configuration_unknown when there is none yet;
    /// errc::configuration_invalid.
    void load(load_completion done);
    /// @brief Makes a change. Errors: as for @ref load;
    /// errc::configuration_conflict; errc::configuration_invalid when the
    /// edited document is not valid; errc::platform_outcome_unknown when the
    /// time passed and the change may be in the table.
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
        /// version of a write whose outcome is not known
        std::optional<config_version> unknown_write;
    };

    result<std::shared_ptr<const configuration>>
    parse(const table_value& value);
    void begin();
    void read();
    void on_read(const result<std::optional<table_value>>& value);
    void check_and_write(const configuration& current,
                         const std::optional<std::string>& etag);
    void write(const configuration& current,
               const std::optional<std::string>& etag);
    void on_written(const result<write_result>& outcome,
                    const std::shared_ptr<const configuration>& next);
    bool find_own_change(const std::shared_ptr<const configuration>& current);
    std::optional<change_failure>
    check_version(const configuration& current) const;
    std::optional<change_failure>
    check_base(const configuration& current) const;
    void try_again(const failure& reason);
    duration draw_back_off();
    void succeed(accepted_change accepted);
    void give_up(change_failure reason);
    void finish(const tl::expected<accepted_change, change_failure>& outcome);

    event_loop& loop_;
    table_client& table_;
    configuration_store_options options_;
    log_sink log_;
    rate_limited_reader reader_;
    std::mt19937_64 random_;
    std::shared_ptr<const configuration> latest_; ///< that was read
    std::string latest_etag_;
    std::deque<pending_change> changes_; ///< the first is being made
    http_call_handle call_;
    watch timer_;
};

} // namespace agatebank
