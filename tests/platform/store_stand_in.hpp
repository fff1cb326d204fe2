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

/// @brief How the stand-in treats calls.
enum class store_mode
{
    serving,
    refusing, ///< 503 to all calls
    silent    ///< no answer
};

/// @brief Stand-in of the platform's store: one row, the configuration, by
/// the published calls for reading and following a table.
class store_stand_in
{
  public:
    // construction
    store_stand_in(event_loop& loop, const std::string& address, uint16_t port);

    // modifiers
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
