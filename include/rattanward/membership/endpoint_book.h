#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::membership {

/// @brief Bounded set of the endpoints at which control VMs are or were.
/// @note Pure: no I/O, and the time is a parameter. A new endpoint takes the
/// place of the one that has been silent longest. Who is connected stays, and a
/// list that names any number of endpoints pushes out neither seeds nor those
/// that others name.
class EndpointBook {
 public:
  /// Time for which an endpoint counts as named.
  static constexpr Duration kNamedFor{std::chrono::seconds(5)};
  /// Time without a word after which a named endpoint may be dropped, too.
  static constexpr Duration kSilentAfter{std::chrono::seconds(10)};

  /// @brief What follows from naming an endpoint.
  struct Outcome {
    /// Whether it is new and is to be connected.
    bool added = false;
    /// Endpoint that made room for it.
    std::optional<Endpoint> dropped;

    friend bool operator==(const Outcome&, const Outcome&) = default;
  };

  explicit EndpointBook(std::size_t most) : most_(most) {}

  /// @brief Sets the seeds, which are named apart from that. Former seeds are
  /// endpoints like others.
  void SetSeeds(std::vector<Endpoint> seeds) { seeds_ = std::move(seeds); }

  /// @brief Records that an endpoint is named, by a list or as a seed.
  /// @param connected Whether an endpoint is connected now.
  /// Complexity: linear in the number of endpoints if there is no room.
  Outcome Name(const Endpoint& endpoint, TimePoint now,
               const std::function<bool(const Endpoint&)>& connected);

  /// @brief Records a sign of life.
  void RecordHeard(const Endpoint& endpoint, TimePoint now);

  bool Knows(const Endpoint& endpoint) const {
    return known_.count(endpoint) > 0;
  }

 private:
  struct Known {
    TimePoint named_at;
    /// Time of the last sign of life; at first, when it was added.
    TimePoint heard_at;
  };

  bool IsSeed(const Endpoint& endpoint) const;
  bool MayDrop(const Endpoint& endpoint, const Known& known, bool for_seed,
               TimePoint now) const;

  std::size_t most_;
  std::vector<Endpoint> seeds_;
  std::map<Endpoint, Known> known_;
};

}  // namespace rattanward::membership
