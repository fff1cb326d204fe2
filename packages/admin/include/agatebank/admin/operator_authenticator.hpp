#pragma once

#include <agatebank/core/configuration_view.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>

#include <string>

namespace agatebank
{

/// @brief Name of the operator that the bootstrap token authenticates.
inline constexpr const char* bootstrap_operator = "bootstrap";

/// @brief Identifies the operator that sent a request by its bearer token.
class operator_authenticator
{
  public:
    // construction
    /// @param bootstrap_sha256 hash of a token that is valid while the
    /// configuration has no operators, so that the first one can be added;
    /// empty: no such token
    explicit operator_authenticator(std::string bootstrap_sha256);

    // lookup
    /// @return the operator's name; errc::unauthorised when the token is
    /// missing or unknown, errc::forbidden when it belongs to a caller
    result<operator_name> identify(const http_request& request,
                                   const configuration_view& view) const;

  private:
    bool is_bootstrap_token(const std::string& token_sha256,
                            const configuration_view& view) const;

    std::string bootstrap_sha256_;
};

} // namespace agatebank
