#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanward {

/// @brief Stable number of a logged event; docs/events.md has an entry each.
/// @note 1xxx processes and settings, 2xxx requests, 3xxx upstreams and
/// membership, 4xxx control state, 5xxx storage, 6xxx connections.
enum class EventId : int {
  kProcessStarted = 1001,
  kProcessReady = 1002,
  kShutdownStarted = 1003,
  kProcessStopped = 1004,
  kSettingsRejected = 1005,
  kSettingsReloaded = 1006,
  kRecordsDropped = 1007,

  kRequestArrived = 2001,
  kRequestDispatched = 2002,
  kRequestRetried = 2003,
  kRequestFinished = 2004,
  kRequestFailed = 2005,
  kRequestShed = 2006,
  kCallerLeft = 2007,
  kStreamResumed = 2008,
  kRequestQuarantined = 2009,
  kClaimTaken = 2010,
  kClaimReleased = 2011,
  kClaimFinished = 2012,
  kPromptPartQuarantined = 2013,
  kPromptPartCleared = 2014,
  kRequestRelayed = 2015,
  kRequestStopped = 2016,
  kRequestCleared = 2017,
  kRequestTried = 2018,
  kMemoryBudgetSet = 2020,
  kMemoryGivenUp = 2021,
  kRequestHedged = 2030,
  kHedgeEnded = 2031,

  kUpstreamAnnounced = 3001,
  kUpstreamDraining = 3002,
  kUpstreamExpired = 3003,
  kUpstreamProbation = 3004,
  kUpstreamRestored = 3005,
  kUpstreamBroke = 3008,
  kUpstreamLeaving = 3009,
  kUpstreamBackoff = 3010,
  kUpstreamLimit = 3011,
  kPathLost = 3012,
  kPathRestored = 3013,
  kUpstreamFailing = 3020,
  kUpstreamTried = 3021,
  kUpstreamRecovered = 3022,
  kEngineSpeed = 3023,
  kEntryPeerLost = 3006,
  kEntryPeerFound = 3007,

  kLeaderElected = 4001,
  kLeaderStepped = 4002,
  kConfigCommitted = 4003,
  kConfigInForce = 4004,
  kConfigAccepted = 4005,
  kVoterAdded = 4006,
  kVoterRemoved = 4007,
  kVoterCaughtUp = 4008,
  kOrderSent = 4009,
  kOrderDone = 4010,
  kEntryIsolated = 4011,
  kEntryRejoined = 4012,
  kRoutesNotTaken = 4013,
  kDutyTaken = 4014,
  kDutyLost = 4015,
  kDutyCalled = 4016,
  kUsageClosed = 4017,
  kUsageAccepted = 4018,
  kUsageLate = 4019,
  kScalingOrdered = 4020,
  kScalingRefused = 4021,
  kScalingUnanswered = 4022,
  kScalingPlanned = 4023,
  kScalingShort = 4024,
  kDeclarationReceived = 4025,
  kDeclarationAnswered = 4026,
  kUpstreamDepartedUnknown = 4027,
  kHandOverStarted = 4028,
  kHandOverEnded = 4029,
  kUpstreamUnnamed = 4030,
  kControlForgotten = 4031,

  kSnapshotWritten = 5001,
  kTornTailCut = 5002,
  kDamagedRecordFound = 5003,
  kStorageRefused = 5004,
  kStorageResumed = 5005,
  kDeparturesNotKept = 5006,
  kStorageOpened = 5007,
  kCrashesNotKept = 5008,
  kCrashesLoaded = 5009,

  kPeerConnected = 6001,
  kPeerSilent = 6002,
  kPeerRefused = 6003,
};

/// @brief Names one field of an event.
struct EventField {
  std::string name;
  std::string value;

  friend bool operator==(const EventField&, const EventField&) = default;
};

/// @brief One logged event; the sink adds time, process, VM and domain.
/// @note Fields never hold bodies, keys or tokens.
struct Event {
  EventId id = EventId::kProcessStarted;
  std::vector<EventField> fields;

  friend bool operator==(const Event&, const Event&) = default;
};

/// @brief Number and name of one event.
struct EventInfo {
  EventId id;
  std::string_view name;
};

/// @brief Short name of an event, such as "request-finished".
/// @param id The event's stable number.
/// @return The name; "unknown" for a number that is not in the table.
std::string_view EventName(EventId id);

/// @brief Every event, for the test that compares them with docs/events.md.
const std::vector<EventInfo>& EventTable();

}  // namespace rattanward
