#include "rattanward/entry/relay_desk.h"

#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/policy/stop_error.h"

namespace rattanward::entry {
namespace {

using adapter::MonotonicNow;

/// Entries that a request is relayed to, at most.
constexpr std::size_t kMaxRelays = 6;
constexpr Duration kRetryAfter{std::chrono::seconds(1)};

/// Entries are avoided by what they can't serve: a model or a service.
ServiceName ServedName(const policy::RequestInfo& info) {
  return info.service.empty() ? ServiceName("model/" + info.model.str())
                              : info.service;
}

Error NoPathError() {
  Error error = MakeError(ErrorCode::kNoPath,
                          "no path to an upstream, nor to an entry that has "
                          "one");
  error.retry_after = kRetryAfter;
  return error;
}

Error BrokenError() {
  return MakeError(ErrorCode::kUpstreamBroken,
                   "the entry that it was relayed to broke off",
                   Verdict::kMayHaveRun);
}

}  // namespace

RelayDesk::RelayDesk(asio::io_context& io, const RequestRecorder& recorder,
                     RelayPeers peers, std::uint64_t entry_hash)
    : io_(io),
      recorder_(recorder),
      peers_(std::move(peers)),
      choice_(entry_hash) {}

void RelayDesk::Relay(UnservedRequest request) {
  TryNext(std::make_shared<Pending>(Pending{std::move(request), {}}));
}

void RelayDesk::CutShort() {
  stopped_ = true;
  const auto calls = calls_;
  for (const auto& call : calls) {
    call->CutShort();
  }
}

void RelayDesk::TryNext(const std::shared_ptr<Pending>& pending) {
  if (stopped_) {
    Fail(*pending, policy::StopError(Verdict::kNotRun));
    return;
  }
  const TimePoint now = MonotonicNow();
  choice_.AddPeers(peers_.nearby, peers_.remote, now);
  const UnservedRequest& unserved = pending->unserved;
  const std::optional<Endpoint> peer =
      pending->tried.size() < kMaxRelays
          ? choice_.Choose(ServedName(unserved.info), pending->tried, now)
          : std::nullopt;
  if (!peer) {
    Fail(*pending, NoPathError());
    return;
  }
  recorder_.Relayed(unserved.info, *peer);
  choice_.RecordSent(*peer);
  const auto call = std::make_shared<RelayedCall>(
      io_, *peer, unserved.caller,
      [this, pending, peer = *peer](const std::shared_ptr<RelayedCall>& ended,
                                    RelayEnd end) {
        calls_.erase(ended);
        OnEnd(pending, peer, end);
      });
  calls_.insert(call);
  call->Start(unserved.request);
}

void RelayDesk::OnEnd(const std::shared_ptr<Pending>& pending,
                      const Endpoint& peer, RelayEnd end) {
  const TimePoint now = MonotonicNow();
  choice_.RecordEnded(peer);
  switch (end) {
    case RelayEnd::kAnswered:
      return;
    case RelayEnd::kBroken:
      RecordBroken(*pending);
      CallerAnswer(pending->unserved.caller, pending->unserved.common_fields)
          .Fail(BrokenError());
      return;
    case RelayEnd::kCut:
      RecordBroken(*pending);
      return;
    case RelayEnd::kStopped:
      Fail(*pending, policy::StopError(Verdict::kMayHaveRun));
      return;
    case RelayEnd::kUnreached:
      choice_.RecordUnreachable(peer, now);
      break;
    case RelayEnd::kUnable:
      choice_.RecordUnable(peer, ServedName(pending->unserved.info), now);
      break;
  }
  pending->tried.insert(peer);
  TryNext(pending);
}

void RelayDesk::RecordBroken(const Pending& pending) {
  RequestSummary summary;
  summary.outcome = adapter::Outcome::kFailed;
  summary.error = BrokenError();
  summary.verdict = summary.error.verdict;
  recorder_.Ended(pending.unserved.info, summary, Duration(0));
}

void RelayDesk::Fail(const Pending& pending, const Error& error) {
  recorder_.Shed(pending.unserved.info, error);
  CallerAnswer(pending.unserved.caller, pending.unserved.common_fields)
      .Fail(error);
}

}  // namespace rattanward::entry
