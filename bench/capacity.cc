// Prints the slopes that docs/CAPACITY.md is worked out from, one line a
// figure: NAME SIZE VALUE UNIT. All parts run in this process.

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
constexpr int kRoundsASecond = 2;

void Print(const char* name, std::size_t size, double value, const char* unit) {
  std::printf("%-28s %7zu %12.3f %s\n", name, size, value, unit);
  std::fflush(stdout);
}

/// Bytes in use, large blocks included.
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

void Declarations() {
  for (const std::size_t accounts : {1000U, 5000U, 25000U}) {
    const std::string text = DeclarationText(accounts);
    Print("declaration-text", accounts, static_cast<double>(text.size()), "B");
    const Stopwatch watch;
    auto config = adapter::ParseConfigText(text, "declaration");
    Print("declaration-parse", accounts, watch.Microseconds() / 1000, "ms");
    if (!config) {
      std::printf("%s\n", config.error().message.c_str());
      return;
    }
    Config moved = std::move(config).value();
    malloc_trim(0);
    const std::size_t with_config = HeapBytes();
    const auto snapshot = std::make_unique<entry::ConfigSnapshot>(
        ConfigVersion{1}, std::move(moved));
    const Stopwatch look_up;
    constexpr int kLookUps = 2000;
    for (int i = 0; i < kLookUps; ++i) {
      snapshot->FindAccountByKey("account-7");
    }
    Print("account-look-up", accounts, look_up.Microseconds() / kLookUps, "us");
    Print("snapshot-index", accounts,
          static_cast<double>(HeapBytes() - with_config), "B");
  }
}

void ConfigMemory() {
  for (const std::size_t accounts : {1000U, 5000U, 25000U}) {
    const std::string text = DeclarationText(accounts);
    const std::size_t before = HeapBytes();
    auto config = adapter::ParseConfigText(text, "declaration");
    const auto held = std::make_unique<Config>(std::move(config).value());
    Print("config-memory", accounts, static_cast<double>(HeapBytes() - before),
          "B");
  }
}

void Dispatching() {
  const Config config =
      adapter::ParseConfigText(DeclarationText(1000), "declaration").value();
  for (const std::size_t upstreams : {60U, 200U, 600U}) {
    const std::size_t before = HeapBytes();
    policy::DispatcherOptions options;
    options.failure_domain = DomainOf(0);
    policy::Dispatcher dispatcher(options);
    TimePoint now{};
    dispatcher.SetConfig(config, now);
    for (std::size_t i = 0; i < upstreams; ++i) {
      dispatcher.UpstreamChanged(MakeAnnouncement(i), now);
    }
    Print("dispatcher-memory", upstreams,
          static_cast<double>(HeapBytes() - before), "B");
    constexpr int kRequests = 20000;
    constexpr int kOpen = 120;
    std::vector<double> times;
    times.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      policy::RequestInfo request;
      request.id = RequestId("r" + std::to_string(i));
      request.account = config.accounts[static_cast<std::size_t>(i) % 1000].id;
      request.request_class = config.classes[0].name;
      request.model = ModelName("model");
      request.arrived = now;
      const Stopwatch watch;
      dispatcher.Submit(request, now);
      times.push_back(watch.Microseconds());
      now += std::chrono::milliseconds(100);
      if (i >= kOpen) {
        policy::AttemptResult result;
        result.request = RequestId("r" + std::to_string(i - kOpen));
        result.attempt = 1;
        result.verdict = Verdict::kRan;
        result.output_tokens = 376;
        dispatcher.FirstToken(result.request, now);
        dispatcher.Finish(result, now);
      }
    }
    std::sort(times.begin(), times.end());
    Print("choice-p50", upstreams, times[kRequests / 2], "us");
    Print("choice-p99", upstreams, times[kRequests * 99 / 100], "us");
  }
}

/// Entries that gossip with each other in this process.
class GossipField {
 public:
  GossipField(std::size_t entries, std::size_t upstreams)
      : upstreams_(upstreams) {
    for (std::size_t i = 0; i < entries; ++i) {
      membership::GossipOptions options;
      options.self = Name(i);
      options.failure_domain = DomainOf(i);
      options.incarnation = 1;
      options.seed = i + 1;
      for (std::size_t j = 0; j < entries; ++j) {
        if (j != i) {
          options.peers.push_back({Name(j), DomainOf(j)});
        }
      }
      entries_.push_back(
          std::make_unique<membership::Gossip>(std::move(options)));
    }
  }

  /// One round of all entries; each upstream announces every second round.
  void Round() {
    for (std::size_t u = round_ % 2; u < upstreams_; u += 2) {
      Announcement announcement = MakeAnnouncement(u);
      announcement.sequence = round_ + 1;
      announcement.load.accepted_total = round_;
      announcement.draining = u == 0 && round_ >= drain_round_;
      const std::size_t entry = (u * 7919 + round_ * 31) % entries_.size();
      Count(entries_[entry]->Announce(announcement, now_));
    }
    std::vector<membership::GossipPush> pushes;
    const Stopwatch watch;
    for (auto& entry : entries_) {
      auto round = entry->Tick(now_);
      Count(round.events);
      std::move(round.pushes.begin(), round.pushes.end(),
                std::back_inserter(pushes));
    }
    for (const auto& push : pushes) {
      bytes_ += protocol::Encode(push.message).size();
      Count(entries_[Index(push.to)]->Receive(push.message, now_));
    }
    microseconds_ += watch.Microseconds();
    now_ += kGossipPeriod;
    ++round_;
  }

  void ResetCounts() { bytes_ = gone_ = 0, microseconds_ = 0; }
  void DrainFirst() { drain_round_ = round_; }

  /// Entries that know that the first upstream drains.
  std::size_t KnowDrain() const {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
          const auto* known =
              entry->directory().Find(MakeAnnouncement(0).instance);
          return known != nullptr && known->draining;
        }));
  }

  std::size_t entries() const { return entries_.size(); }
  double bytes() const { return static_cast<double>(bytes_); }
  double gone() const { return static_cast<double>(gone_); }
  double microseconds() const { return microseconds_; }

 private:
  static ProcessId Name(std::size_t i) {
    return ProcessId("entry-" + std::to_string(i));
  }
  static std::size_t Index(const ProcessId& process) {
    return std::stoul(process.str().substr(sizeof("entry-") - 1));
  }
  void Count(const std::vector<membership::GossipEvent>& events) {
    gone_ += static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [](const auto& event) {
          return std::holds_alternative<membership::UpstreamGone>(event);
        }));
  }

  std::size_t upstreams_;
  std::vector<std::unique_ptr<membership::Gossip>> entries_;
  TimePoint now_{};
  std::size_t round_ = 0;
  std::size_t drain_round_ = SIZE_MAX;
  std::size_t bytes_ = 0;
  std::size_t gone_ = 0;
  double microseconds_ = 0;
};

void GossipAt(std::size_t entries, std::size_t upstreams) {
  constexpr int kWarmUpRounds = 40;
  constexpr int kRounds = 40;
  constexpr int kMaxDrainRounds = 60;
  const std::size_t before = HeapBytes();
  GossipField field(entries, upstreams);
  for (int i = 0; i < kWarmUpRounds; ++i) {
    field.Round();
  }
  const auto per_entry = static_cast<double>(entries);
  Print("gossip-memory", entries,
        static_cast<double>(HeapBytes() - before) / per_entry, "B/entry");
  field.ResetCounts();
  for (int i = 0; i < kRounds; ++i) {
    field.Round();
  }
  const double seconds = static_cast<double>(kRounds) / kRoundsASecond;
  Print("gossip-bytes-sent", entries, field.bytes() / per_entry / seconds,
        "B/s/entry");
  Print("gossip-processor", entries,
        field.microseconds() / per_entry / seconds / 10000, "% of a core");
  Print("gossip-false-expiries", entries, field.gone() / per_entry / seconds,
        "1/s/entry");
  field.DrainFirst();
  int rounds = 0;
  while (field.KnowDrain() < entries && rounds < kMaxDrainRounds) {
    field.Round();
    ++rounds;
  }
  Print("drain-known-everywhere", entries,
        static_cast<double>(rounds) / kRoundsASecond, "s");
}

std::size_t FrameBytes(protocol::MessageKind kind, std::string body) {
  protocol::Envelope envelope;
  envelope.kind = kind;
  envelope.request = 123456;
  envelope.body = std::move(body);
  port::LogicalClock clock;
  clock.Merge(1U << 20U);
  constexpr std::size_t kLengthBytes = 4;
  return adapter::detail::EncodeStamped(envelope, &clock).size() + kLengthBytes;
}

void Messages() {
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
  Print("entry-status", 1,
        static_cast<double>(FrameBytes(protocol::MessageKind::kEntryStatus,
                                       protocol::Encode(status))),
        "B");
  Print("control-status", 1,
        static_cast<double>(FrameBytes(protocol::MessageKind::kControlStatus,
                                       protocol::Encode(control))),
        "B");
  for (const std::size_t accounts : {1000U, 5000U, 25000U}) {
    const protocol::ConfigPush push{status.in_force, DeclarationText(accounts)};
    Print("config-push", accounts,
          static_cast<double>(FrameBytes(protocol::MessageKind::kConfigPush,
                                         protocol::Encode(push))),
          "B");
  }
}

void Counting() {
  adapter::Metrics metrics;
  adapter::RequestFinished finished;
  finished.request_class = RequestClassName("class-0");
  finished.first_token = std::chrono::milliseconds(300);
  finished.met_target = true;
  constexpr int kCounts = 200000;
  const Stopwatch watch;
  for (int i = 0; i < kCounts; ++i) {
    metrics.Count(finished);
  }
  Print("metrics-count", 1, watch.Microseconds() / kCounts, "us");
}

}  // namespace
}  // namespace rattanward

int main() {
  rattanward::ConfigMemory();
  rattanward::Declarations();
  rattanward::Dispatching();
  rattanward::Messages();
  rattanward::Counting();
  rattanward::GossipAt(9, 21);
  rattanward::GossipAt(27, 48);
  rattanward::GossipAt(81, 144);
  rattanward::GossipAt(340, 600);
  return 0;
}
