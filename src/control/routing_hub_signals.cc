#include "rattanward/control/routing_hub.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;
using membership::InstanceRecord;

/// What is known of a start that told that it leaves. Whatever it registered
/// is newer.
InstanceRecord LeavingRecord(const membership::InstanceStart& leaving) {
  InstanceRecord record;
  record.id = leaving.id;
  record.stamp.born = leaving.born;
  record.state = membership::InstanceState::kDraining;
  record.leaving = true;
  return record;
}

}  // namespace

void RoutingHub::MarkLeaving(
    const std::vector<membership::InstanceStart>& told) {
  for (const membership::InstanceStart& leaving : told) {
    ResolveDeparture(leaving);
    if (directory_.MarkLeaving(leaving)) {
      // Kept and told on also where the start hasn't registered here.
      directory_.Merge(LeavingRecord(leaving), MonotonicNow());
      SendRecordsToControls({*directory_.Find(leaving.id)});
    }
  }
  PushDirectoryChanges();
}

void RoutingHub::TakeLimits(const std::vector<UpstreamLimit>& told) {
  for (const UpstreamLimit& limit : told) {
    if (!directory_.MergeLimit(limit)) {
      continue;
    }
    limit_shares_.Invalidate();
    const InstanceRecord* record = directory_.Find(limit.id);
    if (record != nullptr && record->stamp.born == limit.born) {
      SendRecordsToControls({*record});
    }
  }
  PushDirectoryChanges();
}

/// Assigns the shares to the entries heard lately, this one included.
std::vector<policy::LimitShare> RoutingHub::LimitSharesOf(
    const ProcessId& entry) {
  const TimePoint now = MonotonicNow();
  if (limit_shares_.IsDue(now)) {
    std::vector<ProcessId> live;
    for (const auto& [process, known] : entries_) {
      if (now - known.last_report_at < policy::kLimitShareLease) {
        live.push_back(process);
      }
    }
    limit_shares_.Assign(directory_.Limits(), live, now);
  }
  return limit_shares_.Of(entry);
}

void RoutingHub::HandleCrashes(const adapter::InboundMessage& message) {
  const auto incoming =
      protocol::Decode<protocol::CrashesTold>(message.envelope.body);
  if (!incoming) {
    return;
  }
  PushToEntries(crashes_.Record(incoming.value(), MonotonicNow()));
}

void RoutingHub::PushToEntries(const protocol::CrashesTold& news) {
  if (membership::IsEmpty(news)) {
    return;
  }
  const std::string body = protocol::Encode(news);
  for (auto& [process, entry] : entries_) {
    entry.handle.Push(protocol::MessageKind::kCrashesTold, body);
  }
}

void RoutingHub::PushToEntries(const protocol::InstancePush& push) {
  const std::string body = protocol::Encode(push);
  for (auto& [process, entry] : entries_) {
    entry.handle.Push(protocol::MessageKind::kInstancePush, body);
  }
}

void RoutingHub::SendToControls(const protocol::CrashesTold& news) {
  if (!membership::IsEmpty(news)) {
    daemon_.voters().SendToAll(protocol::MessageKind::kCrashesTold,
                               protocol::Encode(news));
  }
}

/// Forwards what is new in a report to all entries and the other control VMs.
/// The reporting entry gets an answer for each of its suspicions.
void RoutingHub::ForwardCrashes(const protocol::EntryReport& report,
                                const adapter::ReplyHandle& reply) {
  const protocol::CrashesTold news = crashes_.Record(
      {report.witnesses, report.suspicions, report.cleared}, MonotonicNow());
  PushToEntries(news);
  SendToControls(news);
  if (news.suspicions.size() < report.suspicions.size()) {
    reply.Push(
        protocol::MessageKind::kCrashesTold,
        protocol::Encode(crashes_.news().KnownAgainst(report.suspicions)));
  }
}

}  // namespace rattanward::control
