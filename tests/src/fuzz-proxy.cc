#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/proxy_entry.h"
#include "rattanward/http/parser.h"

namespace rattanward::proxy {
namespace {

using fakes::Contains;
using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::StreamHead;

/// What an upstream does after it has read a request.
enum class Script : std::uint8_t {
  kResponds,
  kRespondsToOtherFirst,
  kRespondsWithTrailingBytes,
  kRejectsAsNotRun,
  kUnmarked503,
  kReturns500,
  kUnsigned,
  kTruncates,
  kCloses,
  kResets,
  kCrashes,
  kSilent,
};

/// All scripts except kSilent, which is used only with the route that has a
/// short timeout.
const std::vector<Script> kImmediateScripts = {
    Script::kResponds,        Script::kRespondsToOtherFirst,
    Script::kRejectsAsNotRun, Script::kRespondsWithTrailingBytes,
    Script::kUnmarked503,     Script::kReturns500,
    Script::kUnsigned,        Script::kTruncates,
    Script::kCloses,          Script::kResets,
    Script::kCrashes};
const std::string kPayload = "0123456789";
const std::array<std::string, 3> kEvents = {"data: a\n\n", "data: b\n\n",
                                            "data: c\n\n"};

struct Scenario {
  std::string path;
  std::vector<Script> scripts;
  std::size_t cut = 0;
};

bool IsStream(const Scenario& scenario) {
  return scenario.path == "/stream/" || scenario.path == "/resume/";
}

std::string WholeResponse(const Scenario& scenario) {
  if (!IsStream(scenario)) {
    return MakeResponse("1", kPayload);
  }
  std::string stream = StreamHead("1");
  for (const std::string& event : kEvents) {
    stream += http::EncodeChunk(event);
  }
  return stream + std::string(http::kLastChunk);
}

/// Runs the upstreams' side of a scenario and counts the requests.
struct Oracle {
  Scenario scenario;
  std::size_t arrivals = 0;
  /// Number of requests for which it did not state that they did not run.
  std::size_t may_have_run = 0;
  std::size_t crashes = 0;
  /// An answer that waits until the entry knows of the crashes before it.
  std::function<void()> held_answer;

  void HandleRequest(fakes::LoopbackUpstream& upstream, LoopbackPeer& peer) {
    const Script script = arrivals < scenario.scripts.size()
                              ? scenario.scripts[arrivals]
                              : Script::kResponds;
    ++arrivals;
    may_have_run += script == Script::kRejectsAsNotRun ? 0 : 1;
    if (script == Script::kCrashes) {
      ++crashes;
      upstream.Stop();
      peer.Close(true);
    } else if (crashes > 0) {
      held_answer = [this, script, to = peer.shared_from_this()] {
        RunScript(script, *to);
      };
    } else {
      RunScript(script, peer);
    }
  }

  void Release(std::size_t witnessed) {
    if (held_answer && witnessed >= crashes) {
      std::exchange(held_answer, nullptr)();
    }
  }

  void RunScript(Script script, LoopbackPeer& peer) {
    const std::string whole = WholeResponse(scenario);
    switch (script) {
      case Script::kResponds:
        peer.Send(whole);
        break;
      case Script::kRespondsToOtherFirst:
        peer.Send(MakeResponse("0", "not yours") + whole);
        break;
      case Script::kRespondsWithTrailingBytes:
        peer.Send(whole + "stray");
        break;
      case Script::kRejectsAsNotRun:
        peer.Send(MakeResponse("1", "", "not-run: x\r\n", "503 X"));
        break;
      case Script::kUnmarked503:
        peer.Send(MakeResponse("1", "", "", "503 X"));
        break;
      case Script::kReturns500:
        peer.Send(MakeResponse("1", "failed", "signed: x\r\n", "500 X"));
        break;
      case Script::kUnsigned:
        peer.Send(MakeResponse("1", "stray", ""));
        break;
      case Script::kTruncates:
        peer.Send(whole.substr(0, scenario.cut % whole.size()));
        peer.Close();
        break;
      case Script::kCloses:
      case Script::kResets:
        peer.Close(script == Script::kResets);
        break;
      case Script::kCrashes:
      case Script::kSilent:
        break;
    }
  }
};

Scenario RandomScenario() {
  static const std::vector<std::string> kPaths = {
      "/safe/", "/once/", "/stream/", "/resume/", "/quick/"};
  Scenario scenario;
  scenario.path = *rc::gen::elementOf(kPaths);
  for (int i = 0; i < 3; ++i) {
    scenario.scripts.push_back(*rc::gen::elementOf(kImmediateScripts));
  }
  if (scenario.path == "/quick/" &&
      *rc::gen::elementOf(std::vector<int>{0, 1}) > 0) {
    scenario.scripts[0] = Script::kSilent;
  }
  scenario.cut =
      *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(1, 400));
  return scenario;
}

bool StatusImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// A response as the caller parses it.
struct Received {
  int status = 0;
  bool whole = false;
  std::string body;
};

Received ParseResponse(const std::string& bytes, bool closed) {
  http::ResponseParser parser({64U << 10U, 1U << 20U}, false);
  Received received;
  std::string_view rest = bytes;
  while (!rest.empty() && !parser.done()) {
    const auto taken = parser.Feed(rest);
    if (!taken || taken.value() == 0) {
      break;
    }
    rest.remove_prefix(taken.value());
    received.body += parser.TakeBody();
  }
  received.status = parser.head_done() ? parser.head().status : 0;
  received.whole =
      parser.done() || (closed && parser.head_done() && parser.FeedEof());
  return received;
}

/// Whether the body consists of the first events of the stream, complete and in
/// order.
bool IsStartOfStream(const std::string& body) {
  std::string all;
  if (body.empty()) {
    return true;
  }
  for (const std::string& event : kEvents) {
    all += event;
    if (body == all) {
      return true;
    }
  }
  return false;
}

void CheckResponse(const Oracle& oracle, const Received& received) {
  const Scenario& scenario = oracle.scenario;
  RC_ASSERT(received.status != 0);
  if (StatusImpliesNotRun(received.status)) {
    RC_ASSERT(oracle.may_have_run == 0);
  }
  if (received.status != 200) {
    RC_ASSERT(received.whole);
    return;
  }
  if (IsStream(scenario)) {
    RC_ASSERT(IsStartOfStream(received.body));
    const bool all = received.body == kEvents[0] + kEvents[1] + kEvents[2];
    RC_ASSERT(!received.whole || all);
  } else {
    RC_ASSERT(received.whole);
    RC_ASSERT(received.body == kPayload);
  }
}

void CheckRequestCount(const Oracle& oracle) {
  const Scenario& scenario = oracle.scenario;
  constexpr std::size_t kMaxAttempts = 2;
  RC_ASSERT(oracle.arrivals <= kMaxAttempts);
  if (scenario.path != "/safe/" && scenario.path != "/resume/") {
    RC_ASSERT(oracle.may_have_run <= 1);
  }
}

/// Several entries that learn of each other's crashes, as they do through
/// control. Each has its own upstreams, which crash on the request "poison".
class CrashingDeployment {
 public:
  CrashingDeployment() {
    constexpr int kUpstreamsOfEntry = 6;
    for (ProxyEntry& entry : entries_) {
      for (std::size_t i = 0; i < kUpstreamsOfEntry; ++i) {
        entry.AddUpstream(
            [this, &entry, i](LoopbackPeer& peer, const std::string& request) {
              Run(*entry.upstreams[i], peer, request);
            });
      }
    }
  }

  /// Sends a request to an entry and waits for the response.
  std::string Send(std::size_t index, const std::string& body) {
    ProxyEntry& entry = entries_.at(index);
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/once/", "1", body));
    entry.RunUntil([&] { return Contains(caller->received(), "HTTP/1.1 "); });
    return caller->received();
  }

  /// Waits until an entry has witnessed all crashes of its own upstreams.
  void AwaitWitness(std::size_t index) {
    const std::size_t crashes = crashes_of_[index];
    entries_.at(index).RunUntil(
        [&] { return entries_.at(index).witnesses.size() >= crashes; });
  }

  /// Sends each entry's witnessed crashes to all other entries.
  void ShareWitnesses() {
    for (std::size_t from = 0; from < entries_.size(); ++from) {
      for (protocol::CrashWitness witness : entries_.at(from).witnesses) {
        // Upstreams of different entries have the same ids here. Different
        // start times make them count as different upstreams.
        witness.born += 1000 * (from + 1);
        for (std::size_t to = 0; to < entries_.size(); ++to) {
          if (to != from) {
            entries_.at(to).data_path->RecordCrashes({witness});
          }
        }
      }
    }
  }

  std::size_t crashes() const {
    return crashes_of_[0] + crashes_of_[1] + crashes_of_[2];
  }

 private:
  void Run(fakes::LoopbackUpstream& upstream, LoopbackPeer& peer,
           const std::string& request) {
    if (!Contains(request, "poison")) {
      peer.Send(MakeResponse("1", kPayload));
      return;
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      for (const auto& own : entries_.at(i).upstreams) {
        crashes_of_[i] += own.get() == &upstream ? 1 : 0;
      }
    }
    upstream.Stop();
    peer.Close(true);
  }

  std::array<ProxyEntry, 3> entries_;
  std::array<std::size_t, 3> crashes_of_{};
};

}  // namespace

TEST_CASE("a request that crashes upstreams is refused at all entries") {
  constexpr std::size_t kCrashLimit = 3;
  for (unsigned seed = 1; seed <= 8; ++seed) {
    std::mt19937 random(seed);
    CrashingDeployment deployment;
    std::size_t requests_since_sharing = 0;
    for (int request = 0; request < 9; ++request) {
      const std::size_t entry = random() % 3;
      const bool must_be_rejected =
          deployment.crashes() >= kCrashLimit && requests_since_sharing == 0;
      const std::size_t crashes_before = deployment.crashes();
      const std::string response = deployment.Send(entry, "poison");
      deployment.AwaitWitness(entry);
      if (must_be_rejected) {
        // The request did not run, and the response says so with a time to
        // retry.
        CHECK(Contains(response, "HTTP/1.1 503"));
        CHECK(Contains(response, "Retry-After"));
        CHECK(deployment.crashes() == crashes_before);
      }
      requests_since_sharing =
          random() % 3 == 0 ? requests_since_sharing + 1 : 0;
      if (requests_since_sharing == 0) {
        deployment.ShareWitnesses();
      }
      CHECK(Contains(deployment.Send(random() % 3, "harmless"), "200 OK"));
    }
    // An entry can exceed the limit before it learns of the other crashes.
    CHECK(deployment.crashes() <= 2 * kCrashLimit);
  }
}

TEST_CASE("whatever fails, the status is correct and the response complete") {
  rc::check([] {
    Oracle oracle;
    oracle.scenario = RandomScenario();
    ProxyEntry entry;
    for (std::size_t i = 0; i < 3; ++i) {
      entry.AddUpstream([&, i](LoopbackPeer& peer, const std::string&) {
        oracle.HandleRequest(*entry.upstreams[i], peer);
      });
    }
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest(oracle.scenario.path, "1", "body"));
    const auto finished = [&] {
      oracle.Release(entry.witnesses.size());
      return entry.data_path->counters().arrived == 1 &&
             entry.data_path->idle();
    };
    RC_ASSERT(entry.RunUntil(finished));
    RC_ASSERT(entry.RunUntil([&] {
      return caller->ended() || ParseResponse(caller->received(), false).whole;
    }));
    CheckResponse(oracle, ParseResponse(caller->received(), caller->ended()));
    CheckRequestCount(oracle);
  });
}

}  // namespace rattanward::proxy
