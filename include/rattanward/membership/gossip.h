#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <variant>
#include <vector>

#include "rattanward/membership/upstream_directory.h"
#include "rattanward/protocol/gossip_messages.h"

namespace rattanward::membership {

/// @brief An entry to which gossip can be sent.
struct GossipPeer {
  ProcessId process;
  FailureDomain failure_domain;

  friend bool operator==(const GossipPeer&, const GossipPeer&) = default;
};

/// @brief Gossip settings of one entry.
struct GossipOptions {
  ProcessId self;
  FailureDomain failure_domain;
  /// Grows with each start of the process.
  std::uint64_t incarnation = 0;
  /// The other entries.
  std::vector<GossipPeer> peers;
  /// Seed of the random choice of peers, which makes runs reproducible.
  std::uint64_t seed = 1;
  /// Number of peers that a round sends to in the own failure domain, and in
  /// all others together. If too few are known on one side, more are chosen on
  /// the other.
  std::size_t local_fanout = 2;
  std::size_t remote_fanout = 1;
  /// Largest encoded size of one message, in bytes.
  std::size_t max_message_bytes = 2048;
  /// Number of times that a change is sent with priority before it joins the
  /// rotation.
  std::uint32_t hot_rounds = 5;
  /// An entry without a newer heartbeat for longer than this is lost.
  Duration entry_expiry{std::chrono::seconds(5)};
  /// How long a suspicion is kept and sent after it last changed.
  Duration suspicion_expiry{std::chrono::minutes(10)};
  std::size_t max_suspicions = 1024;
  DirectoryOptions directory;
};

/// @brief A suspicion received from another entry was new or changed the known
/// one. Input of Dispatcher::MergeSuspicion.
struct SuspicionReceived {
  policy::Suspicion suspicion;

  friend bool operator==(const SuspicionReceived&,
                         const SuspicionReceived&) = default;
};

/// @brief An entry was heard from for the first time, or for the first time
/// after it was lost or restarted.
struct EntryFound {
  protocol::EntryBeat entry;

  friend bool operator==(const EntryFound&, const EntryFound&) = default;
};

/// @brief An entry was not heard from for GossipOptions::entry_expiry.
struct EntryLost {
  ProcessId process;

  friend bool operator==(const EntryLost&, const EntryLost&) = default;
};

/// @brief A peer runs a newer configuration, which can be fetched from it.
struct NewerConfigSeen {
  ProcessId peer;
  ConfigVersion version;

  friend bool operator==(const NewerConfigSeen&,
                         const NewerConfigSeen&) = default;
};

using GossipEvent =
    std::variant<UpstreamChanged, UpstreamGone, SuspicionReceived, EntryFound,
                 EntryLost, NewerConfigSeen>;

/// @brief A message for the caller to send to a peer.
struct GossipPush {
  ProcessId to;
  protocol::GossipMessage message;

  friend bool operator==(const GossipPush&, const GossipPush&) = default;
};

/// @brief The events and messages of one gossip round.
struct GossipRound {
  std::vector<GossipEvent> events;
  std::vector<GossipPush> pushes;

  friend bool operator==(const GossipRound&, const GossipRound&) = default;
};

/// @brief Spreads the state known to one entry to all entries by push gossip.
/// @note Pure: no I/O, and the time is a parameter. Each entry that learns of a
/// change sends it with priority (the change is "hot") for some rounds. The
/// rest of each message rotates over all known state, least recently sent
/// first, so that lost messages are repaired without acknowledgements.
class Gossip {
 public:
  explicit Gossip(GossipOptions options);

  /// @brief Applies an announcement that an upstream sent to this entry.
  /// @return The events that follow.
  std::vector<GossipEvent> Announce(const Announcement& announcement,
                                    TimePoint now);

  /// @brief Adds a peer to which gossip can be sent. A known peer stays
  /// unchanged. The failure domain of a new peer is unknown until its first
  /// heartbeat.
  void AddPeer(const ProcessId& peer);

  /// @brief Adds a suspicion raised by this entry's own dispatcher.
  void AddSuspicion(const policy::Suspicion& suspicion, TimePoint now);

  /// @brief Sets the configuration version that this entry runs, which later
  /// messages carry.
  void SetInForce(ConfigVersion version) { in_force_ = version; }

  /// @brief Applies a message from a peer.
  /// @return The events that follow.
  std::vector<GossipEvent> Receive(const protocol::GossipMessage& message,
                                   TimePoint now);

  /// @brief Expires entries, upstreams and suspicions, and creates the messages
  /// of the next round.
  /// Complexity: n log n in the number of upstreams and entries known.
  GossipRound Tick(TimePoint now);

  /// @brief Sets the upstream expiry, as given by a newer configuration.
  void SetUpstreamExpiry(Duration expiry) { directory_.set_expiry(expiry); }

  const UpstreamDirectory& directory() const { return directory_; }

  /// @brief The latest heartbeats of the other entries that are not lost.
  std::vector<protocol::EntryBeat> LiveEntries() const;

 private:
  /// Round in which an item was last sent, and how many more times it is sent
  /// with priority.
  struct Schedule {
    std::uint32_t hot_rounds = 0;
    std::uint64_t last_round = 0;
  };
  struct KnownEntry {
    protocol::EntryBeat beat;
    TimePoint last_heard;
    bool lost = false;
    Schedule schedule;
  };
  struct KnownSuspicion {
    policy::Suspicion suspicion;
    TimePoint last_changed;
    Schedule schedule;
  };

  struct Candidate;
  struct MessageDraft;

  void ApplyAnnouncement(const Announcement& announcement, TimePoint now,
                         std::vector<GossipEvent>& events);
  void ApplyEntryBeat(const protocol::EntryBeat& beat, TimePoint now,
                      std::vector<GossipEvent>& events);
  bool MergeSuspicion(const policy::Suspicion& suspicion, TimePoint now);
  void Expire(TimePoint now, std::vector<GossipEvent>& events);
  protocol::GossipMessage MakeMessage();
  std::vector<Candidate> BeatCandidates();
  std::vector<Candidate> DetailCandidates();
  void AddCandidates(std::vector<Candidate> candidates, std::size_t limit,
                     MessageDraft& draft);
  std::vector<ProcessId> ChoosePeers();

  GossipOptions options_;
  std::mt19937_64 random_;
  UpstreamDirectory directory_;
  std::uint64_t round_ = 0;
  ConfigVersion in_force_;
  std::map<ProcessId, KnownEntry> entries_;
  std::map<std::uint64_t, KnownSuspicion> suspicions_;
  std::map<UpstreamId, Schedule> announcements_;
  std::map<UpstreamId, Schedule> beats_;
};

/// @brief Size in bytes of an item of a gossip message in MessagePack encoding,
/// computed without encoding it.
std::size_t EncodedBytes(const Announcement& announcement);
std::size_t EncodedBytes(const protocol::UpstreamBeat& beat);
std::size_t EncodedBytes(const protocol::EntryBeat& beat);
std::size_t EncodedBytes(const policy::Suspicion& suspicion);

}  // namespace rattanward::membership
