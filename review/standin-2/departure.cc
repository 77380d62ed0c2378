// Case 7: a runner that leaves by DELETE after all processes of the core were
// killed, and before control has heard of it again.
#include "rig.h"

using namespace rig;

namespace {
constexpr double kDrain = 2.0;     // bound drain_ms
constexpr double kCoreBack = 0.5;  // the pages: "back within a second"
constexpr double kCut = 5.0;       // kinds: for_s (5) of srv_cut
constexpr double kServes = 6.0;    // after the acknowledgement; drain_ms and longer
}  // namespace

int main(int argc, char** argv) {
  OpenRecord(argc, argv);
  const bool trouble = Trouble();
  Deployment d{Options{}};
  std::mutex mutex;
  std::string leaver;
  double acked = -1;
  int late = 0;
  double latest = 0;
  const auto behave = [&](Runner& runner, const Runner::Call& call) {
    const std::string id = runner.id();
    const std::string attempt = call.request->Field("x-attempt-id");
    {
      const std::lock_guard<std::mutex> lock(mutex);
      const double after = Now() - acked;
      if (id == leaver && acked > 0 && after > kDrain) {
        ++late;
        latest = after;
        Line("LATE: request %s reaches %s %.3f s after its leaving was acknowledged",
             attempt.c_str(), id.c_str(), after);
      }
    }
    Sleep(0.06);
    const bool sent = runner.Reply(call, 200, "done " + call.request->Target());
    Line("runner %s has run %s%s", id.c_str(), attempt.c_str(), sent ? "" : ", answer not sent");
    return sent;
  };
  d.StartAll();
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 5; ++i)
    runners.push_back(std::make_unique<Runner>(d, "desk", i, 6, behave));
  const std::string text = ConfigurationText(
      1, Route("book", "desk.example", "/book/", "non_idempotent", "desk", 1, 1500),
      Service("desk"), R"({"name":"port","api_keys":["key-1"],"priority":1})");
  if (d.Configure(text, 20) < 0 || !d.AwaitReady(20)) return kCouldNotRun;
  Sleep(3);  // all runners are known everywhere

  std::atomic<bool> stop{false};
  std::map<int, int> statuses;
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      for (int n = 0; !stop; ++n) {
        const int entry = (c + n) % d.options().entries;
        const std::string id = NextId();
        const Answer a = Ask(d.EntryIp(entry), kFrontPort,
                             RequestText("POST", "/book/" + std::to_string(n), "desk.example",
                                         id, "key-1", 3000, "plug"),
                             3.5);
        Line("booking %s at entry %d: %d", id.c_str(), entry, a.status);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++statuses[a.status];
        }
        Sleep(0.15);
      }
    });
  }
  Sleep(2);
  Runner& runner = *runners[1];
  if (trouble) {
    for (int i = 0; i < d.options().controls; ++i) d.Signal("core-" + std::to_string(i), SIGKILL);
    runner.Cut(true);
    for (int i = 0; i < d.options().controls; ++i) d.Await("core-" + std::to_string(i), 1);
    Sleep(kCoreBack);
    for (int i = 0; i < d.options().controls; ++i) d.Start("core-" + std::to_string(i));
    Sleep(kCut - kCoreBack);
    runner.Cut(false);
  } else {
    Sleep(kCut);
  }
  const double ack = runner.LeaveAtOnce(kServes);
  if (ack < 0) {
    Line("the leaving was never acknowledged");
  } else {
    const std::lock_guard<std::mutex> lock(mutex);
    leaver = runner.id();
    acked = ack;
  }
  Sleep(kServes + 3);
  stop = true;
  for (std::thread& client : clients) client.join();
  const int own_ends = d.OwnEnds();
  std::string answers;
  for (const auto& [status, count] : statuses)
    answers += " " + std::to_string(status) + ":" + std::to_string(count);
  Line("late requests %d, the last %.3f s after the acknowledgement; answers%s; own ends %d", late,
       latest, answers.c_str(), own_ends);
  std::printf("late %d, last after %.3f s; answers%s\n", late, latest, answers.c_str());
  if (ack < 0) return kCouldNotRun;
  return late > 0 ? kBroken : kHeld;
}
