#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/control/control_daemon.h"
#include "rattanward/control/crash_keeper.h"
#include "rattanward/control/declaration_desk.h"
#include "rattanward/control/departure_store.h"
#include "rattanward/control/limit_shares.h"
#include "rattanward/control/push_plan.h"
#include "rattanward/control/routing_texts.h"
#include "rattanward/domain/routing.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/port/event_sink.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::control {

/// @brief Component that reads the entries' reports and adds to the answers.
class ReportExtension {
 public:
  virtual ~ReportExtension() = default;
  virtual void OnReport(const protocol::EntryReport& report, TimePoint now) = 0;
  virtual void AddTo(protocol::ControlReport* answer) const = 0;
};

/// @brief Timeouts of a routing hub, and the wanted number of voters.
struct RoutingHubOptions {
  /// Heartbeat interval of the upstreams.
  Duration heartbeat{std::chrono::milliseconds(1000)};
  /// Longest wait for the entries to run new routes before the operator's call
  /// is acknowledged.
  Duration routing_ack_timeout{std::chrono::milliseconds(800)};
  /// Longest wait for the entries to acknowledge that an upstream leaves, and
  /// for enough disks to hold it.
  Duration leave_ack_timeout{std::chrono::milliseconds(500)};
  /// Waits ignore an entry whose last report is older.
  Duration entry_timeout{std::chrono::milliseconds(1500)};
  /// With fewer voters, new routes are rejected for a grace period. A majority
  /// of them must hold a departure before it is acknowledged.
  std::size_t wanted_voters = 3;
  /// Reads the text of routes. If it isn't set, every service counts as named.
  std::function<Result<RoutingDeclaration>(const std::string& text)>
      decode_routing;
  /// Folder in which it is kept which upstreams left, and what is known of
  /// crashes; if empty, both are lost with the process.
  std::string data_folder;
};

/// @brief Distributes the routes and the directory of upstreams. Runs at every
/// control VM.
/// @note Routes are stored in the replicated log. The directory is soft state:
/// it is pushed to the entries and the other control VMs and rebuilt from
/// heartbeats. Which upstreams left, and what is known of crashes, is kept on
/// the disk. Control thread only.
class RoutingHub : public ControlExtension {
 public:
  using Done = std::function<void(Status)>;
  using RoutingCallback = std::function<void(Result<ledger::RoutingRecord>)>;

  RoutingHub(ControlDaemon& daemon, RoutingHubOptions options,
             port::EventSink events);

  /// @brief Registers the hub as the daemon's extension and starts its timer.
  void Start();

  /// @brief Commits routes, here or at the leader, and waits until the
  /// connected entries run them, at most for routing_ack_timeout.
  /// @param declaration Routes that are not newer than the committed ones
  /// change nothing.
  /// @param done Called with success also if the wait timed out.
  /// Errors: as DeclarationDesk::Take().
  void Declare(Declaration declaration, Done done);

  /// @brief Reads the newest routes; linearizable.
  /// Errors: kNotLeader, kNoQuorum.
  void ReadNewest(RoutingCallback callback);

  /// @brief Handles a registration or heartbeat of an upstream.
  /// @param done Called at once if the upstream is ready. Otherwise the
  /// upstream is leaving, and it is called when the connected entries have
  /// acknowledged that and enough disks hold it, at the latest after
  /// leave_ack_timeout.
  /// Errors: kOutcomeUnknown if too few disks hold it then. The entries heed it
  /// all the same; the upstream has to tell it again.
  void Register(const membership::InstanceRecord& record, Done done);

  /// @brief Handles the deregistration of an upstream.
  /// @param born Start that the deregistration refers to, in Unix milliseconds,
  /// if given.
  /// @note Without a start, the latest one that control or an entry knows has
  /// left. Where none is known, a ready upstream of this id is not taken for
  /// DepartedIds::kHold.
  /// @param done As for Register() of a leaving upstream.
  void Deregister(const UpstreamId& id, std::optional<std::uint64_t> born,
                  Done done);

  bool HandleMessage(const adapter::InboundMessage& message,
                     const adapter::ReplyHandle& reply) override;
  void OnStateChange() override;

  /// @brief Adds an extension, which must outlive the event loop.
  void AddReportExtension(ReportExtension* extension) {
    report_extensions_.push_back(extension);
  }

  /// @brief Counters and gauges in the text format for scraping.
  std::string ScrapeText() const;

  const membership::InstanceDirectory& directory() const { return directory_; }
  const membership::CrashNews& crashes() const { return crashes_.news(); }
  std::size_t entries() const { return entries_.size(); }

  /// @brief What runs and waits at all live entries together, by service.
  std::vector<policy::ServiceDemand> Demand() const;

 private:
  struct Entry {
    adapter::ReplyHandle handle;
    FailureDomain failure_domain;
    Endpoint peer_endpoint;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    ConfigVersion routing;
    PushPlan routing_pushes;
    std::uint64_t push_heeded = 0;
    bool directory_sent = false;
    TimePoint last_report_at;
    std::vector<policy::ServiceDemand> demand;
  };
  struct Waiter {
    std::uint64_t number = 0;
    TimePoint deadline;
    std::function<bool(const Entry&)> acknowledged;
    Done done;
    /// Departures that must be on the own disk for it to count.
    std::uint64_t departures = 0;
    /// Disks that must hold them, and other control VMs whose disks do.
    std::size_t wanted_disks = 0;
    std::size_t other_disks = 0;
    /// Older builds don't keep a departure without a start.
    bool names_no_start = false;
  };
  /// Declarations of routes since the start, and how they were answered.
  struct DeclarationCounts {
    std::uint64_t received = 0;
    std::uint64_t accepted = 0;
    std::uint64_t redirected = 0;
    std::uint64_t refused = 0;
  };
  /// A control VM that waits until this one's disk holds the departures.
  struct KeptQuestion {
    adapter::ReplyHandle reply;
    std::uint64_t departures = 0;
  };

  void HandleReport(const adapter::InboundMessage& message,
                    const adapter::ReplyHandle& reply);
  void HandleInstancePush(const adapter::InboundMessage& message,
                          const adapter::ReplyHandle& reply);
  void HandleInstanceBeats(const adapter::InboundMessage& message);
  void MarkLeaving(const std::vector<membership::InstanceStart>& told);
  void TakeLimits(const std::vector<UpstreamLimit>& told);
  std::vector<policy::LimitShare> LimitSharesOf(const ProcessId& entry);
  void HandleCrashes(const adapter::InboundMessage& message);
  void ForwardCrashes(const protocol::EntryReport& report,
                      const adapter::ReplyHandle& reply);
  void PushToEntries(const protocol::CrashesTold& news);
  void PushToEntries(const protocol::InstancePush& push);
  void SendToControls(const protocol::CrashesTold& news);
  protocol::ControlReport ReportFor(const ProcessId& process,
                                    const Entry& entry);
  void AddEntryIndex(const ProcessId& process,
                     protocol::ControlReport* report) const;
  void AddEntries(const Entry& entry, protocol::ControlReport* report) const;
  void UpdateRoutingTexts();
  void UpdateServices(const ledger::RoutingRecord& routing);
  void PushRouting();
  void PushRouting(Entry& entry, bool leads, TimePoint now);
  void PushDirectory(Entry& entry);
  void PushDirectoryChanges();
  void SendRecordsToControls(
      const std::vector<membership::InstanceRecord>& records);
  void WaitForEntries(Duration timeout,
                      std::function<bool(const Entry&)> acknowledged,
                      Done done);
  void AddWaiter(Waiter waiter);
  void CheckWaiters();
  std::size_t DisksOf(const Waiter& waiter) const;
  Status ResultOf(const Waiter& waiter) const;
  bool Depart(const UpstreamId& id);
  bool TakeDeparted(const std::vector<UpstreamId>& ids);
  void ResolveDeparture(const membership::InstanceStart& departed);
  protocol::InstancePush DepartureOf(const UpstreamId& id) const;
  void KeepDeparture(const UpstreamId& id, Done done);
  void TakeKept(std::uint64_t waiter, const protocol::Envelope& answer);
  void AnswerKept(bool refused);
  void LoadDepartures();
  void CountDepartures(const std::vector<membership::InstanceRecord>& changes);
  void SaveDepartures(TimePoint now);
  void Tick(TimePoint now);
  void TakeDeclaration(Declaration declaration, DeclarationSource source,
                       const std::string& from, Done done);
  void HandleDeclaration(const adapter::InboundMessage& message,
                         const adapter::ReplyHandle& reply);
  DeclarationHooks MakeDeclarationHooks();
  bool OtherLeads() const;
  void NoteLeader(TimePoint now);
  LeaderView ViewLeader(TimePoint now);
  void PassOn(const VoterId& leader, const Declaration& declaration, Done done);
  void Commit(const Declaration& declaration, Done done);
  void CountAnswer(const Status& status);
  void LogAnswer(ConfigVersion version, TimePoint received,
                 const Status& status);
  void AfterCommit(ConfigVersion version, const Done& done);
  bool HasEnoughVoters(TimePoint now);

  ControlDaemon& daemon_;
  RoutingHubOptions options_;
  port::EventSink events_;
  TimePoint started_at_;
  membership::InstanceDirectory directory_;
  /// Version of the routes whose services the directory knows.
  std::optional<ConfigVersion> services_of_;
  std::map<ProcessId, Entry> entries_;
  std::vector<Waiter> waiters_;
  std::uint64_t last_waiter_ = 0;
  std::vector<KeptQuestion> kept_questions_;
  std::vector<membership::InstanceBeat> pending_beats_;
  CrashKeeper crashes_;
  LimitShares limit_shares_;
  std::vector<ReportExtension*> report_extensions_;
  RoutingTexts routing_texts_;
  std::optional<DepartureStore> departure_store_;
  /// Counts the changes of upstreams that left, and those on the disk.
  std::uint64_t departures_ = 0;
  std::uint64_t departures_saved_ = 0;
  TimePoint next_departure_save_;
  std::uint64_t push_number_ = 0;
  TimePoint next_full_push_;
  TimePoint next_maintenance_;
  TimePoint too_few_voters_since_;
  DeclarationDesk declaration_desk_;
  DeclarationCounts declarations_;
  TimePoint leader_known_at_;
};

}  // namespace rattanward::control
