#pragma once

#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief How the stand-in answers calls.
enum class store_mode
{
    serving,
    refusing, ///< answers all calls with 503
    silent,   ///< accepts calls and does not answer
    mute      ///< never answers calls that are under way or arrive meanwhile
};

/// @brief Stand-in of the platform's table service. Serves the published calls
/// to read and to follow a table.
class store_stand_in
{
  public:
    // construction
    store_stand_in(event_loop& loop, const std::string& address, uint16_t port);

    // modifiers
    /// @brief Replaces the configuration and answers all waiting calls.
    void write(const std::string& configuration);
    /// @brief Writes a row and answers all waiting calls.
    /// @param value not encoded
    void put(const std::string& key, const std::string& value);
    /// @brief Removes a row and answers all waiting calls.
    void erase(const std::string& key);
    /// @brief Discards the history of changes: calls that follow it from the
    /// present version or an earlier one are answered 410.
    void discard_history();
    void set_mode(store_mode mode);
    /// @brief Adds rows to each answer, as another writer left them.
    /// @param rows JSON text of one or more rows, separated by commas
    void set_odd_rows(std::string rows);
    /// @brief Limits the rows of one answer to a read.
    void set_page_size(std::size_t rows);

    // lookup
    std::string address() const;

  private:
    struct row_record
    {
        std::string value; ///< not encoded
        int64_t version = 0;
        bool deleted = false;
    };
    struct waiting_call
    {
        int64_t after = 0;
        http_responder respond;
    };

    void get(const http_request& request, const http_responder& respond);
    void follow(const http_request& request, const http_responder& respond);
    void answer_changes(int64_t after, const http_responder& respond);
    void answer_waiting();
    nlohmann::json to_json(const std::string& key, const row_record& row) const;
    /// @brief An answer with rows, to which the odd ones are added.
    http_response answer(nlohmann::json body) const;

    event_loop& loop_;
    http_server server_;
    store_mode mode_ = store_mode::serving;
    std::map<std::string, row_record> rows_;
    int64_t version_ = 10;
    int64_t oldest_change_ = 0; ///< later changes are in the history
    std::size_t page_size_ = 1000;
    std::string odd_rows_;
    std::vector<waiting_call> waiting_;
};

} // namespace agatebank
