#pragma once

#include <httplib.h>

#include "rattanward/domain/error.h"
#include "rattanward/domain/verdict.h"

namespace rattanward::entry {

/// @brief The JSON object by which callers are told of an error.
std::string ErrorToJson(const Error& error);

/// @brief Fills a response with a numbered error, its verdict and Retry-After.
void WriteError(const Error& error, httplib::Response& response);

/// @brief Sets the header that tells whether the request ran.
void WriteVerdict(Verdict verdict, httplib::Response& response);

}  // namespace rattanward::entry
