#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::membership {

/// @brief Services that the routes in force name.
/// @note Without a set every service is named, as where no routes are kept.
class NamedServices {
 public:
  NamedServices() = default;
  explicit NamedServices(std::set<ServiceName> services)
      : services_(std::move(services)) {}

  /// @param services Services with a name each.
  template <class Services>
  static NamedServices Of(const Services& services) {
    std::set<ServiceName> names;
    for (const auto& service : services) {
      names.insert(service.name);
    }
    return NamedServices(std::move(names));
  }

  bool Names(const ServiceName& service) const {
    return !services_ || services_->count(service) > 0;
  }

  friend bool operator==(const NamedServices&, const NamedServices&) = default;

 private:
  std::optional<std::set<ServiceName>> services_;
};

/// @brief A start that registered an address.
struct AddressOwner {
  ServiceName service;
  /// Start of its process, in Unix milliseconds.
  std::uint64_t born = 0;

  friend auto operator<=>(const AddressOwner&, const AddressOwner&) = default;
};

/// @brief Latest start of each service at each address.
/// @note Pure: no I/O, and the time is a parameter. A service that is not named
/// at the moment owns nothing, and owns it again once it is named.
class AddressOwners {
 public:
  /// Number of addresses, and of services at one. For a further one, the one
  /// that was recorded longest ago is dropped.
  static constexpr std::size_t kMaxAddresses = 16384;
  static constexpr std::size_t kMaxServices = 16;

  /// @brief Records a start at an address.
  /// @return Whether it is later than those of its service there before.
  bool Record(const Endpoint& endpoint, const AddressOwner& start,
              TimePoint now);

  /// @brief Latest start at an address among the services named.
  /// @return std::nullopt if there is none.
  /// Complexity: logarithmic in the number of addresses.
  std::optional<AddressOwner> Latest(const Endpoint& endpoint,
                                     const NamedServices& named) const;

  /// @brief Forgets starts that were recorded last before a time and are no
  /// longer in use.
  /// Complexity: linear in the number of addresses.
  void Forget(
      TimePoint recorded_before,
      const std::function<bool(const Endpoint&, const AddressOwner&)>& in_use);

  std::size_t size() const { return starts_.size(); }

 private:
  struct Start {
    std::uint64_t born = 0;
    TimePoint recorded;
  };

  using Starts = std::map<ServiceName, Start>;

  Starts& StartsAt(const Endpoint& endpoint);
  static Start& StartOf(Starts& starts, const ServiceName& service);

  std::map<Endpoint, Starts> starts_;
};

}  // namespace rattanward::membership
