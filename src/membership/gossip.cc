#include "rattanward/membership/gossip.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace rattanward::membership {
namespace {

/// Bytes reserved in a message besides the items of its lists and the
/// characters of the sender's name.
constexpr std::size_t kMessageOverheadBytes = 32;
/// Percentage of the message size up to which heartbeats are added. The rest
/// keeps the rotation over whole announcements and suspicions advancing.
constexpr std::size_t kMaxBeatsPercent = 70;
/// Largest number of upstream deaths kept per suspicion. Two are enough to
/// quarantine a request.
constexpr std::size_t kMaxDeaths = 8;

void AppendChanges(std::vector<DirectoryChange> changes,
                   std::vector<GossipEvent>& events) {
  for (DirectoryChange& change : changes) {
    std::visit([&](auto& c) { events.emplace_back(std::move(c)); }, change);
  }
}

/// Whether two announcements differ in any field besides sequence and load.
bool ContentDiffers(const Announcement& a, Announcement b) {
  b.sequence = a.sequence;
  b.load = a.load;
  return a != b;
}

bool IsNewer(const protocol::EntryBeat& a, const protocol::EntryBeat& b) {
  return std::tie(a.incarnation, a.counter) >
         std::tie(b.incarnation, b.counter);
}

}  // namespace

/// @brief An item that can be added to the next message.
struct Gossip::Candidate {
  Schedule* schedule;
  std::size_t bytes;
  std::function<void(protocol::GossipMessage&)> add;
};

/// @brief A message under construction and its encoded size in bytes so far.
struct Gossip::MessageDraft {
  protocol::GossipMessage message;
  std::size_t bytes = 0;
  bool empty = true;
};

Gossip::Gossip(GossipOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      directory_(options_.directory) {}

std::vector<GossipEvent> Gossip::Announce(const Announcement& announcement,
                                          TimePoint now) {
  std::vector<GossipEvent> events;
  ApplyAnnouncement(announcement, now, events);
  return events;
}

void Gossip::AddPeer(const ProcessId& peer) {
  const auto known = std::find_if(
      options_.peers.begin(), options_.peers.end(),
      [&](const GossipPeer& other) { return other.process == peer; });
  if (known == options_.peers.end() && peer != options_.self) {
    options_.peers.push_back({peer, FailureDomain()});
  }
}

void Gossip::AddSuspicion(const policy::Suspicion& suspicion, TimePoint now) {
  MergeSuspicion(suspicion, now);
}

std::vector<GossipEvent> Gossip::Receive(const protocol::GossipMessage& message,
                                         TimePoint now) {
  std::vector<GossipEvent> events;
  for (const protocol::EntryBeat& beat : message.entries) {
    ApplyEntryBeat(beat, now, events);
  }
  for (const Announcement& announcement : message.announcements) {
    ApplyAnnouncement(announcement, now, events);
  }
  for (const protocol::UpstreamBeat& beat : message.beats) {
    AppendChanges(directory_.ApplyBeat(beat, now), events);
  }
  for (const policy::Suspicion& suspicion : message.suspicions) {
    if (MergeSuspicion(suspicion, now)) {
      events.emplace_back(
          SuspicionReceived{suspicions_[suspicion.fingerprint].suspicion});
    }
  }
  if (message.in_force > in_force_) {
    events.emplace_back(NewerConfigSeen{message.from, message.in_force});
  }
  return events;
}

GossipRound Gossip::Tick(TimePoint now) {
  GossipRound round;
  ++round_;
  Expire(now, round.events);
  const protocol::GossipMessage message = MakeMessage();
  for (const ProcessId& peer : ChoosePeers()) {
    round.pushes.push_back({peer, message});
  }
  return round;
}

std::vector<protocol::EntryBeat> Gossip::LiveEntries() const {
  std::vector<protocol::EntryBeat> live;
  for (const auto& [process, entry] : entries_) {
    if (!entry.lost) {
      live.push_back(entry.beat);
    }
  }
  return live;
}

void Gossip::ApplyAnnouncement(const Announcement& announcement, TimePoint now,
                               std::vector<GossipEvent>& events) {
  const UpstreamId& id = announcement.instance;
  const Announcement* known = directory_.Find(id);
  const bool was_known = known != nullptr;
  const Announcement before = was_known ? *known : Announcement{};
  AppendChanges(directory_.Announce(announcement, now), events);
  known = directory_.Find(id);
  if (known != nullptr && (!was_known || ContentDiffers(*known, before))) {
    announcements_[id].hot_rounds = options_.hot_rounds;
  }
}

void Gossip::ApplyEntryBeat(const protocol::EntryBeat& beat, TimePoint now,
                            std::vector<GossipEvent>& events) {
  if (beat.process == options_.self) {
    return;
  }
  const auto [found, added] =
      entries_.emplace(beat.process, KnownEntry{beat, now, false, {}});
  KnownEntry& known = found->second;
  if (!added && !IsNewer(beat, known.beat)) {
    return;
  }
  if (added || known.lost || beat.incarnation != known.beat.incarnation) {
    events.emplace_back(EntryFound{beat});
  }
  known.beat = beat;
  known.last_heard = now;
  known.lost = false;
}

bool Gossip::MergeSuspicion(const policy::Suspicion& suspicion, TimePoint now) {
  const auto found = suspicions_.find(suspicion.fingerprint);
  if (found == suspicions_.end() &&
      suspicions_.size() >= options_.max_suspicions) {
    return false;
  }
  KnownSuspicion& known = suspicions_[suspicion.fingerprint];
  const policy::Suspicion before = known.suspicion;
  known.suspicion.fingerprint = suspicion.fingerprint;
  known.suspicion.quarantined |= suspicion.quarantined;
  for (const UpstreamId& death : suspicion.deaths) {
    auto& deaths = known.suspicion.deaths;
    const auto position = std::lower_bound(deaths.begin(), deaths.end(), death);
    if (position == deaths.end() || *position != death) {
      deaths.insert(position, death);
      deaths.resize(std::min(deaths.size(), kMaxDeaths));
    }
  }
  if (known.suspicion == before) {
    return false;
  }
  known.last_changed = now;
  known.schedule.hot_rounds = options_.hot_rounds;
  return true;
}

void Gossip::Expire(TimePoint now, std::vector<GossipEvent>& events) {
  AppendChanges(directory_.Tick(now), events);
  for (auto& [process, entry] : entries_) {
    if (!entry.lost && now - entry.last_heard > options_.entry_expiry) {
      entry.lost = true;
      events.emplace_back(EntryLost{process});
    }
  }
  std::erase_if(suspicions_, [&](const auto& item) {
    return now - item.second.last_changed > options_.suspicion_expiry;
  });
  const auto unknown = [&](const auto& item) {
    return directory_.Find(item.first) == nullptr;
  };
  std::erase_if(announcements_, unknown);
  std::erase_if(beats_, unknown);
}

protocol::GossipMessage Gossip::MakeMessage() {
  const protocol::EntryBeat self{options_.self, options_.failure_domain,
                                 options_.incarnation, round_, in_force_};
  MessageDraft draft;
  draft.message.from = options_.self;
  draft.message.in_force = in_force_;
  draft.message.entries.push_back(self);
  draft.bytes =
      kMessageOverheadBytes + options_.self.str().size() + EncodedBytes(self);
  std::vector<Candidate> details = DetailCandidates();
  const auto first_not_hot = std::partition(
      details.begin(), details.end(),
      [](const Candidate& c) { return c.schedule->hot_rounds > 0; });
  const std::vector<Candidate> not_hot(first_not_hot, details.end());
  details.erase(first_not_hot, details.end());
  AddCandidates(std::move(details), options_.max_message_bytes, draft);
  AddCandidates(BeatCandidates(),
                options_.max_message_bytes * kMaxBeatsPercent / 100, draft);
  AddCandidates(not_hot, options_.max_message_bytes, draft);
  return std::move(draft.message);
}

std::vector<Gossip::Candidate> Gossip::BeatCandidates() {
  std::vector<Candidate> candidates;
  for (auto& [process, entry] : entries_) {
    if (!entry.lost) {
      candidates.push_back(
          {&entry.schedule, EncodedBytes(entry.beat),
           [&beat = entry.beat](protocol::GossipMessage& message) {
             message.entries.push_back(beat);
           }});
    }
  }
  for (const Announcement& upstream : directory_.Upstreams()) {
    const protocol::UpstreamBeat beat{upstream.instance, upstream.sequence,
                                      upstream.load};
    candidates.push_back({&beats_[upstream.instance], EncodedBytes(beat),
                          [beat](protocol::GossipMessage& message) {
                            message.beats.push_back(beat);
                          }});
  }
  return candidates;
}

std::vector<Gossip::Candidate> Gossip::DetailCandidates() {
  std::vector<Candidate> candidates;
  for (auto& [fingerprint, known] : suspicions_) {
    candidates.push_back(
        {&known.schedule, EncodedBytes(known.suspicion),
         [&suspicion = known.suspicion](protocol::GossipMessage& message) {
           message.suspicions.push_back(suspicion);
         }});
  }
  for (const Announcement& upstream : directory_.GossipAnnouncements()) {
    candidates.push_back({&announcements_[upstream.instance],
                          EncodedBytes(upstream),
                          [upstream](protocol::GossipMessage& message) {
                            message.announcements.push_back(upstream);
                          }});
  }
  return candidates;
}

/// Adds the least recently sent items as long as the message stays within
/// `limit` bytes. A message without any item accepts one of any size, so that
/// an oversized item is still sent eventually.
void Gossip::AddCandidates(std::vector<Candidate> candidates, std::size_t limit,
                           MessageDraft& draft) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.schedule->last_round < b.schedule->last_round;
                   });
  for (const Candidate& candidate : candidates) {
    if (draft.bytes + candidate.bytes > limit && !draft.empty) {
      break;
    }
    candidate.add(draft.message);
    draft.bytes += candidate.bytes;
    draft.empty = false;
    candidate.schedule->last_round = round_;
    if (candidate.schedule->hot_rounds > 0) {
      --candidate.schedule->hot_rounds;
    }
  }
}

/// Random live peers in the own failure domain and in others, and one random
/// lost peer, which may have come back.
std::vector<ProcessId> Gossip::ChoosePeers() {
  std::vector<ProcessId> local;
  std::vector<ProcessId> remote;
  std::vector<ProcessId> lost;
  for (const GossipPeer& peer : options_.peers) {
    const auto known = entries_.find(peer.process);
    const bool has_beat = known != entries_.end();
    const FailureDomain& domain =
        has_beat ? known->second.beat.failure_domain : peer.failure_domain;
    if (has_beat && known->second.lost) {
      lost.push_back(peer.process);
    } else if (domain == options_.failure_domain) {
      local.push_back(peer.process);
    } else {
      remote.push_back(peer.process);
    }
  }
  std::shuffle(local.begin(), local.end(), random_);
  std::shuffle(remote.begin(), remote.end(), random_);
  std::shuffle(lost.begin(), lost.end(), random_);
  const std::size_t fanout = options_.local_fanout + options_.remote_fanout;
  const std::size_t remote_count = std::min(
      remote.size(), std::max(options_.remote_fanout,
                              fanout - std::min(fanout, local.size())));
  remote.resize(remote_count);
  std::vector<ProcessId> chosen = std::move(remote);
  local.resize(std::min(local.size(), fanout - std::min(fanout, remote_count)));
  chosen.insert(chosen.end(), local.begin(), local.end());
  lost.resize(std::min<std::size_t>(lost.size(), 1));
  chosen.insert(chosen.end(), lost.begin(), lost.end());
  return chosen;
}

}  // namespace rattanward::membership
