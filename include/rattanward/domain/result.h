#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include "rattanward/domain/error.h"

namespace rattanward {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// @brief A value of type T or an Error; reading the wrong one terminates.
template <class T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

/// @brief Success without a value, or an Error.
using Status = Result<void>;

/// @brief Shorthand for a failed Result.
/// @param code The error's stable number.
/// @param message Plain sentence with the value seen and what is allowed.
/// @param verdict Whether the request may have run.
/// @return An error that any Result converts from.
inline Error MakeError(ErrorCode code, std::string message,
                       Verdict verdict = Verdict::kNotRun) {
  return Error{code, verdict, std::move(message), std::nullopt};
}

}  // namespace rattanward
