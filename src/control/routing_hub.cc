#include "rattanward/control/routing_hub.h"

#include <algorithm>
#include <utility>

#include "rattanward/membership/planned_exits.h"
#include "rattanward/membership/relay_choice.h"
#include "rattanward/policy/rendezvous.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;
using membership::InstanceDirectory;
using membership::InstanceRecord;
using membership::InstanceState;

/// Heartbeats received within a period are sent to the other control VMs in one
/// message.
constexpr Duration kTickPeriod{std::chrono::milliseconds(50)};
/// Period in which the whole directory is sent to the other control VMs.
constexpr Duration kFullPushPeriod{std::chrono::seconds(4)};
constexpr Duration kMaintenancePeriod{std::chrono::milliseconds(500)};
/// Missed heartbeats after which an upstream counts as silent.
constexpr int kMaxMissedBeats = 4;
/// Time for which a gone or silent upstream stays in the directory.
constexpr Duration kInstanceRetention{std::chrono::seconds(60)};
/// An entry whose last report is older is removed.
constexpr Duration kEntryRetention{std::chrono::seconds(10)};
/// Up to this number of entries, every entry communicates with every other.
/// Above it, entries reach other failure domains through relays.
constexpr std::size_t kFullMeshEntries = 16;

template <class M>
void PushMessage(const adapter::ReplyHandle& handle, protocol::MessageKind kind,
                 const M& message) {
  handle.Push(kind, protocol::Encode(message));
}

}  // namespace

RoutingHub::RoutingHub(ControlDaemon& daemon, RoutingHubOptions options,
                       port::EventSink events)
    : daemon_(daemon),
      options_(std::move(options)),
      events_(std::move(events)),
      started_at_(MonotonicNow()),
      crashes_(options_.data_folder, events_),
      declaration_desk_(MakeDeclarationHooks()),
      leader_known_at_(started_at_) {
  if (!options_.data_folder.empty()) {
    departure_store_.emplace(options_.data_folder);
  }
}

void RoutingHub::Start() {
  daemon_.SetExtension(this);
  UpdateRoutingTexts();
  crashes_.Load(started_at_);
  LoadDepartures();
  daemon_.voters().OnConnected([this](const Endpoint& endpoint) {
    // What was told while the connection was down is lost.
    daemon_.voters().SendTo(endpoint, protocol::MessageKind::kCrashesTold,
                            protocol::Encode(crashes_.news().All()));
    daemon_.voters().SendTo(
        endpoint, protocol::MessageKind::kInstancePush,
        protocol::Encode(protocol::InstancePush{
            0, directory_.AllToTell(), directory_.DepartedWithUnknownStart()}));
  });
  daemon_.timers().Every(kTickPeriod, [this](TimePoint now) { Tick(now); });
}

bool RoutingHub::HandleMessage(const adapter::InboundMessage& message,
                               const adapter::ReplyHandle& reply) {
  switch (message.envelope.kind) {
    case protocol::MessageKind::kEntryReport:
      HandleReport(message, reply);
      return true;
    case protocol::MessageKind::kInstancePush:
      HandleInstancePush(message, reply);
      return true;
    case protocol::MessageKind::kInstanceBeats:
      HandleInstanceBeats(message);
      return true;
    case protocol::MessageKind::kCrashesTold:
      HandleCrashes(message);
      return true;
    case protocol::MessageKind::kRoutesDeclare:
      HandleDeclaration(message, reply);
      return true;
    default:
      return false;
  }
}

void RoutingHub::HandleReport(const adapter::InboundMessage& message,
                              const adapter::ReplyHandle& reply) {
  const auto decoded =
      protocol::Decode<protocol::EntryReport>(message.envelope.body);
  if (!decoded) {
    return;
  }
  const protocol::EntryReport& report = decoded.value();
  Entry& entry = entries_[report.process];
  const bool new_connection = !entry.handle.SharesConnection(reply);
  const bool older = std::tie(report.incarnation, report.sequence) <
                     std::tie(entry.incarnation, entry.sequence);
  if (new_connection && entry.handle.connected() && older) {
    return;  // Out of order: an older report from another connection.
  }
  if (new_connection) {
    // What was pushed into the connection before may be lost.
    entry.routing_pushes = PushPlan();
    entry.directory_sent = false;
    entry.push_heeded = 0;
  }
  entry.handle = reply;
  entry.failure_domain = report.failure_domain;
  entry.peer_endpoint = report.peer_endpoint;
  entry.incarnation = report.incarnation;
  entry.sequence = report.sequence;
  entry.routing = report.routing;
  entry.push_heeded = std::max(entry.push_heeded, report.push_heeded);
  entry.last_report_at = MonotonicNow();
  entry.demand = report.demand;
  ForwardCrashes(report, reply);
  MarkLeaving(report.leaving);
  TakeLimits(report.limits);
  for (ReportExtension* extension : report_extensions_) {
    extension->OnReport(report, entry.last_report_at);
  }
  reply.Reply(protocol::MessageKind::kControlReport,
              protocol::Encode(ReportFor(report.process, entry)));
  const bool leads = daemon_.replica().ConfirmedLeader();
  UpdateRoutingTexts();
  PushRouting(entry, leads, entry.last_report_at);
  PushDirectory(entry);
  CheckWaiters();
}

protocol::ControlReport RoutingHub::ReportFor(const ProcessId& process,
                                              const Entry& entry) {
  protocol::ControlReport report;
  report.leader = daemon_.replica().ConfirmedLeader();
  report.committed = daemon_.replica().ledger().routing().version;
  report.history_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicNow() -
                                                            started_at_)
          .count());
  report.control.push_back(daemon_.settings().peer_listen);
  for (const consensus::Member& member :
       daemon_.replica().node().membership().members) {
    report.control.push_back(member.endpoint);
  }
  for (const ReportExtension* extension : report_extensions_) {
    extension->AddTo(&report);
  }
  if (!report.leader) {
    return report;
  }
  AddEntries(entry, &report);
  report.limit_shares = LimitSharesOf(process);
  AddEntryIndex(process, &report);
  return report;
}

/// Adds the live entries to the report: all of them, or beyond kFullMeshEntries
/// those of the receiver's failure domain and one relay in each other domain.
void RoutingHub::AddEntries(const Entry& entry,
                            protocol::ControlReport* report) const {
  const TimePoint alive_since = MonotonicNow() - 2 * options_.entry_timeout;
  std::vector<membership::RelayCandidate> candidates;
  for (const auto& [process, other] : entries_) {
    if (other.last_report_at < alive_since) {
      continue;
    }
    ++report->entry_count;
    if (entries_.size() <= kFullMeshEntries ||
        other.failure_domain == entry.failure_domain) {
      report->entries.push_back(
          {process, other.failure_domain, other.peer_endpoint});
    } else if (other.peer_endpoint.port != 0) {
      candidates.push_back({other.failure_domain, other.peer_endpoint});
    }
  }
  report->relays = membership::ChooseRelays(
      candidates, entry.failure_domain,
      policy::RendezvousWeight(entry.incarnation, entry.sequence));
}

/// Entries divide the room of upstreams by this place. A control VM that has
/// just started may not have heard all of them.
void RoutingHub::AddEntryIndex(const ProcessId& process,
                               protocol::ControlReport* report) const {
  const TimePoint now = MonotonicNow();
  if (now - started_at_ < policy::kLimitShareLease) {
    return;
  }
  for (const auto& [other, entry] : entries_) {
    if (now - entry.last_report_at < policy::kLimitShareLease) {
      report->entry_index += other < process ? 1 : 0;
      ++report->indexed_entries;
    }
  }
}

void RoutingHub::UpdateRoutingTexts() {
  const ledger::RoutingRecord& routing = daemon_.replica().ledger().routing();
  routing_texts_.Update(routing.version, routing.text);
  UpdateServices(routing);
}

/// Records of upstreams count by the services of the newest routes known here.
void RoutingHub::UpdateServices(const ledger::RoutingRecord& routing) {
  if (!options_.decode_routing || services_of_ == routing.version) {
    return;
  }
  services_of_ = routing.version;
  std::vector<RoutedService> services;
  if (routing.version.value > 0) {
    const auto declaration = options_.decode_routing(routing.text);
    if (!declaration) {
      events_({EventId::kSettingsRejected,
               {{"reason", declaration.error().message}}});
      return;
    }
    services = declaration.value().services;
  }
  directory_.SetServices(membership::NamedServices::Of(services));
  PushDirectoryChanges();
}

void RoutingHub::PushRouting() {
  UpdateRoutingTexts();
  const bool leads = daemon_.replica().ConfirmedLeader();
  const TimePoint now = MonotonicNow();
  for (auto& [process, entry] : entries_) {
    PushRouting(entry, leads, now);
  }
}

void RoutingHub::PushRouting(Entry& entry, bool leads, TimePoint now) {
  const RoutingPushStep step = entry.routing_pushes.Next(
      routing_texts_.newest(), entry.routing, leads, now);
  if (step.kind == RoutingPushKind::kNone) {
    return;
  }
  const std::string& push = step.kind == RoutingPushKind::kFullText
                                ? routing_texts_.EncodedFullPush()
                                : routing_texts_.EncodedPushFrom(step.base);
  entry.handle.Push(protocol::MessageKind::kRoutingPush, push);
}

void RoutingHub::PushDirectory(Entry& entry) {
  if (!entry.directory_sent) {
    entry.directory_sent = true;
    // First, since the entry may send as soon as it knows an upstream.
    const protocol::CrashesTold crashes = crashes_.news().All();
    if (!membership::IsEmpty(crashes)) {
      PushMessage(entry.handle, protocol::MessageKind::kCrashesTold, crashes);
    }
    PushMessage(entry.handle, protocol::MessageKind::kInstancePush,
                protocol::InstancePush{push_number_, directory_.AllToTell(),
                                       directory_.DepartedWithUnknownStart()});
  }
}

/// Pushes the records that changed since the last push to the entries.
void RoutingHub::PushDirectoryChanges() {
  const std::vector<InstanceRecord> changes = directory_.TakeChanges();
  const std::vector<InstanceRecord> unnamed = directory_.TakeUnnamedChanges();
  if (changes.empty() && unnamed.empty()) {
    return;
  }
  for (const membership::InstanceStart& upstream :
       membership::PlannedExits(changes, directory_)) {
    crashes_.RecordPlannedExit(upstream);
  }
  protocol::InstancePush push{++push_number_, changes, {}};
  push.records.insert(push.records.end(), unnamed.begin(), unnamed.end());
  CountDepartures(push.records);
  PushToEntries(push);
  for (const InstanceRecord& record : unnamed) {
    events_({EventId::kUpstreamUnnamed,
             {{"upstream", record.id.str()},
              {"service", record.service.str()},
              {"endpoint", ToString(record.endpoint)},
              {"push", std::to_string(push_number_)}}});
  }
  for (const InstanceRecord& record : changes) {
    events_({record.state == InstanceState::kReady ? EventId::kUpstreamAnnounced
                                                   : EventId::kUpstreamDraining,
             {{"upstream", record.id.str()},
              {"service", record.service.str()},
              {"endpoint", ToString(record.endpoint)},
              {"state", std::to_string(static_cast<int>(record.state))},
              {"silent", record.silent ? "1" : "0"},
              {"sequence", std::to_string(record.stamp.sequence)},
              {"push", std::to_string(push_number_)}}});
  }
}

void RoutingHub::SendRecordsToControls(
    const std::vector<InstanceRecord>& records) {
  daemon_.voters().SendToAll(
      protocol::MessageKind::kInstancePush,
      protocol::Encode(protocol::InstancePush{0, records, {}}));
}

void RoutingHub::HandleInstancePush(const adapter::InboundMessage& message,
                                    const adapter::ReplyHandle& reply) {
  const auto push =
      protocol::Decode<protocol::InstancePush>(message.envelope.body);
  if (!push) {
    return;
  }
  for (const InstanceRecord& record : push.value().records) {
    directory_.Merge(record, MonotonicNow());
  }
  PushDirectoryChanges();
  const bool remembered = TakeDeparted(push.value().departed);
  if (message.envelope.request == 0) {
    return;
  }
  if (!remembered) {
    reply.Reply(protocol::MessageKind::kDeparturesKept,
                protocol::Encode(protocol::DeparturesKept{}));
    return;
  }
  kept_questions_.push_back({reply, departures_});
  AnswerKept(/*refused=*/false);
}

void RoutingHub::HandleInstanceBeats(const adapter::InboundMessage& message) {
  const auto incoming =
      protocol::Decode<protocol::InstanceBeats>(message.envelope.body);
  if (!incoming) {
    return;
  }
  for (const membership::InstanceBeat& beat : incoming.value().beats) {
    directory_.ApplyBeat(beat, MonotonicNow());
  }
  PushDirectoryChanges();
}

void RoutingHub::Register(const InstanceRecord& record, Done done) {
  const InstanceDirectory::Change change =
      directory_.Merge(record, MonotonicNow());
  if (change == InstanceDirectory::Change::kChanged) {
    PushDirectoryChanges();
  }
  if (record.state != InstanceState::kReady) {
    KeepDeparture(record.id, std::move(done));
    return;
  }
  if (change == InstanceDirectory::Change::kChanged) {
    SendRecordsToControls({record});
  } else if (change == InstanceDirectory::Change::kRefreshed) {
    pending_beats_.push_back({record.id, record.stamp});
  }
  done(outcome::success());
}

void RoutingHub::Deregister(const UpstreamId& id,
                            std::optional<std::uint64_t> born, Done done) {
  if (born) {
    directory_.Deregister(id, born, MonotonicNow());
    PushDirectoryChanges();
  } else if (!Depart(id)) {
    done(MakeError(ErrorCode::kOutcomeUnknown,
                   "too many upstreams departed that are not known here"));
    return;
  }
  KeepDeparture(id, std::move(done));
}

void RoutingHub::OnStateChange() { PushRouting(); }

void RoutingHub::WaitForEntries(Duration timeout,
                                std::function<bool(const Entry&)> acknowledged,
                                Done done) {
  Waiter waiter;
  waiter.deadline = MonotonicNow() + timeout;
  waiter.acknowledged = std::move(acknowledged);
  waiter.done = std::move(done);
  AddWaiter(std::move(waiter));
}

void RoutingHub::AddWaiter(Waiter waiter) {
  waiters_.push_back(std::move(waiter));
  CheckWaiters();
}

void RoutingHub::CheckWaiters() {
  const TimePoint now = MonotonicNow();
  const TimePoint silent = now - options_.entry_timeout;
  std::vector<Waiter> ended;
  std::erase_if(waiters_, [&](Waiter& waiter) {
    const bool acknowledged =
        DisksOf(waiter) >= waiter.wanted_disks &&
        std::all_of(entries_.begin(), entries_.end(), [&](const auto& item) {
          const Entry& entry = item.second;
          return entry.last_report_at < silent || !entry.handle.connected() ||
                 waiter.acknowledged(entry);
        });
    if (!acknowledged && now < waiter.deadline) {
      return false;
    }
    ended.push_back(std::move(waiter));
    return true;
  });
  for (const Waiter& waiter : ended) {
    waiter.done(ResultOf(waiter));
  }
}

std::string RoutingHub::ScrapeText() const {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += "rattanward_control_" + name + ' ' + std::to_string(value) + '\n';
  };
  const consensus::Node& node = daemon_.replica().node();
  add("leader", daemon_.replica().ConfirmedLeader() ? 1 : 0);
  add("term", node.term());
  add("commit_index", node.commit_index());
  add("voters", consensus::VoterCount(node.membership()));
  add("routes_version", daemon_.replica().ledger().routing().version.value);
  add("entries", entries_.size());
  add("upstreams", directory_.size());
  add("pushes_total", push_number_);
  add("acknowledgements_waiting", waiters_.size());
  add("declarations_held", declaration_desk_.held());
  add("declarations_received_total", declarations_.received);
  add("declarations_accepted_total", declarations_.accepted);
  add("declarations_redirected_total", declarations_.redirected);
  add("declarations_refused_total", declarations_.refused);
  add("storage_suspended", daemon_.replica().suspended() ? 1 : 0);
  add("crashes_known", crashes_.news().witnesses());
  add("prompt_parts_suspected", crashes_.news().suspected_parts());
  add("prompt_parts_quarantined", crashes_.news().quarantined_parts());
  return text;
}

void RoutingHub::Tick(TimePoint now) {
  if (!pending_beats_.empty()) {
    daemon_.voters().SendToAll(protocol::MessageKind::kInstanceBeats,
                               protocol::Encode(protocol::InstanceBeats{
                                   std::exchange(pending_beats_, {})}));
  }
  SaveDepartures(now);
  crashes_.SaveIfDue(now);
  NoteLeader(now);
  declaration_desk_.Check(now);
  CheckWaiters();
  PushRouting();
  if (now >= next_maintenance_) {
    next_maintenance_ = now + kMaintenancePeriod;
    directory_.MarkSilent(now - kMaxMissedBeats * options_.heartbeat);
    directory_.Forget(now - kInstanceRetention);
    directory_.ExpireDepartedIds(now);
    std::erase_if(entries_, [&](const auto& item) {
      return item.second.last_report_at < now - kEntryRetention;
    });
    PushDirectoryChanges();
  }
  if (now >= next_full_push_) {
    next_full_push_ = now + kFullPushPeriod;
    SendRecordsToControls(directory_.All());
    crashes_.Expire(now);
    SendToControls(crashes_.news().Suspicions());
  }
}

}  // namespace rattanward::control
