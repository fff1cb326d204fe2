#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/loop/object_ptr.hpp>
#include <agatebank/loop/unique_fd.hpp>

#include <string>

namespace agatebank
{

/// @brief Ends the TLS of accepted connections: what a client sends is passed
/// on in plain, and what is answered is encrypted.
class tls_terminator
{
  public:
    // construction
    /// @param certificate PEM file
    /// @param key PEM file
    /// @return errc::settings_invalid of step "http.listen" if a file can't be
    /// used
    static result<tls_terminator> open(const std::string& certificate,
                                       const std::string& key);

    /// @brief Begins to serve a connection on the default main context until
    /// one of its two ends is closed.
    /// @param socket the client's
    /// @return the plain end, non-blocking; none if no socket can be opened
    unique_fd accept(unique_fd socket) const;

  private:
    explicit tls_terminator(object_ptr<GTlsCertificate> certificate);

    object_ptr<GTlsCertificate> certificate_;
};

} // namespace agatebank
