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

  /// @brief The rate, or nothing if there is no limit.
  std::optional<RequestRate> limit() const {
    return limited ? std::optional(rate) : std::nullopt;
  }

  friend bool operator==(const NamedLimit&, const NamedLimit&) = default;
};

/// @brief Whether a limit replaces a known one: it is newer, or as new and
/// stricter.
bool Replaces(const NamedLimit& received, const NamedLimit& known);

/// @brief The limit after an answer that names this one, or none.
/// @return The known limit if the answer says the same.
NamedLimit AfterAnswer(const NamedLimit& known,
                       const std::optional<RequestRate>& named);

/// @brief The limit of one start of an upstream.
struct UpstreamLimit {
  UpstreamId id;
  std::uint64_t born = 0;
  NamedLimit limit;

  friend bool operator==(const UpstreamLimit&, const UpstreamLimit&) = default;
};

}  // namespace rattanward
