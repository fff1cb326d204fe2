#pragma once

#include <agatebank/loop/event_loop.hpp>
#include <agatebank/platform/table_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Reads one key of the table at a limited rate. Requests that are made
/// before a read is sent share its result; a request made later waits for the
/// next read and never receives a value that was read before it was made.
class rate_limited_reader
{
  public:
    // construction
    /// @param key the key to read
    /// @param min_interval between the starts of two reads
    rate_limited_reader(event_loop& loop, table_client& table, std::string key,
                        duration min_interval);

    // calls
    /// @brief Requests a read.
    void read(table_client::get_completion done);

    // lookup
    /// @brief Number of reads sent to the table.
    std::size_t reads_sent() const noexcept;

  private:
    void schedule();
    void send();
    void finish(const result<std::optional<table_value>>& value);

    event_loop& loop_;
    table_client& table_;
    std::string key_;
    duration min_interval_;
    std::optional<time_point> last_sent_;
    std::size_t reads_sent_ = 0;
    std::vector<table_client::get_completion> waiting_;
    std::vector<table_client::get_completion> in_flight_;
    http_call_handle call_;
    watch timer_;
};

} // namespace agatebank
