#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/routing.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/instance_directory.h"

namespace rattanward::policy {

/// @brief A part of a prompt that requests share, in its order.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// @brief What placing needs to know of a request.
struct PlacementRequest {
  ServiceName service;
  RouteKind kind = RouteKind::kAtMostOnce;
  /// 0 is the most urgent.
  std::uint32_t rank = 0;
  std::vector<PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  TimePoint arrived;
  /// Time to the first event that its caller is promised.
  Duration target{std::chrono::seconds(1)};

  friend bool operator==(const PlacementRequest&,
                         const PlacementRequest&) = default;
};

/// @brief Id of the longest part of a prompt that other requests share; the
/// last part is the request's own. 0 if there is none.
std::uint64_t PrefixKey(const PlacementRequest& request);

/// @brief What one request was counted as at its upstream.
struct PlacementCharge {
  std::uint64_t pending_prefill_tokens = 0;
  std::uint64_t reserved_tokens = 0;

  friend bool operator==(const PlacementCharge&,
                         const PlacementCharge&) = default;
};

/// @brief Work that entries have at one upstream.
struct UpstreamLoad {
  std::uint32_t running = 0;
  /// Prompt tokens that are not read yet.
  std::uint64_t pending_prefill_tokens = 0;
  /// Tokens of prompts and answers that running requests hold at most.
  std::uint64_t reserved_tokens = 0;
  /// Requests that ended well and badly there lately, in thousandths; they fade
  /// with time.
  std::uint64_t success_milli = 0;
  std::uint64_t failure_milli = 0;

  UpstreamLoad& operator+=(const UpstreamLoad& other) {
    running += other.running;
    pending_prefill_tokens += other.pending_prefill_tokens;
    reserved_tokens += other.reserved_tokens;
    success_milli += other.success_milli;
    failure_milli += other.failure_milli;
    return *this;
  }
  UpstreamLoad& operator-=(const UpstreamLoad& other) {
    running -= other.running;
    pending_prefill_tokens -= other.pending_prefill_tokens;
    reserved_tokens -= other.reserved_tokens;
    success_milli -= other.success_milli;
    failure_milli -= other.failure_milli;
    return *this;
  }

  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/// @brief Share of the requests that ended lately at an upstream which ended
/// badly; some good ends are added, so that one failure tells little.
double FailureRate(const UpstreamLoad& load);

/// @brief Load of one entry at the upstreams that it uses.
struct EntryLoad {
  ProcessId entry;
  /// How long it counts unless a newer one comes; some are lost on the way.
  Duration valid_for{std::chrono::milliseconds(1500)};
  std::map<UpstreamId, UpstreamLoad> upstreams;
  /// Parts of prompts that were lately sent there.
  std::map<UpstreamId, std::vector<PromptPart>> placed_parts;

  friend bool operator==(const EntryLoad&, const EntryLoad&) = default;
};

/// @brief Weights of a placer, in prompt tokens unless they say otherwise.
struct PlacerOptions {
  /// Weight of shared tokens that another upstream keeps and this one would
  /// read again: besides the time, the reading keeps others waiting.
  double recompute_weight = 6;
  /// A longer prompt is a long one.
  std::uint32_t long_prompt_tokens = 3000;
  /// A long prompt waits at the entry while its engine has more than this
  /// unread, so that short ones get through.
  std::uint64_t long_prompt_backlog_tokens = 2000;
  /// Added to it for each time that the prompt has waited for its target; less
  /// for less urgent ranks.
  double backlog_growth_tokens = 15000;
  /// Weight of the share of requests that lately failed at an upstream: for a
  /// plain service in parts of its slots, for an engine in prompt tokens.
  double failure_weight_slots = 3;
  double failure_weight_tokens = 15000;
  /// Whether what other entries placed is heeded.
  bool use_remote_placements = true;

  friend bool operator==(const PlacerOptions&, const PlacerOptions&) = default;
};

/// @brief Chooses an upstream for each request, by load and by the prompts
/// that upstreams keep.
/// @note Pure. Own sends are known at once, those of other entries of the
/// failure domain by their messages. The score of an upstream is the work
/// that stands before a request there, in prompt tokens.
class Placer {
 public:
  explicit Placer(FailureDomain own_domain, PlacerOptions options = {})
      : own_domain_(std::move(own_domain)), options_(options) {}

  // Services point at instances: a copy would point into the original.
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;
  Placer(Placer&&) noexcept = default;
  Placer& operator=(Placer&&) noexcept = default;
  ~Placer() = default;

  /// @brief Takes the declared services; upstreams of others are not used.
  void SetServices(const std::vector<RoutedService>& services);

  /// @brief Takes a record of the directory.
  void SetInstance(const membership::InstanceRecord& record);
  void RemoveInstance(const UpstreamId& id);

  /// @brief Number of entries that share the upstreams, this one included.
  void SetEntries(std::size_t all, std::size_t own_domain);

  /// @brief Takes the load of another entry.
  void SetEntryLoad(const EntryLoad& load, TimePoint now);

  /// @brief The upstream that a request should go to now.
  /// @param excluded Upstreams that it must not go to.
  /// @return None while every upstream is full, or there is none.
  std::optional<UpstreamId> Choose(const PlacementRequest& request,
                                   const std::set<UpstreamId>& excluded,
                                   TimePoint now) const;

  /// @brief Whether no upstream of a service takes any request now.
  bool NoneAvailable(const ServiceName& service, TimePoint now) const;

  /// @brief Whether a service has any upstream that may take requests.
  bool HasUpstream(const ServiceName& service) const;

  /// @brief Whether a service has a ready upstream besides those excluded.
  bool HasAlternative(const ServiceName& service,
                      const std::set<UpstreamId>& excluded) const;

  /// @brief Notes a request that was sent.
  /// @return The charge that the later calls for it give back.
  PlacementCharge RecordSend(const UpstreamId& id,
                             const PlacementRequest& request, TimePoint now);

  /// @brief Notes that the first event came: the prompt was read.
  void RecordFirstEvent(const UpstreamId& id, PlacementCharge* charge);

  /// @brief Notes that a request is over at an upstream.
  void ReleaseCharge(const UpstreamId& id, const PlacementCharge& charge);

  /// @brief Notes that an upstream refused a request, or could not be reached.
  void RecordFailure(const UpstreamId& id, bool unreachable, TimePoint now);

  /// @brief Notes that an upstream answered.
  void RecordAnswer(const UpstreamId& id);

  /// @brief Notes how a request ended that an upstream was working on.
  void RecordOutcome(const UpstreamId& id, bool well);

  /// @brief Load of an upstream, of all entries as far as it is known.
  UpstreamLoad LoadOf(const UpstreamId& id) const;

  /// @brief Connections that this entry may hold to an upstream.
  std::uint32_t ConnectionShare(const UpstreamId& id) const;

  /// @brief Own load, for the other entries, with the parts placed since a
  /// moment. How requests ended fades from call to call.
  EntryLoad OwnLoad(const ProcessId& self, TimePoint placed_since,
                    TimePoint now);

 private:
  struct Instance {
    membership::InstanceRecord record;
    /// Of its id.
    std::uint64_t hash = 0;
    UpstreamLoad local_load;
    /// Sum of what the other entries told.
    UpstreamLoad remote_load;
    /// Parts of prompts that were sent there, by any entry that told.
    std::unordered_set<std::uint64_t> cached_parts;
    /// Tokens of these parts.
    std::uint64_t cached_tokens = 0;
    /// The newest of these that this entry sent.
    std::deque<std::pair<TimePoint, PromptPart>> placed_parts;
    std::uint32_t failures = 0;
    TimePoint avoid_until;
  };
  struct Service {
    RoutedService declared;
    /// Its ready upstreams; they stay in place in instances_.
    std::vector<const Instance*> instances;
  };
  /// What another entry told last.
  struct RemoteEntry {
    TimePoint valid_until;
    std::map<UpstreamId, UpstreamLoad> upstreams;
  };

  bool IsUsable(const Instance& instance, TimePoint now) const;
  void DecayOutcomes(TimePoint now);
  static UpstreamLoad TotalLoad(const Instance& instance);
  void SubtractRemoteLoad(const RemoteEntry& remote);
  void DropRemoteLoadsAt(const UpstreamId& id);
  double EngineScore(const Instance& instance, const PlacementRequest& request,
                     std::uint64_t key, bool cached_somewhere,
                     std::size_t engines) const;
  double ServiceScore(const Instance& instance, std::uint64_t key) const;
  static void AddCachedPart(Instance* instance, const PromptPart& part);
  bool IsFull(const Instance& instance, const Service& service) const;
  bool MustWait(const Instance& instance, const PlacementRequest& request,
                TimePoint now) const;
  std::uint32_t UncachedTokens(const Instance& instance,
                               const PlacementRequest& request) const;
  void IndexInstances();

  FailureDomain own_domain_;
  PlacerOptions options_;
  std::map<ServiceName, Service> services_;
  std::map<UpstreamId, Instance> instances_;
  std::map<ProcessId, RemoteEntry> remote_entries_;
  TimePoint outcomes_decayed_at_;
  std::size_t entries_ = 1;
  std::size_t domain_entries_ = 1;
};

}  // namespace rattanward::policy
