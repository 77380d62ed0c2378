// Case 6, SAME=1: a runner crashes once while it works on a booking. The same booking
// is made again, 3 s apart, at one entry after the other, on kept connections.
#include "rig.h"

using namespace rig;

namespace {
constexpr double kBack = 4.5;  // for_s of `srv_crash` in the site file
constexpr int kRunners = 6;    // one of six: a share of .167
constexpr int kTimes = 13;
constexpr int kAllowed = 3;  // "more than three times"
}  // namespace

int main(int argc, char** argv) {
  OpenRecord(argc, argv);
  const bool trouble = Trouble();
  Deployment d{Options{}};
  std::atomic<int> begun{0};
  std::atomic<int> ran{0};
  const auto behave = [&](Runner& runner, const Runner::Call& call) {
    const bool same = call.request->Target() == "/book/17";
    if (same && begun++ == 0 && trouble) {
      runner.Crash(kBack);
      return false;
    }
    Sleep(0.06);
    const bool sent = runner.Reply(call, 200, "booked");
    if (same && sent) {
      ++ran;
      Line("runner %s has run %s and answered 200", runner.id().c_str(),
           call.request->Field("x-attempt-id").c_str());
    }
    return sent;
  };
  d.StartAll();
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i)
    runners.push_back(std::make_unique<Runner>(d, "desk", i, 6, behave));
  const std::string text = ConfigurationText(
      1, Route("book", "desk.example", "/book/", "non_idempotent", "desk", 1, 1500),
      Service("desk"), R"({"name":"port","api_keys":["key-1"],"priority":1})");
  if (d.Configure(text, 20) < 0 || !d.AwaitReady(20)) return kCouldNotRun;
  Sleep(3);
  int own_ends = 0;
  std::map<int, int> lost;
  for (int n = 0; n < kTimes; ++n) {
    const int entry = n % d.options().entries;
    const int fd = Connect(d.EntryIp(entry), kFrontPort, 1000);
    std::string in;
    Message m;
    for (const std::string& path : {"/book/other" + std::to_string(n), std::string("/book/17")}) {
      const std::string id = NextId();
      const int ran_before = ran;
      const bool sent = fd >= 0 && SendAll(fd, RequestText("POST", path, "desk.example", id,
                                                           "key-1", 3000, "berth"));
      const End end = sent ? ReadMessage(fd, &in, &m, true, Now() + 3.5) : End::kReset;
      Line("%s as %s at entry %d: %s", path.c_str(), id.c_str(), entry,
           end == End::kWhole ? std::to_string(m.Status()).c_str() : "closed without an answer");
      if (path == "/book/17" && end != End::kWhole && end != End::kTimeout && ran > ran_before) {
        ++lost[entry];
        Line("LOST: it has run, on a kept connection");
      }
    }
    if (fd >= 0) close(fd);
    const double until = Now() + 3;
    while (Now() < until) {
      own_ends += d.RestartEnded(0.5);
      Sleep(0.02);
    }
  }
  int most = 0;
  std::string by_entry;
  for (const auto& [entry, count] : lost) {
    most = std::max(most, count);
    by_entry += " entry " + std::to_string(entry) + ": " + std::to_string(count);
  }
  Line("lost:%s; processes that ended by themselves: %d", by_entry.c_str(), own_ends);
  std::printf("lost:%s; own ends %d\n", by_entry.c_str(), own_ends);
  return most > kAllowed ? kBroken : kHeld;
}
