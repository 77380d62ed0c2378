#include "rattanward/policy/target.h"

namespace rattanward::policy {
namespace {

constexpr Duration kNoUpstreamRetryAfter = std::chrono::seconds(2);

}  // namespace

Target TargetOf(const RequestInfo& request) {
  if (request.kind == UpstreamKind::kService) {
    return {UpstreamKind::kService, request.service.str()};
  }
  return {UpstreamKind::kModelEngine, request.model.str()};
}

std::vector<Target> TargetsOf(const Announcement& announcement) {
  if (announcement.kind == UpstreamKind::kService) {
    return {{UpstreamKind::kService, announcement.service.str()}};
  }
  std::vector<Target> targets;
  for (const ModelName& model : announcement.models) {
    targets.push_back({UpstreamKind::kModelEngine, model.str()});
  }
  return targets;
}

Error NoUpstreamError(const Target& target) {
  return {ErrorCode::kNoUpstream, Verdict::kNotRun,
          "no available upstream serves '" + target.name + "'",
          kNoUpstreamRetryAfter};
}

Error NoPathError(const Target& target) {
  return {
      ErrorCode::kNoPath, Verdict::kNotRun,
      "this entry has no path to an upstream that serves '" + target.name + "'",
      kNoUpstreamRetryAfter};
}

}  // namespace rattanward::policy
