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
    silent    ///< accepts calls and does not answer
};

/// @brief Stand-in of the platform's table service. Serves the published calls
/// to read and to follow a table, which has one row, the configuration.
class store_stand_in
{
  public:
    // construction
    store_stand_in(event_loop& loop, const std::string& address, uint16_t port);

    // modifiers
    /// @brief Replaces the configuration and answers all waiting calls.
    void write(const std::string& configuration);
    void set_mode(store_mode mode);

    // lookup
    std::string address() const;

  private:
    void get(const http_responder& respond);
    void follow(const http_request& request, const http_responder& respond);
    nlohmann::json row() const;

    event_loop& loop_;
    http_server server_;
    store_mode mode_ = store_mode::serving;
    std::string configuration_;
    int64_t version_ = 10;
    std::vector<http_responder> waiting_;
};

} // namespace agatebank
