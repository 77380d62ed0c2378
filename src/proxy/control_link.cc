#include "rattanward/proxy/control_link.h"

#include <algorithm>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/membership/crash_news.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

constexpr Duration kReportTimeout{std::chrono::milliseconds(1200)};
/// Time for which reports name what an upstream told in an answer. Control VMs
/// that were cut off for longer learn of it from each other.
constexpr Duration kSignalReportTime{std::chrono::seconds(10)};
/// The rest follows with the next reports.
constexpr std::size_t kMaxSuspicionsPerReport = 128;

}  // namespace

ControlLink::ControlLink(asio::io_context& io,
                         adapter::TransportOptions options,
                         protocol::EntryReport self, ControlLinkHooks hooks)
    : io_(io),
      options_(std::move(options)),
      self_(std::move(self)),
      hooks_(std::move(hooks)) {}

void ControlLink::SetSeeds(const std::vector<Endpoint>& seeds) {
  book_.SetSeeds(seeds);
  for (const Endpoint& seed : seeds) {
    ConnectTo(seed);
  }
}

void ControlLink::ConnectTo(const Endpoint& endpoint) {
  if (endpoint.port == 0) {
    return;
  }
  const membership::EndpointBook::Outcome outcome =
      book_.Name(endpoint, MonotonicNow(),
                 [this](const Endpoint& known) { return IsConnected(known); });
  if (outcome.dropped && hooks_.events) {
    hooks_.events({EventId::kControlForgotten,
                   {{"dropped", ToString(*outcome.dropped)},
                    {"for", ToString(endpoint)}}});
  }
  if (outcome.dropped) {
    controls_.erase(*outcome.dropped);
  }
  if (!outcome.added) {
    return;
  }
  Control& control = controls_[endpoint];
  control.client = std::make_unique<adapter::PeerClient>(
      io_, options_, endpoint,
      [this, endpoint](const protocol::Envelope& envelope) {
        HandlePush(endpoint, envelope);
      },
      [this, endpoint](const ProcessId&) { OnConnected(endpoint); });
  control.client->Start();
}

bool ControlLink::IsConnected(const Endpoint& endpoint) const {
  const auto found = controls_.find(endpoint);
  return found != controls_.end() && found->second.client->connected();
}

void ControlLink::OnConnected(const Endpoint& endpoint) {
  const auto found = controls_.find(endpoint);
  if (found == controls_.end()) {
    return;
  }
  book_.RecordHeard(endpoint, MonotonicNow());
  Control& connected = found->second;
  connected.push_heeded = 0;
  TellCrashes(connected);
  AddSuspicions(hooks_.suspicions());
  for (const UpstreamLimit& limit : hooks_.limits()) {
    AddLimit(limit);
  }
  SendReport(endpoint, connected);
}

void ControlLink::TellCrashes(Control& control) {
  if (!hooks_.known_crashes) {
    return;
  }
  const protocol::CrashesTold known = hooks_.known_crashes();
  if (!membership::IsEmpty(known)) {
    protocol::Envelope envelope;
    envelope.kind = protocol::MessageKind::kCrashesTold;
    envelope.body = protocol::Encode(known);
    control.client->Send(std::move(envelope));
  }
}

void ControlLink::AddWitness(const protocol::CrashWitness& witness) {
  witnesses_.Insert(witness);
}

void ControlLink::AddCleared(
    const std::vector<protocol::CrashWitness>& cleared) {
  for (const protocol::CrashWitness& witness : cleared) {
    witnesses_.Erase(witness);
    cleared_.Insert(witness);
  }
}

void ControlLink::AddSuspicions(
    const std::vector<policy::PartSuspicion>& suspicions) {
  for (const policy::PartSuspicion& suspicion : suspicions) {
    unconfirmed_suspicions_[suspicion.part] = suspicion;
  }
}

void ControlLink::ConfirmSuspicions(
    const std::vector<policy::PartSuspicion>& told) {
  for (const policy::PartSuspicion& suspicion : told) {
    const auto found = unconfirmed_suspicions_.find(suspicion.part);
    if (found != unconfirmed_suspicions_.end() &&
        !policy::IsStronger(found->second, suspicion)) {
      unconfirmed_suspicions_.erase(found);
    }
  }
}

void ControlLink::AddLeaving(const membership::InstanceStart& upstream) {
  std::erase_if(leaving_,
                [&](const auto& item) { return item.second == upstream; });
  leaving_.emplace_back(MonotonicNow() + kSignalReportTime, upstream);
}

void ControlLink::AddLimit(const UpstreamLimit& limit) {
  limits_[limit.id] = {MonotonicNow() + kSignalReportTime, limit};
}

void ControlLink::SendReports() {
  const TimePoint now = MonotonicNow();
  std::erase_if(limits_,
                [now](const auto& item) { return item.second.first < now; });
  std::erase_if(leaving_, [now](const auto& item) { return item.first < now; });
  self_.demand = hooks_.demand();
  for (auto& [endpoint, control] : controls_) {
    SendReport(endpoint, control);
  }
}

void ControlLink::SendReport(const Endpoint& endpoint, Control& control) {
  if (!control.client->connected()) {
    return;
  }
  ++self_.sequence;
  protocol::EntryReport report = self_;
  report.push_heeded = control.push_heeded;
  report.witnesses = {witnesses_.oldest_first().begin(),
                      witnesses_.oldest_first().end()};
  report.cleared = {cleared_.oldest_first().begin(),
                    cleared_.oldest_first().end()};
  for (const auto& [part, suspicion] : unconfirmed_suspicions_) {
    if (report.suspicions.size() == kMaxSuspicionsPerReport) {
      break;
    }
    report.suspicions.push_back(suspicion);
  }
  for (const auto& [until, upstream] : leaving_) {
    report.leaving.push_back(upstream);
  }
  for (const auto& [id, limit] : limits_) {
    report.limits.push_back(limit.second);
  }
  if (hooks_.usage) {
    report.usage = hooks_.usage();
  }
  protocol::Envelope envelope;
  envelope.kind = protocol::MessageKind::kEntryReport;
  envelope.body = protocol::Encode(report);
  const TimePoint sent = MonotonicNow();
  control.client->Call(
      std::move(envelope), kReportTimeout,
      [this, endpoint, sent](const Result<protocol::Envelope>& response) {
        if (response) {
          HandleReport(endpoint, sent, response.value());
        }
      });
}

void ControlLink::HandleReport(const Endpoint& endpoint, TimePoint sent,
                               const protocol::Envelope& envelope) {
  const auto report = protocol::Decode<protocol::ControlReport>(envelope.body);
  if (!report) {
    return;
  }
  book_.RecordHeard(endpoint, MonotonicNow());
  if (hooks_.answered) {
    hooks_.answered(endpoint, sent, report.value());
  }
  for (const Endpoint& control : report.value().control) {
    ConnectTo(control);
  }
  if (report.value().leader) {
    hooks_.confirmed(sent, report.value().committed,
                     std::chrono::milliseconds(report.value().history_ms));
    hooks_.entries(report.value());
    hooks_.limit_shares(sent, report.value().limit_shares);
    hooks_.room_share(
        sent, {report.value().entry_index, report.value().indexed_entries});
  }
}

void ControlLink::HandlePush(const Endpoint& endpoint,
                             const protocol::Envelope& envelope) {
  switch (envelope.kind) {
    case protocol::MessageKind::kRoutingPush: {
      const auto push = protocol::Decode<protocol::RoutingPush>(envelope.body);
      if (push) {
        hooks_.routing(push.value());
        SendReports();
      }
      break;
    }
    case protocol::MessageKind::kInstancePush: {
      const auto push = protocol::Decode<protocol::InstancePush>(envelope.body);
      if (push) {
        hooks_.instances(push.value().records);
        if (!push.value().departed.empty()) {
          hooks_.departed(push.value().departed);
        }
        const auto control = controls_.find(endpoint);
        if (control != controls_.end()) {
          control->second.push_heeded =
              std::max(control->second.push_heeded, push.value().number);
          SendReport(endpoint, control->second);
        }
      }
      break;
    }
    case protocol::MessageKind::kCrashesTold: {
      const auto told = protocol::Decode<protocol::CrashesTold>(envelope.body);
      if (told) {
        ConfirmSuspicions(told.value().suspicions);
        hooks_.crashes(told.value());
      }
      break;
    }
    default:
      break;
  }
}

std::size_t ControlLink::connected() const {
  return static_cast<std::size_t>(std::count_if(
      controls_.begin(), controls_.end(),
      [](const auto& item) { return item.second.client->connected(); }));
}

void ControlLink::Stop() {
  for (auto& [endpoint, control] : controls_) {
    control.client->Stop();
  }
}

}  // namespace rattanward::proxy
