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

/// @brief An entry that gossip may be sent to, from the settings.
struct GossipPeer {
  ProcessId process;
  FailureDomain failure_domain;

  friend bool operator==(const GossipPeer&, const GossipPeer&) = default;
};

/// @brief Settings of gossip at one entry.
struct GossipOptions {
  ProcessId self;
  FailureDomain failure_domain;
  /// Grows with each start of the process.
  std::uint64_t incarnation = 0;
  /// The other entries.
  std::vector<GossipPeer> peers;
  /// Seed of the random choice of peers, so that runs can be repeated.
  std::uint64_t seed = 1;
  /// Peers of the own failure domain and of others that a round reaches.
  std::size_t local_fanout = 2;
  std::size_t remote_fanout = 1;
  /// Largest encoded size of one message, in bytes.
  std::size_t max_message_bytes = 2048;
  /// Rounds in which a change is sent before it joins the rotation.
  std::uint32_t hot_rounds = 5;
  /// An entry whose beat does not advance for this long is lost.
  Duration entry_expiry{std::chrono::seconds(5)};
  /// How long a suspicion is told after it last changed.
  Duration suspicion_expiry{std::chrono::minutes(10)};
  std::size_t max_suspicions = 1024;
  DirectoryOptions directory;
};

/// @brief Another entry suspects a request; for Dispatcher::MergeSuspicion.
struct SuspicionReceived {
  policy::Suspicion suspicion;

  friend bool operator==(const SuspicionReceived&,
                         const SuspicionReceived&) = default;
};

/// @brief An entry was heard from for the first time, or again.
struct EntryFound {
  protocol::EntryBeat entry;

  friend bool operator==(const EntryFound&, const EntryFound&) = default;
};

/// @brief An entry was not heard from for GossipOptions::entry_expiry.
struct EntryLost {
  ProcessId process;

  friend bool operator==(const EntryLost&, const EntryLost&) = default;
};

/// @brief A peer runs a newer configuration, which can be fetched there.
struct NewerConfigSeen {
  ProcessId peer;
  ConfigVersion version;

  friend bool operator==(const NewerConfigSeen&,
                         const NewerConfigSeen&) = default;
};

using GossipEvent =
    std::variant<UpstreamChanged, UpstreamGone, SuspicionReceived, EntryFound,
                 EntryLost, NewerConfigSeen>;

/// @brief A message that is to be sent to a peer.
struct GossipPush {
  ProcessId to;
  protocol::GossipMessage message;

  friend bool operator==(const GossipPush&, const GossipPush&) = default;
};

/// @brief What follows from one round.
struct GossipRound {
  std::vector<GossipEvent> events;
  std::vector<GossipPush> pushes;

  friend bool operator==(const GossipRound&, const GossipRound&) = default;
};

/// @brief Spreads what one entry knows to all entries by push gossip.
/// @note Pure. A change is hot: it is sent first for some rounds, at each
/// entry that learns it. The rest of each message is a rotation over all that
/// is known, so that lost messages are made good.
class Gossip {
 public:
  explicit Gossip(GossipOptions options);

  /// @brief Takes an announcement that an upstream sent to this entry.
  std::vector<GossipEvent> Announce(const Announcement& announcement,
                                    TimePoint now);

  /// @brief Adds a peer that gossip may be sent to; a known one stays as it
  /// is. Its failure domain is learned from its beats.
  void AddPeer(const ProcessId& peer);

  /// @brief Takes a suspicion of this entry's own dispatcher.
  void AddSuspicion(const policy::Suspicion& suspicion, TimePoint now);

  /// @brief Tells others from now on that this entry runs the version.
  void SetInForce(ConfigVersion version) { in_force_ = version; }

  /// @brief Takes a message of a peer.
  std::vector<GossipEvent> Receive(const protocol::GossipMessage& message,
                                   TimePoint now);

  /// @brief Expires what was not heard from, and makes a round of messages.
  /// Complexity: n log n in the number of upstreams and entries known.
  GossipRound Tick(TimePoint now);

  /// @brief Uses the upstream expiry of a newer configuration.
  void SetUpstreamExpiry(Duration expiry) { directory_.set_expiry(expiry); }

  const UpstreamDirectory& directory() const { return directory_; }

  /// @brief The other entries that are live.
  std::vector<protocol::EntryBeat> LiveEntries() const;

 private:
  /// When something was last sent, and for how many rounds it is hot.
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
    TimePoint changed;
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

/// @brief Encoded size of what a message may hold, in bytes.
std::size_t EncodedBytes(const Announcement& announcement);
std::size_t EncodedBytes(const protocol::UpstreamBeat& beat);
std::size_t EncodedBytes(const protocol::EntryBeat& beat);
std::size_t EncodedBytes(const policy::Suspicion& suspicion);

}  // namespace rattanward::membership
