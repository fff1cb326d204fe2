#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/platform/configuration_store.hpp>

namespace agatebank::detail
{

/// @brief The problem document for an operator's request that failed.
http_response admin_problem(const failure& f);

/// @brief The problem document for a change that failed. After a conflict its
/// member `conflict` describes the other change.
http_response admin_problem(const change_failure& f,
                            const std::string& change_id);

} // namespace agatebank::detail
