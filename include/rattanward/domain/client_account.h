#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward {

/// @brief A customer of the users, known by a bearer key.
struct ClientAccount {
  ClientAccountId id;
  /// SHA-256 of the bearer key, in lower-case hexadecimal.
  std::string key_sha256;
  /// Classes that the account may name; the first is used if it names none.
  std::vector<RequestClassName> classes;
  /// Requests of the account in flight over all entries; 0 is unlimited.
  std::uint32_t max_in_flight = 0;
  /// Requests of the account a minute over all entries; 0 is unlimited.
  std::uint32_t requests_per_minute = 0;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

}  // namespace rattanward
