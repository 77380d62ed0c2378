#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Chooses the entry to which a request is relayed.
/// @note Pure: the time is a parameter. What is known of the other entries is
/// what they answered: one that has no path either, or is not reached, is left
/// out for a while. Answers the load of callers of one entry, of a whole
/// failure domain, or of all but one entry without paths: requests spread over
/// the entries that serve them.
class RelayChoice {
 public:
  /// @param entry_hash Hash of the entry's process id; entries choose
  /// differently.
  explicit RelayChoice(std::uint64_t entry_hash) : draws_(entry_hash) {}

  /// @brief Entries that were told of; one not told of again is forgotten.
  /// @param nearby Those of the own failure domain.
  void AddPeers(const std::set<Endpoint>& nearby,
                const std::set<Endpoint>& remote, TimePoint now);

  /// @brief Chooses an entry for a request.
  /// @param tried Entries that did not take the request. Once one nearby
  /// didn't, others of the same failure domain are the last choice.
  /// @return None if no entry is left.
  /// Complexity: linear in the number of entries.
  std::optional<Endpoint> Choose(const ServiceName& service,
                                 const std::set<Endpoint>& tried,
                                 TimePoint now);

  /// @brief The entry can't serve the service.
  void RecordUnable(const Endpoint& peer, const ServiceName& service,
                    TimePoint now);
  /// @brief No connection to the entry could be opened.
  void RecordUnreachable(const Endpoint& peer, TimePoint now);
  void RecordSent(const Endpoint& peer);
  void RecordEnded(const Endpoint& peer);

  bool empty() const { return peers_.empty(); }

 private:
  struct Peer {
    bool nearby = false;
    TimePoint told_at;
    std::uint32_t in_flight = 0;
    TimePoint avoid_until;
    std::map<ServiceName, TimePoint> unable_until;
  };

  bool MayServe(const Peer& peer, const ServiceName& service,
                TimePoint now) const;

  std::map<Endpoint, Peer> peers_;
  std::uint64_t draws_;
};

}  // namespace rattanward::policy
