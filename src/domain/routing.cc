#include "rattanward/domain/routing.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

namespace rattanward {
namespace {

Status Invalid(std::string message) {
  return MakeError(ErrorCode::kInvalidConfig, std::move(message));
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string PlaceKey(std::string_view host, std::string_view prefix) {
  std::string key = Lower(host);
  key += '\n';
  key += prefix;
  return key;
}

std::uint64_t TotalWeight(const Route& route) {
  return std::accumulate(route.split.begin(), route.split.end(),
                         std::uint64_t{0},
                         [](std::uint64_t sum, const WeightedService& part) {
                           return sum + part.weight;
                         });
}

Status CheckRoute(const Route& route, const std::set<ServiceName>& services) {
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return Invalid("route " + route.name + ": prefix \"" + route.path_prefix +
                   "\" does not begin and end with a slash");
  }
  for (const WeightedService& part : route.split) {
    if (services.count(part.service) == 0) {
      return Invalid("route " + route.name + ": unknown service \"" +
                     part.service.str() + "\"");
    }
  }
  if (TotalWeight(route) == 0) {
    return Invalid("route " + route.name + ": the weights add up to 0");
  }
  if (route.timeout <= Duration::zero()) {
    return Invalid("route " + route.name + ": the timeout is not above 0");
  }
  return outcome::success();
}

/// Longest time to boot, and the largest number of upstreams in a failure
/// domain, that a declaration may name. Planning takes time in proportion to
/// the latter.
constexpr Duration kLongestBoot = std::chrono::hours(1);
constexpr std::uint32_t kMostUpstreams = 10'000;

bool IsNegative(const std::pair<const FailureDomain, double>& price) {
  return !(price.second >= 0);
}

Status CheckScaling(const RoutedService& service) {
  const ScalingTerms& terms = *service.scaling;
  const std::string prefix = "service " + service.name.str() + ": ";
  if (terms.min > terms.max || terms.max > kMostUpstreams) {
    return MakeError(
        ErrorCode::kScalingBounds,
        prefix + "min " + std::to_string(terms.min) + ", max " +
            std::to_string(terms.max) +
            "; allowed: min <= max <= " + std::to_string(kMostUpstreams));
  }
  if (terms.boot < Duration::zero() || terms.boot > kLongestBoot) {
    return MakeError(ErrorCode::kScalingTerms,
                     prefix + "the boot time is not between 0 and an hour");
  }
  if (!(terms.spot_price.value_or(0) >= 0) ||
      std::any_of(terms.prices.begin(), terms.prices.end(), IsNegative)) {
    return MakeError(ErrorCode::kScalingTerms, prefix + "a price is negative");
  }
  for (const auto& [domain, pinned] : terms.pinned) {
    const std::uint64_t both = std::uint64_t{pinned.regular} + pinned.spot;
    if (both < terms.min || both > terms.max) {
      return MakeError(ErrorCode::kScalingPin,
                       prefix + "the pinned number in " + domain.str() + ", " +
                           std::to_string(both) +
                           ", is not between min and max");
    }
  }
  return outcome::success();
}

Status CheckService(const RoutedService& service) {
  constexpr std::uint32_t kWholePermille = 1000;
  if (service.hedge_permille.value_or(0) > kWholePermille) {
    return Invalid("service " + service.name.str() + ": a hedge share of " +
                   std::to_string(*service.hedge_permille) +
                   " thousandths is above 1000");
  }
  return outcome::success();
}

Status CheckAccounts(const std::vector<RoutedAccount>& accounts) {
  std::map<std::string, ClientAccountId> owners;
  for (const RoutedAccount& account : accounts) {
    if (!(account.weight > 0) || !std::isfinite(account.weight)) {
      return Invalid("account " + account.id.str() +
                     ": the weight is not above 0");
    }
    for (const std::string& key : account.keys) {
      const auto [owner, added] = owners.emplace(key, account.id);
      if (!added && owner->second != account.id) {
        return Invalid("accounts " + owner->second.str() + " and " +
                       account.id.str() + " share a key");
      }
    }
  }
  return outcome::success();
}

/// The rank of an account and of a route; without the first, the route's own
/// stands for both.
std::pair<std::uint32_t, std::uint32_t> RankPair(const Route& route,
                                                 const RoutedAccount* account) {
  return {account != nullptr ? account->rank.value_or(route.rank) : route.rank,
          route.rank};
}

std::vector<std::pair<std::uint32_t, std::uint32_t>> AllRanks(
    const RoutingDeclaration& declaration) {
  std::set<std::uint32_t> of_accounts;
  for (const RoutedAccount& account : declaration.accounts) {
    if (account.rank) {
      of_accounts.insert(*account.rank);
    }
  }
  std::set<std::pair<std::uint32_t, std::uint32_t>> ranks;
  for (const Route& route : declaration.routes) {
    ranks.insert(RankPair(route, nullptr));
    for (const std::uint32_t of_account : of_accounts) {
      ranks.emplace(of_account, route.rank);
    }
  }
  return {ranks.begin(), ranks.end()};
}

}  // namespace

Status Check(const RoutingDeclaration& declaration) {
  std::set<ServiceName> services;
  for (const RoutedService& service : declaration.services) {
    if (!services.insert(service.name).second) {
      return Invalid("service " + service.name.str() + " stands twice");
    }
    Status scaling =
        service.scaling ? CheckScaling(service) : outcome::success();
    if (!scaling) {
      return scaling;
    }
    Status status = CheckService(service);
    if (!status) {
      return status;
    }
  }
  std::set<std::string> places;
  for (const Route& route : declaration.routes) {
    Status status = CheckRoute(route, services);
    if (!status) {
      return status;
    }
    if (!places.insert(PlaceKey(route.host, route.path_prefix)).second) {
      return Invalid("route " + route.name + ": another route has host \"" +
                     route.host + "\" and prefix \"" + route.path_prefix +
                     "\"");
    }
  }
  return CheckAccounts(declaration.accounts);
}

RoutingTable::RoutingTable(RoutingDeclaration declaration)
    : declaration_(std::move(declaration)), ranks_(AllRanks(declaration_)) {
  for (const Route& route : declaration_.routes) {
    routes_.emplace(PlaceKey(route.host, route.path_prefix), &route);
    for (const WeightedService& part : route.split) {
      if (route.gap_target > Duration::zero() && part.weight > 0) {
        Duration& tightest =
            tightest_pauses_.emplace(part.service, route.gap_target)
                .first->second;
        tightest = std::min(tightest, route.gap_target);
      }
    }
  }
  for (const RoutedAccount& account : declaration_.accounts) {
    for (const std::string& key : account.keys) {
      accounts_.emplace(key, &account);
    }
  }
  for (const RoutedService& service : declaration_.services) {
    services_.emplace(service.name, &service);
  }
}

const Route* RoutingTable::FindRoute(std::string_view host,
                                     std::string_view path) const {
  host = host.substr(0, host.find(':'));
  path = path.substr(0, path.find('?'));
  std::string key = PlaceKey(host, path);
  const std::size_t first = host.size() + 1;
  for (std::size_t end = key.find_last_of('/');
       end != std::string::npos && end >= first; end = key.find_last_of('/')) {
    key.resize(end + 1);
    const auto found = routes_.find(key);
    if (found != routes_.end()) {
      return found->second;
    }
    key.resize(end);
  }
  return nullptr;
}

const RoutedAccount* RoutingTable::FindAccount(const std::string& key) const {
  const auto found = accounts_.find(key);
  return found == accounts_.end() ? nullptr : found->second;
}

bool RoutingTable::IsAllowed(const Route& route, const std::string& key) const {
  if (route.anonymous || FindAccount(key) != nullptr) {
    return true;
  }
  return !declaration_.needs_keys && key.empty();
}

std::uint32_t RoutingTable::RankOf(const Route& route,
                                   const RoutedAccount* account) const {
  const auto found =
      std::lower_bound(ranks_.begin(), ranks_.end(), RankPair(route, account));
  return static_cast<std::uint32_t>(found - ranks_.begin());
}

bool RoutingTable::HasTightestPauses(const Route& route,
                                     const ServiceName& service) const {
  const auto found = tightest_pauses_.find(service);
  return found != tightest_pauses_.end() && route.gap_target == found->second;
}

const RoutedService* RoutingTable::FindService(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

const ServiceName& ChooseService(const Route& route, std::uint64_t draw) {
  std::uint64_t left = draw % TotalWeight(route);
  for (const WeightedService& part : route.split) {
    if (left < part.weight) {
      return part.service;
    }
    left -= part.weight;
  }
  return route.split.back().service;
}

}  // namespace rattanward
