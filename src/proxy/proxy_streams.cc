#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "rattanward/policy/rendezvous.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using membership::InstanceState;

/// The stream that a caller takes up, if it names it.
std::optional<std::uint64_t> ResumedStream(const RequestTraits& traits) {
  return traits.resumed_attempt.empty()
             ? std::nullopt
             : std::optional(policy::StableHash(traits.resumed_attempt.str()));
}

}  // namespace

std::string Proxy::VersionOf(const UpstreamId& upstream) const {
  const membership::InstanceRecord* record = directory_.Find(upstream);
  return record == nullptr ? std::string() : record->version;
}

/// Upstreams that are silent may still serve; those that leave get no stream.
void Proxy::UpdateServingVersions() {
  struct Versions {
    policy::ServingVersions serving;
    std::set<std::string> former;
  };
  std::map<ServiceName, Versions> services;
  for (const membership::InstanceRecord& record : directory_.All()) {
    Versions& versions = services[record.service];
    if (record.state != InstanceState::kReady) {
      versions.former.insert(record.version);
      continue;
    }
    const auto [oldest, added] =
        versions.serving.try_emplace(record.version, record.stamp.born);
    oldest->second = std::min(oldest->second, record.stamp.born);
  }
  const TimePoint now = MonotonicNow();
  for (const auto& [service, versions] : services) {
    stream_versions_.SetServing(service, versions.serving, versions.former,
                                now);
  }
}

/// Lets a stream go on, or begin, only at versions at which it may.
/// Errors: as VersionsFor().
Status Proxy::RestrictVersions(Exchange& exchange) const {
  auto versions = VersionsFor(exchange, exchange.excluded());
  if (!versions) {
    return versions.error();
  }
  exchange.SetVersions(std::move(versions.value()));
  return outcome::success();
}

/// Versions of the upstreams that may get a request next; empty for any.
/// Errors: kNoUpstream if the version that began its stream is not known or has
/// no upstream left.
Result<std::set<std::string>> Proxy::VersionsFor(
    const Exchange& exchange, const std::set<UpstreamId>& excluded) const {
  policy::PlacementRequest next;
  next.service = exchange.placement().service;
  if (!exchange.may_go_on_elsewhere()) {
    return next.versions;
  }
  const TimePoint now = MonotonicNow();
  const bool begins =
      !exchange.stream_version() && !exchange.routed().traits.resumes_stream;
  if (begins) {
    next.versions = stream_versions_.MayBegin(next.service, now);
    return placer_.HasAlternative(next, excluded) ? next.versions
                                                  : std::set<std::string>();
  }
  const std::optional<std::string> version =
      exchange.stream_version()
          ? exchange.stream_version()
          : stream_versions_.VersionOf(
                next.service, ResumedStream(exchange.routed().traits), now);
  if (!version) {
    return MakeError(ErrorCode::kNoUpstream,
                     "the version at which the stream began is not known");
  }
  next.versions = {*version};
  if (!placer_.HasAlternative(next, excluded)) {
    return MakeError(ErrorCode::kNoUpstream,
                     "no upstream is left of the version at which the stream "
                     "began");
  }
  return next.versions;
}

void Proxy::OnStreamStarted(const Exchange& exchange) {
  if (!exchange.may_go_on_elsewhere()) {
    return;
  }
  const RequestTraits& traits = exchange.routed().traits;
  const std::uint64_t stream =
      ResumedStream(traits).value_or(policy::StableHash(traits.attempt.str()));
  const bool tell_others = stream_versions_.RecordBegun(
      exchange.placement().service, {stream, *exchange.stream_version()},
      MonotonicNow());
  if (tell_others) {
    hooks_.urgent_load();
  }
}

}  // namespace rattanward::proxy
