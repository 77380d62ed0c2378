// Case 10: a request that crashes runners is held back; all processes are killed
// and start again; the request comes again and reaches runners as before.
#include "rig.h"

using namespace rig;

namespace {
constexpr double kContact = 3.0;  // bound contact_ms
constexpr double kBack = 4.0;     // "the runner is back after some seconds"
constexpr double kAgain = 0.2;    // the client comes again, at any machine
constexpr double kDown = 0.5;     // "back within a second"
constexpr std::size_t kAllowed = 3;  // "in more than three retries"
}  // namespace

int main(int argc, char** argv) {
  OpenRecord(argc, argv);
  const bool trouble = Trouble();
  Deployment d{Options{}};
  std::mutex mutex;
  int crashes = 0;
  double third = -1;
  std::set<std::string> late;
  const auto behave = [&](Runner& runner, const Runner::Call& call) {
    const Message& m = *call.request;
    const std::string attempt = m.Field("x-attempt-id");
    if (m.Target() == "/book/17") {
      Line("runner %s begins %s", runner.id().c_str(), attempt.c_str());
      {
        const std::lock_guard<std::mutex> lock(mutex);
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
    return runner.Reply(call, 200, "done " + m.Target());
  };
  d.StartAll();
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 12; ++i)
    runners.push_back(std::make_unique<Runner>(d, "desk", i, 6, behave));
  for (int i = 12; i < 16; ++i)
    runners.push_back(std::make_unique<Runner>(d, "other", i, 6, behave));
  const std::string text = ConfigurationText(
      1,
      Route("book", "desk.example", "/book/", "non_idempotent", "desk", 1, 1500) + "," +
          Route("other", "desk.example", "/other/", "idempotent", "other", 2, 1500),
      Service("desk") + "," + Service("other"),
      R"({"name":"port","api_keys":["key-1"],"priority":1})");
  if (d.Configure(text, 20) < 0 || !d.AwaitReady(20)) return kCouldNotRun;
  Sleep(3);

  std::atomic<bool> stop{false};
  std::thread others([&] {  // sound requests beside it
    for (int n = 0; !stop; ++n) {
      const Answer a = Ask(d.EntryIp(n % 3), kFrontPort,
                           RequestText("POST", "/book/x" + std::to_string(n), "desk.example",
                                       NextId(), "key-1", 3000, "plug"),
                           3.5);
      Line("sound request %d: %d", n, a.status);
      Sleep(0.2);
    }
  });
  int n = 0;
  std::map<int, int> statuses;
  const auto come = [&](double seconds) {
    const double until = Now() + seconds;
    statuses.clear();
    for (; Now() < until; ++n) {
      const std::string id = NextId();
      const Answer a = Ask(d.EntryIp(n % 3), kFrontPort,
                           RequestText("POST", "/book/17", "desk.example", id, "key-1", 3000,
                                       "berth 7"),
                           3.5);
      Line("the request comes as %s at entry %d: %d", id.c_str(), n % 3, a.status);
      ++statuses[a.status];
      Sleep(kAgain);
    }
  };
  come(6);
  const int before = crashes;
  const bool held_back = statuses[503] > 0;
  Sleep(6);
  if (trouble) {
    std::vector<std::string> all;
    for (int i = 0; i < d.options().controls; ++i) all.push_back("core-" + std::to_string(i));
    for (int i = 0; i < d.options().entries; ++i) all.push_back("edge-" + std::to_string(i));
    for (const std::string& name : all) d.Signal(name, SIGKILL);
    for (const std::string& name : all) d.Await(name, 1);
    Sleep(kDown);
    for (const std::string& name : all) d.Start(name);
    if (!d.AwaitReady(20)) return kCouldNotRun;
  }
  Sleep(kContact + 3);
  come(6);
  stop = true;
  others.join();
  const int own_ends = d.OwnEnds();
  Line("crashes before %d, after %d; late retries %zu; own ends %d", before, crashes - before,
       late.size(), own_ends);
  std::printf("crashes before %d, after %d; late retries %zu; own ends %d\n", before,
              crashes - before, late.size(), own_ends);
  if (!held_back) return kCouldNotRun;
  return late.size() > kAllowed ? kBroken : kHeld;
}
