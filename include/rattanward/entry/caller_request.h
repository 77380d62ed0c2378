#pragma once

#include <string>
#include <string_view>

#include "rattanward/domain/result.h"
#include "rattanward/entry/config_snapshot.h"
#include "rattanward/entry/exchange.h"
#include "rattanward/http/server_connection.h"

namespace rattanward::entry {

/// @brief A caller's request after every check that needs no other process.
struct CheckedRequest {
  ExchangePlan plan;
  /// Key of a call that may run at most once; empty for others.
  IdempotencyKey idempotency_key;
};

/// @brief The value of a request's header field; empty if there is none.
std::string HeaderValue(const http::ServerRequest& request,
                        std::string_view name);

/// @brief The path of a request, without its query.
std::string_view PathOf(const http::ServerRequest& request);

/// @brief Finds the client account of a request by its bearer key.
/// @param config The configuration in force.
/// @param request The request as it arrived.
/// @return The account.
/// Errors: kUnknownKey if the key is missing or belongs to no account.
Result<const ClientAccount*> Authenticate(const ConfigSnapshot& config,
                                          const http::ServerRequest& request);

/// @brief Checks a chat completion and plans its exchange.
/// @param config The configuration in force.
/// @param account The authenticated account.
/// @param request The request as it arrived.
/// @param id The request's id, unique in the deployment.
/// @return The plan; its arrival time is the caller's to set.
/// Errors: kMalformedBody, kUnknownModel, kUnknownClass, kClassNotAllowed,
/// kMalformedHeader, kIdempotencyKeyRequired.
Result<CheckedRequest> CheckCompletion(const ConfigSnapshot& config,
                                       const ClientAccount& account,
                                       const http::ServerRequest& request,
                                       const RequestId& id);

/// @brief Checks a call of a plain service and plans its exchange.
/// @param config The configuration in force.
/// @param account The authenticated account.
/// @param request The request as it arrived, at /services/NAME/...
/// @param id The request's id, unique in the deployment.
/// @return The plan; its arrival time is the caller's to set.
/// Errors: kUnknownService, kUnknownClass, kClassNotAllowed, kMalformedHeader,
/// kIdempotencyKeyRequired.
Result<CheckedRequest> CheckServiceCall(const ConfigSnapshot& config,
                                        const ClientAccount& account,
                                        const http::ServerRequest& request,
                                        const RequestId& id);

}  // namespace rattanward::entry
