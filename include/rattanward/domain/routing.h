#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward {

/// @brief What may be repeated of the requests on a route.
enum class RouteKind : std::uint8_t {
  /// May run any number of times.
  kIdempotent,
  /// May run once for each attempt of a caller.
  kAtMostOnce,
  /// Answered by a series of events; runs once unless it may be resumed.
  kStream,
};

/// @brief A service that serves a share of a route.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 0;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// @brief Where requests of one host and path prefix go, and how.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kAtMostOnce;
  /// Longest time that a caller is kept waiting.
  Duration timeout{0};
  /// Time to the answer, or to the first event, that callers are promised.
  Duration target{0};
  /// Longest pause between two events that callers are promised.
  Duration gap_target{0};
  /// 0 is the most urgent.
  std::uint32_t rank = 0;
  std::vector<WeightedService> split;
  /// Upstreams that one attempt of a caller may be sent to.
  std::uint32_t max_attempts = 1;
  /// Needs no key.
  bool anonymous = false;
  /// Requests name the shared parts of their prompts.
  bool by_prefix = false;
  /// A broken stream may go on at another upstream.
  bool resumable = false;

  friend bool operator==(const Route&, const Route&) = default;
};

/// @brief What operators say of the model engines of a service.
struct EngineDeclaration {
  std::uint32_t slots = 0;
  std::uint64_t cache_tokens = 0;
  /// Tokens in one event of a stream.
  std::uint32_t tokens_per_event = 1;

  friend bool operator==(const EngineDeclaration&,
                         const EngineDeclaration&) = default;
};

/// @brief Numbers of upstreams of both kinds that an operator has fixed in a
/// failure domain.
struct PinnedUpstreams {
  std::uint32_t regular = 0;
  std::uint32_t spot = 0;

  friend bool operator==(const PinnedUpstreams&,
                         const PinnedUpstreams&) = default;
};

/// @brief Terms on which upstreams of a service can be ordered.
struct ScalingTerms {
  /// Upstreams of both kinds together, in each failure domain.
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  /// Time from an order until a new upstream serves.
  Duration boot{0};
  /// Share of the regular price that is paid for an upstream that may be
  /// reclaimed; without it none are ordered.
  std::optional<double> spot_price;
  /// Price of a regular upstream a second.
  std::map<FailureDomain, double> prices;
  /// Whether orders are only logged.
  bool dry_run = false;
  /// Failure domains whose numbers are not planned.
  std::map<FailureDomain, PinnedUpstreams> pinned;

  friend bool operator==(const ScalingTerms&, const ScalingTerms&) = default;
};

/// @brief A group of interchangeable upstreams.
struct RoutedService {
  ServiceName name;
  /// Connections that one upstream takes from all entries together.
  std::uint32_t max_connections = 0;
  /// Only for model engines.
  std::optional<EngineDeclaration> engine;
  /// Only where upstreams can be ordered.
  std::optional<ScalingTerms> scaling = std::nullopt;
  /// Extra work that hedges may cause, in thousandths of the service's work;
  /// nothing for the entry's default.
  std::optional<std::uint32_t> hedge_permille{};

  friend bool operator==(const RoutedService&, const RoutedService&) = default;
};

/// @brief What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint32_t max_body_bytes = 4U << 20U;
  Duration header_timeout{std::chrono::seconds(3)};
  Duration idle_timeout{std::chrono::seconds(15)};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// @brief A client account, with the keys that callers show.
struct RoutedAccount {
  ClientAccountId id;
  std::vector<std::string> keys;
  /// Goes before the rank of the route, which then decides among equals.
  std::optional<std::uint32_t> rank;
  /// Share of a service's work that it gets among the accounts of one rank that
  /// want more than there is; above 0.
  double weight = 1;

  friend bool operator==(const RoutedAccount&, const RoutedAccount&) = default;
};

/// @brief One version of the declared routes, as an immutable value.
struct RoutingDeclaration {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  /// Whether routes that aren't anonymous need the key of an account. Without
  /// accounts, nobody may use them.
  bool needs_keys = true;
  std::vector<RoutedAccount> accounts;
  CallerLimits limits;

  friend bool operator==(const RoutingDeclaration&,
                         const RoutingDeclaration&) = default;
};

/// @brief Checks what a declaration must keep to as a whole.
/// Errors: kInvalidConfig for a route to an unknown service, two routes of one
/// host and prefix, weights that add up to 0, a timeout of 0, a prefix without
/// its slashes, two services of one name, a key of two accounts, or an
/// account's weight that is not above 0; kScalingBounds, kScalingTerms and
/// kScalingPin for the terms of scaling.
/// Complexity: linear in the size of the declaration, times a logarithm.
Status Check(const RoutingDeclaration& declaration);

/// @brief A checked declaration, indexed for lookups; immutable.
class RoutingTable {
 public:
  explicit RoutingTable(RoutingDeclaration declaration);
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;

  const RoutingDeclaration& declaration() const { return declaration_; }
  ConfigVersion version() const { return declaration_.version; }
  const CallerLimits& limits() const { return declaration_.limits; }

  /// @brief The route of a host with the longest prefix of a path.
  /// @param host Value of the host field; a port in it is ignored.
  /// @param path Path of the request, with or without a query.
  /// @return The route, or null.
  /// Complexity: linear in the length of the path.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// @brief The account that a key belongs to, or null.
  const RoutedAccount* FindAccount(const std::string& key) const;

  /// @brief Whether a caller with this key may use the route.
  /// @param key Empty if the caller shows none.
  /// @note A key that belongs to no account is refused also where none is
  /// needed, since it may have been withdrawn. Anonymous routes ignore keys.
  bool IsAllowed(const Route& route, const std::string& key) const;

  /// @brief How urgent a request is among all that the declaration allows; 0
  /// is the most urgent. The account's rank goes first, then the route's.
  /// @param account Null for a request without a key.
  /// @note Dense: ranks that no request can have are skipped.
  /// Complexity: logarithmic in the number of ranks.
  std::uint32_t RankOf(const Route& route, const RoutedAccount* account) const;

  /// @brief Whether no route to the service declares a shorter target for the
  /// pauses of its streams. False for a route without such a target.
  bool HasTightestPauses(const Route& route, const ServiceName& service) const;

  /// @brief The service of a name, or null.
  const RoutedService* FindService(const ServiceName& name) const;

 private:
  RoutingDeclaration declaration_;
  /// Keyed by host, a line feed and the prefix.
  std::unordered_map<std::string, const Route*> routes_;
  std::unordered_map<std::string, const RoutedAccount*> accounts_;
  std::map<ServiceName, const RoutedService*> services_;
  /// Shortest target for the pauses of a stream, by service.
  std::map<ServiceName, Duration> tightest_pauses_;
  /// The pairs of ranks that requests can have, in order.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> ranks_;
};

/// @brief The service that serves a request, by the weights of its route.
/// @param route A checked route.
/// @param draw Any number; equal numbers give equal services.
const ServiceName& ChooseService(const Route& route, std::uint64_t draw);

}  // namespace rattanward
