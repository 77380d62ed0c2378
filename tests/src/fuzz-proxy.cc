#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/proxy_entry.h"
#include "rattanward/http/parser.h"

namespace rattanward::proxy {
namespace {

using fakes::Answer;
using fakes::Has;
using fakes::LoopbackPeer;
using fakes::ProxyEntry;
using fakes::Request;
using fakes::StreamHead;

/// What an upstream does with one request that it has read.
enum class Script : std::uint8_t {
  kAnswers,
  kAnswersAnotherFirst,
  kAnswersAndSendsMore,
  kRefuses,
  kBare503,
  kFails,
  kUnsigned,
  kCutAnywhere,
  kCloses,
  kResets,
  kSilent,
};

/// All but silence, which only the route that gives up soon can wait for.
const std::vector<Script> kQuickScripts = {
    Script::kAnswers,  Script::kAnswersAnotherFirst,
    Script::kRefuses,  Script::kAnswersAndSendsMore,
    Script::kBare503,  Script::kFails,
    Script::kUnsigned, Script::kCutAnywhere,
    Script::kCloses,   Script::kResets};
const std::string kPayload = "0123456789";
const std::array<std::string, 3> kEvents = {"data: a\n\n", "data: b\n\n",
                                            "data: c\n\n"};

struct Play {
  std::string path;
  std::vector<Script> scripts;
  std::size_t cut = 0;
};

bool Streams(const Play& play) {
  return play.path == "/stream/" || play.path == "/resume/";
}

std::string WholeAnswer(const Play& play) {
  if (!Streams(play)) {
    return Answer("1", kPayload);
  }
  std::string stream = StreamHead("1");
  for (const std::string& event : kEvents) {
    stream += http::EncodeChunk(event);
  }
  return stream + std::string(http::kLastChunk);
}

/// An upstream of a play, and what it was asked.
struct Oracle {
  Play play;
  std::size_t arrivals = 0;
  /// Arrivals of which it did not say that they did not run.
  std::size_t may_have_run = 0;

  void Take(LoopbackPeer& peer) {
    const Script script = arrivals < play.scripts.size()
                              ? play.scripts[arrivals]
                              : Script::kAnswers;
    ++arrivals;
    may_have_run += script == Script::kRefuses ? 0 : 1;
    Do(script, peer);
  }

  void Do(Script script, LoopbackPeer& peer) {
    const std::string whole = WholeAnswer(play);
    switch (script) {
      case Script::kAnswers:
        peer.Send(whole);
        break;
      case Script::kAnswersAnotherFirst:
        peer.Send(Answer("0", "not yours") + whole);
        break;
      case Script::kAnswersAndSendsMore:
        peer.Send(whole + "stray");
        break;
      case Script::kRefuses:
        peer.Send(Answer("1", "", "not-run: x\r\n", "503 X"));
        break;
      case Script::kBare503:
        peer.Send(Answer("1", "", "", "503 X"));
        break;
      case Script::kFails:
        peer.Send(Answer("1", "failed", "signed: x\r\n", "500 X"));
        break;
      case Script::kUnsigned:
        peer.Send(Answer("1", "stray", ""));
        break;
      case Script::kCutAnywhere:
        peer.Send(whole.substr(0, play.cut % whole.size()));
        peer.Close();
        break;
      case Script::kCloses:
      case Script::kResets:
        peer.Close(script == Script::kResets);
        break;
      case Script::kSilent:
        break;
    }
  }
};

Play AnyPlay() {
  static const std::vector<std::string> kPaths = {
      "/safe/", "/once/", "/stream/", "/resume/", "/quick/"};
  Play play;
  play.path = *rc::gen::elementOf(kPaths);
  for (int i = 0; i < 3; ++i) {
    play.scripts.push_back(*rc::gen::elementOf(kQuickScripts));
  }
  if (play.path == "/quick/" &&
      *rc::gen::elementOf(std::vector<int>{0, 1}) > 0) {
    play.scripts[0] = Script::kSilent;
  }
  play.cut =
      *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(1, 400));
  return play;
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// What the caller got, read as a caller would.
struct Received {
  int status = 0;
  bool whole = false;
  std::string body;
};

Received Read(const std::string& bytes, bool closed) {
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

/// Whether events are the first ones of the stream, whole and in order.
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

void CheckAnswer(const Oracle& oracle, const Received& received) {
  const Play& play = oracle.play;
  RC_ASSERT(received.status != 0);
  if (PromisesNotRun(received.status)) {
    RC_ASSERT(oracle.may_have_run == 0);
  }
  if (received.status != 200) {
    RC_ASSERT(received.whole);
    return;
  }
  if (Streams(play)) {
    RC_ASSERT(IsStartOfStream(received.body));
    const bool all = received.body == kEvents[0] + kEvents[1] + kEvents[2];
    RC_ASSERT(!received.whole || all);
  } else {
    RC_ASSERT(received.whole);
    RC_ASSERT(received.body == kPayload);
  }
}

void CheckArrivals(const Oracle& oracle) {
  const Play& play = oracle.play;
  constexpr std::size_t kMaxAttempts = 2;
  RC_ASSERT(oracle.arrivals <= kMaxAttempts);
  if (play.path != "/safe/" && play.path != "/resume/") {
    RC_ASSERT(oracle.may_have_run <= 1);
  }
}

/// Entries that tell each other of crashes, as control does for them; each has
/// upstreams of its own, which crash when they run the request "poison".
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

  /// Sends a request to an entry and waits for its answer.
  std::string Send(std::size_t index, const std::string& body) {
    ProxyEntry& entry = entries_.at(index);
    const auto caller = entry.Caller();
    caller->Send(Request("/once/", "1", body));
    entry.Until([&] { return Has(caller->received(), "HTTP/1.1 "); });
    return caller->received();
  }

  /// Waits until the crash of a request that broke off is told to its entry.
  void AwaitWitness(std::size_t index) {
    const std::size_t crashes = crashes_of_[index];
    entries_.at(index).Until(
        [&] { return entries_.at(index).witnesses.size() >= crashes; });
  }

  /// Tells every entry what the others have witnessed.
  void TellAll() {
    for (std::size_t from = 0; from < entries_.size(); ++from) {
      for (protocol::CrashWitness witness : entries_.at(from).witnesses) {
        // Upstreams of different entries are different ones.
        witness.born += 1000 * (from + 1);
        for (std::size_t to = 0; to < entries_.size(); ++to) {
          if (to != from) {
            entries_.at(to).data_path->TakeCrashes({witness});
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
    if (!Has(request, "poison")) {
      peer.Send(Answer("1", kPayload));
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

TEST_CASE("a request that crashes upstreams is stopped over all entries") {
  constexpr std::size_t kCrashLimit = 3;
  for (unsigned seed = 1; seed <= 8; ++seed) {
    std::mt19937 random(seed);
    CrashingDeployment deployment;
    std::size_t untold = 0;
    for (int request = 0; request < 9; ++request) {
      const std::size_t entry = random() % 3;
      const bool stopped = deployment.crashes() >= kCrashLimit && untold == 0;
      const std::size_t before = deployment.crashes();
      const std::string answer = deployment.Send(entry, "poison");
      deployment.AwaitWitness(entry);
      if (stopped) {
        // Nothing ran: the caller is told so, and when to come again.
        CHECK(Has(answer, "HTTP/1.1 503"));
        CHECK(Has(answer, "Retry-After"));
        CHECK(deployment.crashes() == before);
      }
      untold = random() % 3 == 0 ? untold + 1 : 0;
      if (untold == 0) {
        deployment.TellAll();
      }
      CHECK(Has(deployment.Send(random() % 3, "harmless"), "200 OK"));
    }
    // What an entry has not heard of yet, it can't refuse.
    CHECK(deployment.crashes() <= 2 * kCrashLimit);
  }
}

TEST_CASE("the status is true and the answer whole, wherever it breaks") {
  rc::check([] {
    Oracle oracle;
    oracle.play = AnyPlay();
    ProxyEntry entry;
    for (int i = 0; i < 3; ++i) {
      entry.AddUpstream(
          [&](LoopbackPeer& peer, const std::string&) { oracle.Take(peer); });
    }
    const auto caller = entry.Caller();
    caller->Send(Request(oracle.play.path, "1", "body"));
    const auto over = [&] {
      return entry.data_path->counters().arrived == 1 &&
             entry.data_path->idle();
    };
    RC_ASSERT(entry.Until(over));
    RC_ASSERT(entry.Until([&] {
      return caller->ended() || Read(caller->received(), false).whole;
    }));
    CheckAnswer(oracle, Read(caller->received(), caller->ended()));
    CheckArrivals(oracle);
  });
}

}  // namespace rattanward::proxy
