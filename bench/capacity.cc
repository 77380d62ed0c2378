// Measures memory, time and message sizes at several deployment sizes.
// docs/CAPACITY.md extrapolates from these figures. Prints one line per figure:
// NAME SIZE VALUE UNIT. Everything runs in this process.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "rattanward/adapter/config_text.h"
#include "rattanward/adapter/detail/stamped_envelope.h"
#include "rattanward/adapter/metrics.h"
#include "rattanward/entry/config_snapshot.h"
#include "rattanward/membership/gossip.h"
#include "rattanward/policy/dispatcher.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward {
namespace {

constexpr int kDomains = 5;
constexpr auto kGossipPeriod = std::chrono::milliseconds(500);
constexpr int kRoundsPerSecond = 2;

/// @brief Prints one figure as a line.
/// @param size Number of accounts, upstreams or entries; 1 if the figure does
/// not depend on a size.
void PrintFigure(const char* name, std::size_t size, double value,
                 const char* unit) {
  std::printf("%-28s %7zu %12.3f %s\n", name, size, value, unit);
  std::fflush(stdout);
}

/// @brief Heap bytes in use, including blocks allocated with mmap.
std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

class Stopwatch {
 public:
  double Microseconds() const {
    return std::chrono::duration<double, std::micro>(Clock::now() - start_)
        .count();
  }

 private:
  using Clock = std::chrono::steady_clock;
  Clock::time_point start_ = Clock::now();
};

FailureDomain DomainOf(std::size_t number) {
  return FailureDomain("domain-" + std::to_string(number % kDomains));
}

/// @brief Creates a declaration with one model, one class and the given number
/// of client accounts.
std::string DeclarationText(std::size_t accounts) {
  std::string text =
      "models = [\"model\"]\n\n[[classes]]\nname = \"class-0\"\ntier = 0\n"
      "first_token_target_ms = 910\nbetween_tokens_target_ms = 43\n"
      "deadline_ms = 5000\nfloor_permille = 100\nqueue_limit = 400\n"
      "expected_output_tokens = 376\n\n";
  for (std::size_t i = 0; i < accounts; ++i) {
    const std::string id = "account-" + std::to_string(i);
    text += "[[accounts]]\nid = \"" + id + "\"\nkey_sha256 = \"" +
            entry::Sha256Hex(id) +
            "\"\nclasses = [\"class-0\"]\nmax_in_flight = 20\n"
            "requests_per_minute = 600\n\n";
  }
  return text;
}

Announcement MakeAnnouncement(std::size_t number) {
  Announcement out;
  out.instance = UpstreamId("engine-" + std::to_string(number));
  out.sequence = 1;
  out.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(8000 + number)};
  out.failure_domain = DomainOf(number);
  out.models = {ModelName("model")};
  out.version = "1";
  out.role = "serve";
  out.capacity = 64;
  out.not_run_statuses = {429, 503};
  return out;
}

/// @brief Measures declaration size, parse time, account look-up time and the
/// memory of the account index.
void MeasureDeclarations() {
  for (const std::size_t accounts : {1000U, 5000U, 25000U}) {
    const std::string text = DeclarationText(accounts);
    PrintFigure("declaration-text", accounts, static_cast<double>(text.size()),
                "B");
    const Stopwatch stopwatch;
    auto config = adapter::ParseConfigText(text, "declaration");
    PrintFigure("declaration-parse", accounts, stopwatch.Microseconds() / 1000,
                "ms");
    if (!config) {
      std::printf("cannot parse the declaration: %s\n",
                  config.error().message.c_str());
      return;
    }
    Config parsed_config = std::move(config).value();
    malloc_trim(0);
    const std::size_t bytes_with_config = HeapBytes();
    const auto snapshot = std::make_unique<entry::ConfigSnapshot>(
        ConfigVersion{1}, std::move(parsed_config));
    const Stopwatch lookup_stopwatch;
    constexpr int kLookups = 2000;
    for (int i = 0; i < kLookups; ++i) {
      snapshot->FindAccountByKey("account-7");
    }
    PrintFigure("account-look-up", accounts,
                lookup_stopwatch.Microseconds() / kLookups, "us");
    PrintFigure("snapshot-index", accounts,
                static_cast<double>(HeapBytes() - bytes_with_config), "B");
  }
}

/// @brief Measures the memory of a parsed configuration.
void MeasureConfigMemory() {
  for (const std::size_t accounts : {1000U, 5000U, 25000U}) {
    const std::string text = DeclarationText(accounts);
    const std::size_t bytes_before = HeapBytes();
    auto config = adapter::ParseConfigText(text, "declaration");
    const auto stored_config =
        std::make_unique<Config>(std::move(config).value());
    PrintFigure("config-memory", accounts,
                static_cast<double>(HeapBytes() - bytes_before), "B");
  }
}

/// @brief Measures the memory of a dispatcher and the time of a submission.
/// @note Requests arrive every 100 ms of simulated time; each ends when
/// kOpenRequests newer ones have been submitted.
void MeasureDispatcher() {
  const Config config =
      adapter::ParseConfigText(DeclarationText(1000), "declaration").value();
  for (const std::size_t upstreams : {60U, 200U, 600U}) {
    const std::size_t bytes_before = HeapBytes();
    policy::DispatcherOptions options;
    options.failure_domain = DomainOf(0);
    policy::Dispatcher dispatcher(options);
    TimePoint now{};
    dispatcher.SetConfig(config, now);
    for (std::size_t i = 0; i < upstreams; ++i) {
      dispatcher.UpstreamChanged(MakeAnnouncement(i), now);
    }
    PrintFigure("dispatcher-memory", upstreams,
                static_cast<double>(HeapBytes() - bytes_before), "B");
    constexpr int kRequests = 20000;
    constexpr int kOpenRequests = 120;
    std::vector<double> submit_us;
    submit_us.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      policy::RequestInfo request;
      request.id = RequestId("r" + std::to_string(i));
      request.account = config.accounts[static_cast<std::size_t>(i) % 1000].id;
      request.request_class = config.classes[0].name;
      request.model = ModelName("model");
      request.arrived = now;
      const Stopwatch stopwatch;
      dispatcher.Submit(request, now);
      submit_us.push_back(stopwatch.Microseconds());
      now += std::chrono::milliseconds(100);
      if (i >= kOpenRequests) {
        policy::AttemptResult result;
        result.request = RequestId("r" + std::to_string(i - kOpenRequests));
        result.attempt = 1;
        result.verdict = Verdict::kRan;
        result.output_tokens = 376;
        dispatcher.FirstToken(result.request, now);
        dispatcher.Finish(result, now);
      }
    }
    std::sort(submit_us.begin(), submit_us.end());
    PrintFigure("choice-p50", upstreams, submit_us[kRequests / 2], "us");
    PrintFigure("choice-p99", upstreams, submit_us[kRequests * 99 / 100], "us");
  }
}

/// @brief Entries that gossip with each other in this process, with simulated
/// time.
class GossipCluster {
 public:
  GossipCluster(std::size_t entries, std::size_t upstreams)
      : upstream_count_(upstreams) {
    for (std::size_t i = 0; i < entries; ++i) {
      membership::GossipOptions options;
      options.self = EntryId(i);
      options.failure_domain = DomainOf(i);
      options.incarnation = 1;
      options.seed = i + 1;
      for (std::size_t j = 0; j < entries; ++j) {
        if (j != i) {
          options.peers.push_back({EntryId(j), DomainOf(j)});
        }
      }
      entries_.push_back(
          std::make_unique<membership::Gossip>(std::move(options)));
    }
  }

  /// @brief Runs one gossip round of all entries. Each upstream sends an
  /// announcement to one entry in every second round.
  /// @note Announcements are not part of elapsed_us().
  void Round() {
    for (std::size_t u = round_ % 2; u < upstream_count_; u += 2) {
      Announcement announcement = MakeAnnouncement(u);
      announcement.sequence = round_ + 1;
      announcement.load.accepted_total = round_;
      announcement.draining = u == 0 && round_ >= drain_round_;
      // An upstream's successive announcements go to different entries.
      const std::size_t entry = (u * 7919 + round_ * 31) % entries_.size();
      CountExpired(entries_[entry]->Announce(announcement, now_));
    }
    std::vector<membership::GossipPush> pushes;
    const Stopwatch stopwatch;
    for (auto& entry : entries_) {
      auto round = entry->Tick(now_);
      CountExpired(round.events);
      std::move(round.pushes.begin(), round.pushes.end(),
                std::back_inserter(pushes));
    }
    for (const auto& push : pushes) {
      sent_bytes_ += protocol::Encode(push.message).size();
      CountExpired(entries_[EntryIndex(push.to)]->Receive(push.message, now_));
    }
    elapsed_us_ += stopwatch.Microseconds();
    now_ += kGossipPeriod;
    ++round_;
  }

  void ResetCounts() { sent_bytes_ = expired_upstreams_ = 0, elapsed_us_ = 0; }

  /// @brief Makes the first upstream announce from now on that it is draining.
  void StartDrain() { drain_round_ = round_; }

  /// @brief Number of entries that know that the first upstream is draining.
  std::size_t EntriesAwareOfDrain() const {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
          const auto* known =
              entry->directory().Find(MakeAnnouncement(0).instance);
          return known != nullptr && known->draining;
        }));
  }

  std::size_t entries() const { return entries_.size(); }
  /// @brief Encoded size of the messages sent, without framing.
  double sent_bytes() const { return static_cast<double>(sent_bytes_); }
  /// @brief Expired upstreams, counted once for each entry that removed them.
  double expired_upstreams() const {
    return static_cast<double>(expired_upstreams_);
  }
  /// @brief Wall-clock time of the gossip rounds, encoding included.
  double elapsed_us() const { return elapsed_us_; }

 private:
  static ProcessId EntryId(std::size_t i) {
    return ProcessId("entry-" + std::to_string(i));
  }
  static std::size_t EntryIndex(const ProcessId& process) {
    return std::stoul(process.str().substr(sizeof("entry-") - 1));
  }
  void CountExpired(const std::vector<membership::GossipEvent>& events) {
    expired_upstreams_ += static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [](const auto& event) {
          return std::holds_alternative<membership::UpstreamGone>(event);
        }));
  }

  std::size_t upstream_count_;
  std::vector<std::unique_ptr<membership::Gossip>> entries_;
  TimePoint now_{};
  std::size_t round_ = 0;
  std::size_t drain_round_ = SIZE_MAX;
  std::size_t sent_bytes_ = 0;
  std::size_t expired_upstreams_ = 0;
  double elapsed_us_ = 0;
};

/// @brief Measures gossip per entry: memory, traffic, processor time and
/// upstreams that expired although they were still announcing, then the time
/// until every entry knows that an upstream is draining.
/// @note The processor figure is derived from wall-clock time. The drain figure
/// is the limit of kMaxDrainRounds if some entry does not know by then.
void MeasureGossip(std::size_t entries, std::size_t upstreams) {
  constexpr int kWarmUpRounds = 40;
  constexpr int kRounds = 40;
  constexpr int kMaxDrainRounds = 60;
  const std::size_t bytes_before = HeapBytes();
  GossipCluster cluster(entries, upstreams);
  for (int i = 0; i < kWarmUpRounds; ++i) {
    cluster.Round();
  }
  const auto entry_count = static_cast<double>(entries);
  PrintFigure("gossip-memory", entries,
              static_cast<double>(HeapBytes() - bytes_before) / entry_count,
              "B/entry");
  cluster.ResetCounts();
  for (int i = 0; i < kRounds; ++i) {
    cluster.Round();
  }
  const double seconds = static_cast<double>(kRounds) / kRoundsPerSecond;
  PrintFigure("gossip-bytes-sent", entries,
              cluster.sent_bytes() / entry_count / seconds, "B/s/entry");
  PrintFigure("gossip-processor", entries,
              cluster.elapsed_us() / entry_count / seconds / 10000,
              "% of a core");
  PrintFigure("gossip-false-expiries", entries,
              cluster.expired_upstreams() / entry_count / seconds, "1/s/entry");
  cluster.StartDrain();
  int rounds = 0;
  while (cluster.EntriesAwareOfDrain() < entries && rounds < kMaxDrainRounds) {
    cluster.Round();
    ++rounds;
  }
  PrintFigure("drain-known-everywhere", entries,
              static_cast<double>(rounds) / kRoundsPerSecond, "s");
}

/// @brief Size in bytes of a message on the wire, with envelope and length
/// prefix.
std::size_t FrameSize(protocol::MessageKind kind, std::string body) {
  protocol::Envelope envelope;
  envelope.kind = kind;
  envelope.request = 123456;
  envelope.body = std::move(body);
  port::LogicalClock clock;
  // A large clock value, whose encoding takes more bytes than that of 0.
  clock.Merge(1U << 20U);
  constexpr std::size_t kLengthBytes = 4;
  return adapter::detail::EncodeStamped(envelope, &clock).size() + kLengthBytes;
}

/// @brief Prints the sizes of status and configuration messages.
void MeasureMessageSizes() {
  protocol::EntryStatus status;
  status.process = ProcessId("entry-123");
  status.vm = VmName("vm-entry-123");
  status.failure_domain = DomainOf(3);
  status.in_force = ConfigVersion{200000};
  status.heartbeat = 1000000;
  protocol::ControlStatus control;
  control.term = 1000;
  control.leader_endpoint = "10.10.10.10:7101";
  control.committed = status.in_force;
  control.heartbeat = status.heartbeat;
  PrintFigure("entry-status", 1,
              static_cast<double>(FrameSize(protocol::MessageKind::kEntryStatus,
                                            protocol::Encode(status))),
              "B");
  PrintFigure(
      "control-status", 1,
      static_cast<double>(FrameSize(protocol::MessageKind::kControlStatus,
                                    protocol::Encode(control))),
      "B");
  for (const std::size_t accounts : {1000U, 5000U, 25000U}) {
    const protocol::ConfigPush push{status.in_force, DeclarationText(accounts)};
    PrintFigure(
        "config-push", accounts,
        static_cast<double>(FrameSize(protocol::MessageKind::kConfigPush,
                                      protocol::Encode(push))),
        "B");
  }
}

/// @brief Measures the time of counting one finished request.
void MeasureMetricsCount() {
  adapter::Metrics metrics;
  adapter::RequestFinished finished;
  finished.request_class = RequestClassName("class-0");
  finished.first_token = std::chrono::milliseconds(300);
  finished.met_target = true;
  constexpr int kIterations = 200000;
  const Stopwatch stopwatch;
  for (int i = 0; i < kIterations; ++i) {
    metrics.Count(finished);
  }
  PrintFigure("metrics-count", 1, stopwatch.Microseconds() / kIterations, "us");
}

}  // namespace
}  // namespace rattanward

int main() {
  rattanward::MeasureConfigMemory();
  rattanward::MeasureDeclarations();
  rattanward::MeasureDispatcher();
  rattanward::MeasureMessageSizes();
  rattanward::MeasureMetricsCount();
  rattanward::MeasureGossip(9, 21);
  rattanward::MeasureGossip(27, 48);
  rattanward::MeasureGossip(81, 144);
  rattanward::MeasureGossip(340, 600);
  return 0;
}
