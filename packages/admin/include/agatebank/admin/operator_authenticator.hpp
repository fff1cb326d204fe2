#pragma once

#include <agatebank/core/configuration_view.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>

#include <string>

namespace agatebank
{

/// @brief Name of the operator that the bootstrap token stands for.
inline constexpr const char* bootstrap_operator = "bootstrap";

/// @brief Finds the operator that sent a request by its bearer token.
class operator_authenticator
{
  public:
    // construction
    /// @param bootstrap_sha256 hash of a token that counts while the
    /// configuration has no operators; empty: none
    explicit operator_authenticator(std::string bootstrap_sha256);

    // lookup
    /// @return errc::unauthorised without a known token, errc::forbidden
    /// with a caller's token
    result<operator_name> identify(const http_request& request,
                                   const configuration_view& view) const;

  private:
    bool is_bootstrap(const std::string& token_sha256,
                      const configuration_view& view) const;

    std::string bootstrap_sha256_;
};

} // namespace agatebank
