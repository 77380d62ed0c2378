// Case 8: a request that crashes each runner that begins to run it, while
// another request with the same path, caller and (empty) body is answered.
// Case 9 (FEW=1): the same with a body that no other request has, in a deployment
// with four runners.
#include "rig.h"

using namespace rig;

namespace {
constexpr double kContact = 3.0;  // bound contact_ms
constexpr double kBack = 3.0;     // "the runner is back after some seconds"
constexpr double kAgain = 2.5;    // the client comes again
constexpr double kLasts = 50.0;
constexpr std::size_t kAllowed = 3;  // "in more than three retries"
}  // namespace

int main(int argc, char** argv) {
  OpenRecord(argc, argv);
  const bool trouble = Trouble();
  // For comparison: the same with a body of two bytes, which the GET lacks.
  const char* compare = std::getenv("COMPARE");
  const bool few = std::getenv("FEW") != nullptr && std::string(std::getenv("FEW")) == "1";
  const std::string body =
      few || (compare != nullptr && std::string(compare) == "1") ? "{}" : "";
  // FEW_OTHERS: for comparison, how many runners of another service there are.
  const char* others = std::getenv("FEW_OTHERS");
  const int desks = few ? 3 : 6;
  const int all_runners = desks + (!few ? 4 : others != nullptr ? std::atoi(others) : 1);
  Deployment d{Options{}};
  std::mutex mutex;
  int crashes = 0;
  double third = -1;
  std::set<std::string> reached;
  std::set<std::string> late;
  int broken_off = 0;
  const auto behave = [&](Runner& runner, const Runner::Call& call) {
    const Message& m = *call.request;
    const std::string attempt = m.Field("x-attempt-id");
    Line("runner %s begins %s: %s", runner.id().c_str(), attempt.c_str(), m.first.c_str());
    if (m.Method() == "DELETE" && trouble) {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        reached.insert(attempt);
        if (third > 0 && Now() > third + kContact) {
          late.insert(attempt);
          Line("LATE: %s reaches a runner %.1f s after the third crash", attempt.c_str(),
               Now() - third);
        }
        if (++crashes == 3) third = Now();
      }
      runner.Crash(kBack);
      return false;
    }
    Sleep(0.06);
    const bool sent = runner.Reply(call, 200, "done " + m.Target());
    if (!sent) {
      const std::lock_guard<std::mutex> lock(mutex);
      ++broken_off;
      Line("%s was at work on a runner that crashed", attempt.c_str());
    }
    return sent;
  };
  d.StartAll();
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < desks; ++i)
    runners.push_back(std::make_unique<Runner>(d, "desk", i, 6, behave));
  for (int i = desks; i < all_runners; ++i)
    runners.push_back(std::make_unique<Runner>(d, "other", i, 6, behave));
  const std::string text = ConfigurationText(
      1,
      Route("slots", "desk.example", "/slots/", "idempotent", "desk", 2, 1500) + "," +
          Route("book", "desk.example", "/book/", "non_idempotent", "desk", 1, 1500) + "," +
          Route("other", "desk.example", "/other/", "idempotent", "other", 2, 1500),
      Service("desk") + "," + Service("other"),
      R"({"name":"clinic","api_keys":["key-1"],"priority":1})");
  if (d.Configure(text, 20) < 0 || !d.AwaitReady(20)) return kCouldNotRun;
  Sleep(3);

  std::atomic<bool> stop{false};
  std::map<std::string, std::map<int, int>> answers;
  const auto ask = [&](const std::string& what, int entry, const std::string& method,
                       const std::string& path, const std::string& content) {
    const std::string id = NextId();
    const Answer a = Ask(d.EntryIp(entry), kFrontPort,
                         RequestText(method, path, "desk.example", id, "key-1", 3000, content),
                         3.5);
    Line("%s %s at entry %d: %d", what.c_str(), id.c_str(), entry, a.status);
    const std::lock_guard<std::mutex> lock(mutex);
    ++answers[what][a.status];
    return a;
  };
  std::vector<std::thread> clients;
  clients.emplace_back([&] {
    for (int n = 0; !stop; ++n) {
      ask("read", n % 3, "GET", "/slots/17", "");
      Sleep(0.3);
    }
  });
  for (int c = 0; c < 4; ++c) {
    clients.emplace_back([&, c] {
      for (int n = 0; !stop; ++n) {
        ask("booking", (c + n) % 3, "POST", "/book/" + std::to_string(n), "plug");
        Sleep(0.1);
      }
    });
  }
  const double until = Now() + kLasts;
  for (int n = 0; Now() < until; ++n) {
    ask("cancel", n % 3, "DELETE", "/slots/17", body);
    Sleep(kAgain);
  }
  stop = true;
  for (std::thread& client : clients) client.join();
  std::string all;
  for (const auto& [what, statuses] : answers) {
    all += "; " + what;
    for (const auto& [status, count] : statuses)
      all += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  const int own_ends = d.OwnEnds();
  Line("crashes %d, retries later than %.0f s after the third %zu, other requests broken off %d, "
       "own ends %d%s",
       crashes, kContact, late.size(), broken_off, own_ends, all.c_str());
  std::printf("crashes %d, late retries %zu, other requests broken off %d%s\n", crashes,
              late.size(), broken_off, all.c_str());
  return late.size() > kAllowed ? kBroken : kHeld;
}
