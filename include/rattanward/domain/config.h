#pragma once

#include <cstdint>
#include <vector>

#include "rattanward/domain/client_account.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"

namespace rattanward {

/// @brief A plain service that callers reach at /services/NAME/.
struct ServiceDeclaration {
  ServiceName name;
  /// Class of its calls when the caller names none.
  RequestClassName request_class;
  /// Whether a call may be repeated without harm.
  bool idempotent = false;

  friend bool operator==(const ServiceDeclaration&,
                         const ServiceDeclaration&) = default;
};

/// @brief Limits and budgets that hold for every entry.
struct Limits {
  /// Largest body of a caller's request, in bytes.
  std::uint32_t max_body_bytes = 1U << 20U;
  /// Largest answer kept for a repeated idempotency key, in bytes.
  std::uint32_t max_stored_answer_bytes = 16U << 10U;
  /// Retries allowed for each thousand first attempts that succeed.
  std::uint32_t retry_permille = 100;
  /// Attempts for one request, the first included.
  std::uint32_t max_attempts = 3;
  /// Silence of an upstream after which an entry asks about the stream.
  Duration silence{std::chrono::seconds(2)};
  /// Announcements missing for this long expire an upstream.
  Duration upstream_expiry{std::chrono::seconds(3)};
  /// How long an idempotency key is remembered, in log time.
  Duration claim_window{std::chrono::hours(24)};

  friend bool operator==(const Limits&, const Limits&) = default;
};

/// @brief The declared configuration, as one immutable value.
struct Config {
  std::vector<RequestClass> classes;
  std::vector<ClientAccount> accounts;
  std::vector<ModelName> models;
  std::vector<ServiceDeclaration> services;
  Limits limits;

  friend bool operator==(const Config&, const Config&) = default;
};

/// @brief Looks a request class up by name.
/// @param config The configuration to search.
/// @param name The class's name.
/// @return The class, or null if it is not declared.
/// Complexity: linear in the number of classes.
const RequestClass* FindClass(const Config& config,
                              const RequestClassName& name);

/// @brief Looks a service up by name.
/// @param config The configuration to search.
/// @param name The service's name.
/// @return The service, or null if it is not declared.
/// Complexity: linear in the number of services.
const ServiceDeclaration* FindService(const Config& config,
                                      const ServiceName& name);

}  // namespace rattanward
