#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief An upstream at which requests of this entry are waiting for bytes.
struct WaitingUpstream {
  UpstreamId id;
  /// Last time that bytes of it arrived, or that a request was sent to it.
  TimePoint silent_since;
  /// Silence that is usual there.
  Duration usual_silence{0};

  friend bool operator==(const WaitingUpstream&,
                         const WaitingUpstream&) = default;
};

/// @brief Which upstreams this entry has a path to, and which to probe.
/// @note Pure: the time is a parameter. A path is lost when a connection could
/// not be opened, and is there again when one could. Answers the load of
/// callers whose entry is cut off from some or all upstreams, whether
/// connections are refused or hang: the first lost path makes the entry probe
/// others, in samples that grow while all fail, so that a single upstream's
/// crash costs a few probes and a cut is known within a few timeouts.
class UpstreamPaths {
 public:
  /// Probes under way at the same time, at most.
  static constexpr std::size_t kMaxProbes = 32;

  /// @brief Bytes of the upstream arrived.
  void RecordHeard(const UpstreamId& id, TimePoint now);

  /// @brief A connection was opened.
  /// @return Whether the path had been lost.
  bool RecordReached(const UpstreamId& id, TimePoint now);

  /// @brief A connection could not be opened.
  /// @return Whether the path had not been lost before.
  bool RecordLost(const UpstreamId& id, TimePoint now);

  /// @brief Forgets an upstream that is gone or has started anew.
  void Forget(const UpstreamId& id);

  bool IsLost(const UpstreamId& id) const;
  std::size_t lost() const;

  /// @brief Whether a sample is still to show that most paths are in order.
  bool sampling() const { return sample_size_ > 0; }

  /// @brief Upstreams to probe now; RecordReached() or RecordLost() must follow
  /// for each.
  /// @param waiting Upstreams at which requests are waiting.
  /// @param known All upstreams in service.
  std::vector<UpstreamId> TakeDueProbes(
      const std::vector<WaitingUpstream>& waiting,
      const std::vector<UpstreamId>& known, TimePoint now);

 private:
  struct Path {
    bool lost = false;
    bool probing = false;
    /// Whether the probe under way belongs to the current sample.
    bool sampled = false;
    std::uint32_t failures = 0;
    /// Probes since bytes last arrived that found the path in order.
    std::uint32_t needless_probes = 0;
    TimePoint probe_at;
    TimePoint heard_at;
  };

  void StartProbe(const UpstreamId& id, std::vector<UpstreamId>* due);
  void EndProbe(Path* path, bool reached);
  void TakeLost(TimePoint now, std::vector<UpstreamId>* due);
  void TakeSilent(const std::vector<WaitingUpstream>& waiting, TimePoint now,
                  std::vector<UpstreamId>* due);
  void TakeSample(const std::vector<UpstreamId>& known, TimePoint now,
                  std::vector<UpstreamId>* due);

  std::map<UpstreamId, Path> paths_;
  std::size_t probing_ = 0;
  /// Size of the next sample; 0 if none is wanted.
  std::size_t sample_size_ = 0;
  /// Probes of the current sample: under way, and ended either way.
  std::size_t sample_probing_ = 0;
  std::size_t sample_reached_ = 0;
  std::size_t sample_lost_ = 0;
  std::uint64_t samples_ = 0;
};

}  // namespace rattanward::policy
