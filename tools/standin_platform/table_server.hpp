#pragma once

#include "table.hpp"
#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <libsoup/soup.h>

#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief What goes wrong at the table service; set by `POST /faults`.
struct table_faults
{
    bool outage = false;       ///< every request is answered 503
    duration delay{};          ///< before each request takes effect
    unsigned lose_replies = 0; ///< next writes that close without a reply
    unsigned max_reads_per_s = 2000;
    unsigned max_writes_per_s = 300;
};

/// @brief Operations seen since the start; shown by `GET /faults`.
struct table_counters
{
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t refused = 0; ///< by outage or rate
    uint64_t lost_replies = 0;
};

/// @brief The table over HTTP: `GET` and `PUT` of any path but `/faults`.
class table_server
{
  public:
    // construction
    explicit table_server(event_loop& loop);
    ~table_server();
    table_server(const table_server&) = delete;
    table_server& operator=(const table_server&) = delete;

    // life time
    /// @return the port
    result<uint16_t> listen(const std::string& address, uint16_t port);

  private:
    static void on_request(SoupServer* server, SoupServerMessage* message,
                           const char* path, GHashTable* query, gpointer self);

    void serve(SoupServerMessage* message, const std::string& path);
    void serve_faults(SoupServerMessage* message);
    void serve_read(SoupServerMessage* message, const std::string& key);
    void serve_write(SoupServerMessage* message, const std::string& key);
    bool refuse(SoupServerMessage* message, rate_limit& limit);
    result<table_faults> parse_faults(const std::string& body) const;

    event_loop& loop_;
    object_ptr<SoupServer> server_;
    table table_;
    table_faults faults_;
    table_counters counters_;
    rate_limit reads_;
    rate_limit writes_;
    std::map<SoupServerMessage*, watch> delayed_;
};

} // namespace agatebank
