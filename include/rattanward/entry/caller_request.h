#pragma once

#include <string>
#include <string_view>

#include "rattanward/domain/result.h"
#include "rattanward/entry/config_snapshot.h"
#include "rattanward/entry/exchange.h"
#include "rattanward/http/server_connection.h"

namespace rattanward::entry {

/// @brief A caller's request that passed all checks that need no other process.
struct CheckedRequest {
  ExchangePlan plan;
  /// Key of a request that must run at most once; empty for other requests.
  IdempotencyKey idempotency_key;
};

/// @brief Returns the value of a request header field; empty if it is absent.
std::string HeaderValue(const http::ServerRequest& request,
                        std::string_view name);

/// @brief Returns the path of the request target, without the query.
std::string_view PathOf(const http::ServerRequest& request);

/// @brief Finds the client account of a request by its bearer key.
/// @param config The active configuration.
/// @param request The request as received.
/// @return The account.
/// Errors: kUnknownKey if the key is missing or belongs to no account.
Result<const ClientAccount*> Authenticate(const ConfigSnapshot& config,
                                          const http::ServerRequest& request);

/// @brief Validates a chat completion request and builds its exchange plan.
/// @param config The active configuration.
/// @param account The authenticated account.
/// @param request The request as received.
/// @param id The request's id, unique in the deployment.
/// @return The validated request, with its arrival time not set yet.
/// Errors: kMalformedBody, kUnknownModel, kUnknownClass, kClassNotAllowed,
/// kMalformedHeader, kIdempotencyKeyRequired.
Result<CheckedRequest> CheckCompletion(const ConfigSnapshot& config,
                                       const ClientAccount& account,
                                       const http::ServerRequest& request,
                                       const RequestId& id);

/// @brief Validates a service call and builds its exchange plan.
/// @param config The active configuration.
/// @param account The authenticated account.
/// @param request The request as received, with a path /services/NAME/...
/// @param id The request's id, unique in the deployment.
/// @return The validated request, with its arrival time not set yet.
/// Errors: kUnknownService, kUnknownClass, kClassNotAllowed, kMalformedHeader,
/// kIdempotencyKeyRequired.
Result<CheckedRequest> CheckServiceCall(const ConfigSnapshot& config,
                                        const ClientAccount& account,
                                        const http::ServerRequest& request,
                                        const RequestId& id);

}  // namespace rattanward::entry
