#pragma once

#include <string>
#include <string_view>

#include "rattanward/domain/error.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/http/message.h"

namespace rattanward::entry {

/// @brief Field of an error's number.
inline constexpr std::string_view kErrorField = "X-Rattanward-Error";

/// @brief Serializes an error to the JSON object that callers receive.
std::string ErrorToJson(const Error& error);

/// @brief Creates a response with a numbered error and its verdict, and with
/// Retry-After if the error has a delay.
http::Response ErrorResponse(const Error& error);

/// @brief Creates a response with a JSON body.
http::Response JsonResponse(int status, std::string body);

/// @brief Sets the X-Rattanward-Verdict field: whether the request ran.
void SetVerdict(Verdict verdict, http::ResponseHead* head);

}  // namespace rattanward::entry
