#pragma once

#include <cstdint>
#include <optional>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_rate.h"

namespace rattanward {

/// @brief Whether an upstream names a limit in its answers, and which.
struct NamedLimit {
  /// Grows with each change that an entry reads in an answer.
  std::uint64_t revision = 0;
  bool limited = false;
  /// Requests that the upstream takes from all entries together, if limited.
  RequestRate rate;
  /// Rejections a second for want of room beyond which the upstream fails; 0 if
  /// it names none.
  std::uint32_t rejection_limit = 0;

  /// @brief The rate, or nothing if there is no limit.
  std::optional<RequestRate> limit() const {
    return limited ? std::optional(rate) : std::nullopt;
  }

  friend bool operator==(const NamedLimit&, const NamedLimit&) = default;
};

/// @brief Whether a limit replaces a known one: it is newer, or as new and
/// stricter, first in rejections and then in requests.
bool Replaces(const NamedLimit& received, const NamedLimit& known);

/// @brief Limits that an upstream names in an answer.
struct NamedTerms {
  std::optional<RequestRate> limit;
  std::optional<std::uint32_t> rejection_limit;
  /// Whether what the answer doesn't name is withdrawn.
  bool complete = true;

  friend bool operator==(const NamedTerms&, const NamedTerms&) = default;
};

/// @brief The limit after an answer.
/// @return The known limit if the answer says the same.
NamedLimit AfterAnswer(const NamedLimit& known, const NamedTerms& named);

/// @brief The limit of one start of an upstream.
struct UpstreamLimit {
  UpstreamId id;
  std::uint64_t born = 0;
  NamedLimit limit;

  friend bool operator==(const UpstreamLimit&, const UpstreamLimit&) = default;
};

}  // namespace rattanward
