#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/platform/configuration_store.hpp>

namespace agatebank::detail
{

/// @brief The problem document of a refused operator's call.
http_response admin_problem(const failure& f);

/// @brief The problem document of a failed change; member `conflict` shows
/// the other change.
http_response admin_problem(const change_failure& f,
                            const std::string& change_id);

} // namespace agatebank::detail
