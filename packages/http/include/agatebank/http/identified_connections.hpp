#pragma once

#include <agatebank/http/http_client.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace agatebank
{

/// @brief Which process a peer is, by its own answers. Another process at the
/// same address has another identity.
using peer_identity = strong_id<struct peer_identity_tag, int64_t>;

/// @brief How a peer is asked for its identity.
struct identification
{
    /// makes a call that does nothing but to be answered
    std::function<http_call()> make_call;
    /// the identity that a response names, if it names one
    std::function<std::optional<peer_identity>(const http_response&)> read;
};

/// @brief The persistent connections to one peer, each of which is known to
/// lead to one process. A TCP connection ends with the process that it leads
/// to: once the peer has named itself on a connection, whatever is sent on it
/// reaches that process or none. A call is therefore sent only on a connection
/// on which the expected identity was named before; a new connection is
/// identified first.
///
/// Load pattern: a peer is replaced by another one at the same address, which
/// would carry out calls that were meant for its predecessor.
class identified_connections
{
  public:
    // construction
    identified_connections(event_loop& loop, std::size_t max_connections,
                           identification how);
    ~identified_connections();
    identified_connections(const identified_connections&) = delete;
    identified_connections& operator=(const identified_connections&) = delete;

    // modifiers
    /// @brief Closes the idle connections to other processes.
    void close_idle_except(peer_identity identity);

    // calls
    /// @brief Sends a call to one process. A call that isn't sent, as another
    /// process answers there, fails with errc::start_wrong_incarnation. A
    /// peer's refusal to identify itself is the response to the call. The time
    /// limit includes the identification.
    /// @return handle that must not outlive this object
    [[nodiscard]] http_call_handle
    send(const http_call& call, peer_identity expected, http_completion done);
    /// @brief Sends a call whose response names the peer's identity, to
    /// whatever process is there.
    [[nodiscard]] http_call_handle identify(const http_call& call,
                                            http_completion done);

    // lookup
    /// @brief Whether a call to a process can be sent at once, on a connection
    /// that has been identified.
    bool has_idle(peer_identity identity) const;
    std::size_t size() const noexcept;

  private:
    using outcome = tl::expected<http_response, http_failure>;
    using connection_number = strong_id<struct connection_number_tag, uint64_t>;
    using request_number = strong_id<struct request_number_tag, uint64_t>;

    struct connection
    {
        explicit connection(event_loop& loop);

        http_client client; ///< has this connection only
        std::optional<http_connection_id> id;
        std::optional<peer_identity> identity;
        bool busy = false;
    };
    struct request
    {
        http_call call;
        http_completion done;
        time_point until;                      ///< of its time limit
        std::optional<peer_identity> expected; ///< empty: any process
        unsigned tries = 0;
        connection_number used;
        http_call_handle handle; ///< of the call under way
    };

    http_call_handle add(const http_call& call,
                         std::optional<peer_identity> expected,
                         http_completion done);
    void dispatch(request_number number);
    /// @brief Sends a request's call on the connection chosen for it.
    void send_call(request_number number);
    /// @brief Fails a request, after the current callback, for lack of a
    /// connection.
    void fail_later(request_number number);
    /// @brief Returns an idle connection to a process, or to any.
    std::optional<connection_number>
    find_idle(std::optional<peer_identity> identity) const;
    /// @brief Returns a new connection, or nothing at the limit.
    /// @param expected idle connections to others may be closed for it
    std::optional<connection_number>
    open(std::optional<peer_identity> expected);
    void send_on(connection_number c, request_number number,
                 const http_call& call, http_completion done);
    void on_identified(request_number number, const outcome& result);
    void on_response(request_number number, const outcome& result);
    /// @brief Notes who has answered, unless it is known of the connection.
    void note_identity(connection_number c, const http_response& response);
    void complete(request_number number, const outcome& result);
    void cancel(request_number number);
    /// @brief Closes a connection after the current callback.
    void drop(connection_number c);

    event_loop& loop_;
    std::size_t max_connections_;
    identification how_;
    std::map<connection_number, std::shared_ptr<connection>> connections_;
    std::map<request_number, request> requests_;
    uint64_t last_connection_ = 0;
    uint64_t last_request_ = 0;
};

} // namespace agatebank
