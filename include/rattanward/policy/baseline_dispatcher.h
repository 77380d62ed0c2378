#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "rattanward/policy/dispatcher.h"
#include "rattanward/policy/target.h"

namespace rattanward::policy {

/// @brief Simple dispatcher used as the reference for StandardDispatcher.
/// @note One FIFO queue; round robin up to each upstream's declared capacity,
/// counting only this entry's requests; shedding only when the queue is full;
/// retries only after a failed connect.
class BaselineDispatcher {
 public:
  explicit BaselineDispatcher(const DispatcherOptions& options);

  std::vector<Decision> SetConfig(const Config& config, TimePoint now);
  std::vector<Decision> UpstreamChanged(const Announcement& announcement,
                                        TimePoint now);
  std::vector<Decision> UpstreamGone(const UpstreamId& upstream, TimePoint now);
  std::vector<Decision> Submit(const RequestInfo& request, TimePoint now);
  void FirstToken(const RequestId& request, TimePoint now);
  std::vector<Decision> Finish(const AttemptResult& result, TimePoint now);
  std::vector<Decision> Cancel(const RequestId& request, TimePoint now);
  std::vector<Decision> Tick(TimePoint now);
  std::vector<Decision> BeginStop(const StopPlan& plan, TimePoint now);
  std::size_t OpenRequests() const;

 private:
  struct Upstream {
    Announcement announcement;
    std::uint32_t in_flight = 0;
  };
  struct OpenRequest {
    RequestInfo info;
    Target target;
    Tier tier;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
  };

  bool HasUpstream(const Target& target) const;
  std::size_t QueueLimit() const;
  Upstream* NextUpstream(const Target& target);
  void DispatchWaiting(std::vector<Decision>* out);
  void RefuseWithoutUpstream(std::vector<Decision>* out);
  void RefuseIfStopping(std::vector<Decision>* out);
  void Start(OpenRequest* open, Upstream* upstream, std::vector<Decision>* out);
  void ReleaseUpstream(const UpstreamId& id);

  Config config_;
  std::map<UpstreamId, Upstream> upstreams_;
  /// Last upstream used for each target; round robin continues after it.
  std::map<Target, UpstreamId> last_used_;
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  std::deque<RequestId> waiting_;
  bool stopping_ = false;
};

}  // namespace rattanward::policy
