#pragma once

#include <string>
#include <string_view>

#include "rattanward/domain/error.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/http/message.h"

namespace rattanward::entry {

/// @brief The JSON object by which callers are told of an error.
std::string ErrorToJson(const Error& error);

/// @brief An answer with a numbered error, its verdict and Retry-After.
http::Response ErrorResponse(const Error& error);

/// @brief An answer with a JSON body.
http::Response JsonResponse(int status, std::string body);

/// @brief Sets the field that tells whether the request ran.
void SetVerdict(Verdict verdict, http::ResponseHead* head);

}  // namespace rattanward::entry
