#include "rattanward/domain/event.h"

#include <iterator>

namespace rattanward {
namespace {

constexpr EventInfo kEvents[] = {
    {EventId::kProcessStarted, "process-started"},
    {EventId::kProcessReady, "process-ready"},
    {EventId::kShutdownStarted, "shutdown-started"},
    {EventId::kProcessStopped, "process-stopped"},
    {EventId::kSettingsRejected, "settings-rejected"},
    {EventId::kSettingsReloaded, "settings-reloaded"},
    {EventId::kRecordsDropped, "records-dropped"},
    {EventId::kRequestArrived, "request-arrived"},
    {EventId::kRequestDispatched, "request-dispatched"},
    {EventId::kRequestRetried, "request-retried"},
    {EventId::kRequestFinished, "request-finished"},
    {EventId::kRequestFailed, "request-failed"},
    {EventId::kRequestShed, "request-shed"},
    {EventId::kCallerLeft, "caller-left"},
    {EventId::kStreamResumed, "stream-resumed"},
    {EventId::kRequestQuarantined, "request-quarantined"},
    {EventId::kClaimTaken, "claim-taken"},
    {EventId::kClaimReleased, "claim-released"},
    {EventId::kClaimFinished, "claim-finished"},
    {EventId::kPromptPartQuarantined, "prompt-part-quarantined"},
    {EventId::kPromptPartCleared, "prompt-part-cleared"},
    {EventId::kRequestRelayed, "request-relayed"},
    {EventId::kRequestStopped, "request-stopped"},
    {EventId::kRequestCleared, "request-cleared"},
    {EventId::kRequestTried, "request-tried"},
    {EventId::kMemoryBudgetSet, "memory-budget-set"},
    {EventId::kMemoryGivenUp, "memory-given-up"},
    {EventId::kRequestHedged, "request-hedged"},
    {EventId::kHedgeEnded, "hedge-ended"},
    {EventId::kUpstreamAnnounced, "upstream-announced"},
    {EventId::kUpstreamDraining, "upstream-draining"},
    {EventId::kUpstreamExpired, "upstream-expired"},
    {EventId::kUpstreamProbation, "upstream-probation"},
    {EventId::kUpstreamRestored, "upstream-restored"},
    {EventId::kUpstreamBroke, "upstream-broke"},
    {EventId::kUpstreamLeaving, "upstream-leaving"},
    {EventId::kUpstreamBackoff, "upstream-backoff"},
    {EventId::kUpstreamLimit, "upstream-limit"},
    {EventId::kPathLost, "path-lost"},
    {EventId::kPathRestored, "path-restored"},
    {EventId::kUpstreamFailing, "upstream-failing"},
    {EventId::kUpstreamTried, "upstream-tried"},
    {EventId::kUpstreamRecovered, "upstream-recovered"},
    {EventId::kEngineSpeed, "engine-speed"},
    {EventId::kEntryPeerLost, "entry-peer-lost"},
    {EventId::kEntryPeerFound, "entry-peer-found"},
    {EventId::kLeaderElected, "leader-elected"},
    {EventId::kLeaderStepped, "leader-stepped"},
    {EventId::kConfigCommitted, "config-committed"},
    {EventId::kConfigInForce, "config-in-force"},
    {EventId::kConfigAccepted, "config-accepted"},
    {EventId::kVoterAdded, "voter-added"},
    {EventId::kVoterRemoved, "voter-removed"},
    {EventId::kVoterCaughtUp, "voter-caught-up"},
    {EventId::kOrderSent, "order-sent"},
    {EventId::kOrderDone, "order-done"},
    {EventId::kEntryIsolated, "entry-isolated"},
    {EventId::kEntryRejoined, "entry-rejoined"},
    {EventId::kRoutesNotTaken, "routes-not-taken"},
    {EventId::kDutyTaken, "duty-taken"},
    {EventId::kDutyLost, "duty-lost"},
    {EventId::kDutyCalled, "duty-called"},
    {EventId::kUsageClosed, "usage-closed"},
    {EventId::kUsageAccepted, "usage-accepted"},
    {EventId::kUsageLate, "usage-late"},
    {EventId::kScalingOrdered, "scaling-ordered"},
    {EventId::kScalingRefused, "scaling-refused"},
    {EventId::kScalingUnanswered, "scaling-unanswered"},
    {EventId::kScalingPlanned, "scaling-planned"},
    {EventId::kScalingShort, "scaling-short"},
    {EventId::kDeclarationReceived, "declaration-received"},
    {EventId::kDeclarationAnswered, "declaration-answered"},
    {EventId::kUpstreamDepartedUnknown, "upstream-departed-unknown"},
    {EventId::kHandOverStarted, "hand-over-started"},
    {EventId::kHandOverEnded, "hand-over-ended"},
    {EventId::kUpstreamUnnamed, "upstream-unnamed"},
    {EventId::kControlForgotten, "control-forgotten"},
    {EventId::kSnapshotWritten, "snapshot-written"},
    {EventId::kTornTailCut, "torn-tail-cut"},
    {EventId::kDamagedRecordFound, "damaged-record-found"},
    {EventId::kStorageRefused, "storage-refused"},
    {EventId::kStorageResumed, "storage-resumed"},
    {EventId::kDeparturesNotKept, "departures-not-kept"},
    {EventId::kStorageOpened, "storage-opened"},
    {EventId::kCrashesNotKept, "crashes-not-kept"},
    {EventId::kCrashesLoaded, "crashes-loaded"},
    {EventId::kPeerConnected, "peer-connected"},
    {EventId::kPeerSilent, "peer-silent"},
    {EventId::kPeerRefused, "peer-refused"},
};

}  // namespace

std::string_view EventName(EventId id) {
  for (const EventInfo& info : EventTable()) {
    if (info.id == id) {
      return info.name;
    }
  }
  return "unknown";
}

const std::vector<EventInfo>& EventTable() {
  static const std::vector<EventInfo> kTable(std::begin(kEvents),
                                             std::end(kEvents));
  return kTable;
}

}  // namespace rattanward
