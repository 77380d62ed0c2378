// Case 6: one runner crashes while it works on reads, which may be repeated and last
// 0.8 s. The second runner's answer to one of them ends the entry.
#include "rig.h"

using namespace rig;

namespace {
constexpr double kWork = 0.8;
constexpr double kBack = 4.5;       // for_s of `srv_crash` in the site file
constexpr int kRunners = 6;         // one of six: a share of .167
constexpr int kClients = 8;         // for each entry
constexpr int kAllowed = 3;         // "more than three times"
}  // namespace

int main(int argc, char** argv) {
  OpenRecord(argc, argv);
  const bool trouble = Trouble();
  Deployment d{Options{}};
  std::mutex mutex;
  std::map<std::string, int> passed_on;  // attempt -> the runner that began it last
  const auto behave = [&](Runner& runner, const Runner::Call& call) {
    const std::string attempt = call.request->Field("x-attempt-id");
    {
      const std::lock_guard<std::mutex> lock(mutex);
      passed_on[attempt] = runner.index();
    }
    Line("runner %d begins %s", runner.index(), attempt.c_str());
    const double until = Now() + kWork;
    while (Now() < until) {
      Sleep(0.01);
      if (PeerGone(call.fd)) {  // drops the request when its connection closes
        Line("runner %d drops %s", runner.index(), attempt.c_str());
        return false;
      }
    }
    const bool sent = runner.Reply(call, 200, "report " + call.request->Target());
    Line("runner %d answers %s%s", runner.index(), attempt.c_str(), sent ? "" : ", not sent");
    return sent;
  };
  d.StartAll();
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i)
    runners.push_back(std::make_unique<Runner>(d, "desk", i, 12, behave));
  const std::string text = ConfigurationText(
      1, Route("report", "desk.example", "/report/", "idempotent", "desk", 2, 3000),
      Service("desk"), R"({"name":"port","api_keys":["key-1"],"priority":1})");
  if (d.Configure(text, 20) < 0 || !d.AwaitReady(20)) return kCouldNotRun;
  Sleep(3);

  std::atomic<bool> stop{false};
  std::atomic<int> next{0};
  std::atomic<int> answered{0};
  std::atomic<int> failed{0};
  std::map<int, int> lost;  // by entry
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients * d.options().entries; ++c) {
    clients.emplace_back([&, c] {
      const int entry = c % d.options().entries;
      int fd = -1;
      int before = 0;  // requests answered on this connection
      std::string in;
      Sleep(0.1 * c / d.options().entries);
      while (!stop) {
        if (fd < 0) {
          fd = Connect(d.EntryIp(entry), kFrontPort, 1000);
          before = 0;
          in.clear();
          if (fd < 0) {
            Sleep(0.2);
            continue;
          }
        }
        const std::string attempt = NextId();
        const std::string path = "/report/" + std::to_string(++next);
        Line("client %d sends %s %s to entry %d", c, attempt.c_str(), path.c_str(), entry);
        Message m;
        const bool sent = SendAll(
            fd, RequestText("GET", path, "desk.example", attempt, "key-1", 3000, ""));
        const End end = sent ? ReadMessage(fd, &in, &m, true, Now() + 3.5) : End::kReset;
        if (end == End::kWhole) {
          Line("client %d gets %d for %s", c, m.Status(), attempt.c_str());
          ++(m.Status() == 200 ? answered : failed);
          ++before;
          if (m.Field("connection") != "close") continue;
        } else if (end != End::kTimeout) {
          const std::lock_guard<std::mutex> lock(mutex);
          const auto run = passed_on.find(attempt);
          const bool sound = run != passed_on.end() && runners[run->second]->up();
          const bool counts = before > 0 && sound;
          lost[entry] += counts ? 1 : 0;
          Line("%sclient %d: connection to entry %d closed without an answer to %s%s%s",
               counts ? "LOST: " : "", c, entry, attempt.c_str(),
               before > 0 ? ", a kept connection" : "",
               sound ? ", at work on a sound runner" : "");
          ++failed;
        }
        close(fd);
        fd = -1;
      }
      if (fd >= 0) close(fd);
    });
  }
  int own_ends = 0;
  const auto watch = [&](double seconds) {  // the platform starts what ended again
    const double until = Now() + seconds;
    while (Now() < until) {
      own_ends += d.RestartEnded(0.5);
      Sleep(0.02);
    }
  };
  watch(4);
  if (trouble) runners[2]->Crash(kBack);
  watch(10);
  stop = true;
  for (std::thread& client : clients) client.join();
  own_ends += d.OwnEnds();
  int most = 0;
  std::string by_entry;
  for (const auto& [entry, count] : lost) {
    most = std::max(most, count);
    by_entry += " entry " + std::to_string(entry) + ": " + std::to_string(count);
  }
  Line("answered %d, others %d; lost:%s; processes that ended by themselves: %d", answered.load(),
       failed.load(), by_entry.c_str(), own_ends);
  std::printf("answered %d, others %d; lost:%s; own ends %d\n", answered.load(), failed.load(),
              by_entry.c_str(), own_ends);
  return most > kAllowed ? kBroken : kHeld;
}
