#include <agatebank/admin/operator_authenticator.hpp>
#include <agatebank/http/bearer_token.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_authenticate = "admin.authenticate";

} // namespace

operator_authenticator::operator_authenticator(std::string bootstrap_sha256)
    : bootstrap_sha256_(std::move(bootstrap_sha256))
{
}

result<operator_name>
operator_authenticator::identify(const http_request& request,
                                 const configuration_view& view) const
{
    const auto token = bearer_token(request);
    if (token.empty())
    {
        return fail(errc::unauthorised, step_authenticate, request.peer,
                    "the request has no bearer token");
    }
    const auto hash = sha256_hex(token);
    if (const auto* rule = view.find_operator(hash))
    {
        return rule->name;
    }
    if (is_bootstrap_token(hash, view))
    {
        return operator_name(bootstrap_operator);
    }
    if (view.find_caller(hash) != nullptr)
    {
        return fail(errc::forbidden, step_authenticate, request.peer,
                    "the bearer token belongs to a caller, not to an operator");
    }
    return fail(errc::unauthorised, step_authenticate, request.peer,
                "the bearer token is unknown");
}

bool operator_authenticator::is_bootstrap_token(
    const std::string& token_sha256, const configuration_view& view) const
{
    return view.document().rules.operators.empty() &&
           !bootstrap_sha256_.empty() &&
           equal_in_constant_time(token_sha256, bootstrap_sha256_);
}

} // namespace agatebank
