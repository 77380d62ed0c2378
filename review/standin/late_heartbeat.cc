// A runner that has deregistered serves on for a while; all processes of the
// system are killed at once and come back; a heartbeat that the runner had sent
// before arrives late.
#include "harness.h"

namespace review {
namespace {

constexpr double kContactSeconds = 3.0;
constexpr double kDrainSeconds = 2.0;
constexpr double kLingerSeconds = 9.0;  // "at times many seconds"
constexpr double kLateSeconds = 4.0;    // "may arrive seconds late"

std::string Configuration() {
  return R"({"version":1,"routes":[{"name":"book","host":"site.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"desk","max_attempts":1,"anonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"port","api_keys":["key-of-port-0001"],"priority":1}]})";
}

}  // namespace

int RunLateHeartbeat() {
  Deployment d;
  d.Start();
  if (!d.Configure(Configuration())) {
    CannotRun("no configuration");
  }
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 4; ++i) {
    Runner::Options o;
    o.service = "desk";
    o.zone = d.net.Zone(i);
    o.ip = d.net.Server(i);
    o.id = "i-desk-" + std::to_string(i);
    o.slots = 6;
    o.queue = 24;
    o.work_ms = 60;
    o.beats_to = i % 3;
    runners.push_back(std::make_unique<Runner>(d, o));
  }
  if (!d.AwaitReady(30)) {
    CannotRun("entries are not ready");
  }
  std::atomic<bool> over{false};
  std::mutex mutex;
  std::map<std::string, std::pair<double, Answer>> sent;
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      while (!over) {
        ClientRequest r;
        r.path = "/book/plug";
        r.key = "key-of-port-0001";
        r.body = "booking";
        r.deadline_ms = 3000;
        const std::string attempt = AttemptId();
        const double at = Now();
        const Answer a =
            Ask(d.net.Edge(c % 3), d.net.front, r.Text(attempt), 4);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent[attempt] = {at, a};
        }
        SleepMs(a.status == 200 ? 20 : 200);
      }
    });
  }
  SleepMs(6000);
  Runner& leaving = *runners[0];
  // The runner's last heartbeat, "ready", is under way when it deregisters.
  const std::string late = leaving.SilenceAndTakeBeat();
  const double beat_sent = Now();
  leaving.Leave();
  const double acked = Now();
  SleepMs(300);
  if (Trouble()) {
    for (auto* list : {&d.controls, &d.entries}) {
      for (Process& p : *list) {
        d.Signal(p, SIGKILL);
      }
    }
    for (auto* list : {&d.controls, &d.entries}) {
      for (Process& p : *list) {
        waitpid(p.pid, nullptr, 0);
        d.SetNotFirstStart(p);
      }
    }
    SleepMs(500);
    for (auto* list : {&d.controls, &d.entries}) {
      for (Process& p : *list) {
        d.Spawn(&p);
      }
    }
  }
  const double back = Now();
  while (Now() < beat_sent + kLateSeconds) {
    SleepMs(10);
  }
  const Answer taken = leaving.SendLateBeat(late);
  Note("the heartbeat sent at %.3f arrives at %.3f and is answered %d",
       beat_sent, Now(), taken.status);
  while (Now() < acked + kDrainSeconds + kLingerSeconds) {
    SleepMs(20);
  }
  leaving.Crash(false);
  Note("runner %s exits", leaving.id().c_str());
  SleepMs(500);
  over = true;
  for (auto& t : clients) {
    t.join();
  }
  int broken = 0, lost = 0, early = 0;
  double first = 0, last = 0;
  const std::lock_guard<std::mutex> lock(arrivals_mutex);
  for (const Arrival& a : arrivals) {
    if (a.runner != leaving.id() || a.at <= acked + kDrainSeconds) {
      continue;
    }
    const auto& [at, answer] = sent[a.attempt];
    if (at < back + kContactSeconds) {
      ++early;
      continue;
    }
    first = broken == 0 ? a.at : first;
    last = a.at;
    ++broken;
    lost += answer.complete && answer.status == 200 ? 0 : 1;
  }
  Note(
      "deregistration acknowledged at %.3f; all processes back at %.3f; %zu "
      "requests sent; reached the runner over 2 s after the acknowledgement: "
      "%d from machines in touch (%.3f to %.3f), of which %d got no success; "
      "%d within 3 s after the restart",
      acked, back, sent.size(), broken, first, last, lost, early);
  return broken > 0 ? 1 : 0;
}

}  // namespace review
