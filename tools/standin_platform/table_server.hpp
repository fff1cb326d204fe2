#pragma once

#include "table.hpp"
#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <libsoup/soup.h>

#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief Faults that the table service injects; set by `POST /faults`.
struct table_faults
{
    bool outage = false;       ///< every request is answered with 503
    duration delay{};          ///< delay before each request is processed
    unsigned lose_replies = 0; ///< next writes processed without a reply
    unsigned max_reads_per_s = 2000;
    unsigned max_writes_per_s = 300;
};

/// @brief Operations since the start of the process; returned by `GET /faults`.
struct table_counters
{
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t refused = 0; ///< because of an outage or a rate limit
    uint64_t lost_replies = 0;
};

/// @brief Serves the table over HTTP: `GET` and `PUT` of any path except
/// `/faults`, which reads and sets the injected faults.
class table_server
{
  public:
    // construction
    explicit table_server(event_loop& loop);
    ~table_server();
    table_server(const table_server&) = delete;
    table_server& operator=(const table_server&) = delete;

    // lifetime
    /// @param port port to listen on; 0 selects any free port
    /// @return the port
    result<uint16_t> listen(const std::string& address, uint16_t port);

  private:
    static void on_request(SoupServer* server, SoupServerMessage* message,
                           const char* path, GHashTable* query, gpointer self);

    void serve(SoupServerMessage* message, const std::string& path);
    void serve_faults(SoupServerMessage* message);
    void serve_read(SoupServerMessage* message, const std::string& key);
    void serve_write(SoupServerMessage* message, const std::string& key);
    // Answers 503 and returns true if there is an outage or the limit is
    // exceeded.
    bool refuse_if_unavailable(SoupServerMessage* message, rate_limit& limit);
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
