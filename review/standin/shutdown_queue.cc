// An entry gets SIGTERM while requests that it has read wait in its queue.
#include "harness.h"

namespace review {
namespace {

constexpr int kSlots = 4;
constexpr int kRequests = 32;
constexpr double kStreamSeconds = 2.8;

std::string Configuration() {
  return R"({"version":1,"routes":[{"name":"gate","host":"site.example","path_prefix":"/gate/",
"route_kind":"streaming","timeout_ms":12000,"slo_ms":1000,"priority":0,"service":"llm",
"max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_slo_ms":250}],
"services":[{"name":"llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
"engine":{"slots":4,"kv_capacity_tokens":243078,"kv_bytes":163840,"link_mbps":740000.0,
"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"port","api_keys":["key-of-port-0001"],"priority":1}]})";
}

struct Sent {
  std::string attempt;
  Answer answer;
};

}  // namespace

int RunShutdownQueue() {
  Deployment d;
  d.Start();
  if (!d.Configure(Configuration())) {
    CannotRun("no configuration");
  }
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 2; ++i) {
    Runner::Options o;
    o.service = "llm";
    o.zone = d.net.Zone(i);
    o.ip = d.net.Server(i);
    o.id = "i-llm-" + std::to_string(i);
    o.slots = kSlots;
    o.stream = true;
    o.events = 28;
    o.gap_ms = static_cast<int>(kStreamSeconds * 1000 / 28);
    runners.push_back(std::make_unique<Runner>(d, o));
  }
  if (!d.AwaitReady(30)) {
    CannotRun("entries are not ready");
  }
  SleepMs(5000);  // a calm time of more than contact_ms

  std::vector<Sent> sent(kRequests);
  std::vector<std::thread> clients;
  const double begin = Now();
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      Sent& s = sent[static_cast<std::size_t>(i)];
      s.attempt = AttemptId();
      ClientRequest r;
      r.path = "/gate/ask";
      r.key = "key-of-port-0001";
      r.body = "question " + std::to_string(i);
      char prefix[64];
      snprintf(prefix, sizeof prefix, "a1:103,%x:69", 0x1000 + i);
      r.more = "X-Model: m\r\nX-Token-Usage: 172,140\r\nX-Prefix-Hash: " +
               std::string(prefix) + "\r\n";
      Note("client sends %s to edge 1", s.attempt.c_str());
      s.answer = Ask(d.net.Edge(0), d.net.front, r.Text(s.attempt), 14);
      Note("client: %s ends after %.3f s, status %d, %s", s.attempt.c_str(),
           s.answer.ended_at - s.answer.sent_at, s.answer.status,
           s.answer.complete ? "whole" : "not whole");
    });
  }
  SleepMs(500);
  Note("edge 1: requests_open %.0f, requests_waiting %.0f",
       d.Metric(d.net.Edge(0), "rattanward_requests_open"),
       d.Metric(d.net.Edge(0), "rattanward_requests_waiting"));
  const double term = Now();
  if (Trouble()) {
    d.Signal(d.entries[0], SIGTERM);
  }
  while (Now() < term + 14) {
    d.Running(&d.entries[0]);
    SleepMs(20);
  }
  for (auto& t : clients) {
    t.join();
  }
  int served = 0, refused = 0, lost = 0, excused = 0, failed = 0;
  for (const Sent& s : sent) {
    bool at_runner = false;
    {
      const std::lock_guard<std::mutex> lock(arrivals_mutex);
      for (const Arrival& a : arrivals) {
        at_runner = at_runner || a.attempt == s.attempt;
      }
    }
    const Answer& a = s.answer;
    if (a.complete && a.status == 200) {
      ++served;
    } else if (a.complete) {
      ++(a.status == 503 ? refused : failed);
    } else if (a.timed_out || a.ended_at - a.sent_at >= 11.9) {
      ++failed;  // its deadline had passed
    } else if (at_runner) {
      ++excused;  // the runner was still at work on it
    } else if (a.ended_at - a.sent_at > 0.2) {
      ++lost;
      Note(
          "LOST: %s was read, never passed on, and its connection ended "
          "without an answer after %.3f s, %.3f s before its deadline",
          s.attempt.c_str(), a.ended_at - a.sent_at,
          12.0 - (a.ended_at - a.sent_at));
    }
  }
  Note(
      "%d requests: %d served, %d refused, %d ended at their deadline or by "
      "a failure, %d cut at a runner that was still at work, %d lost in the "
      "queue; %.1f s",
      kRequests, served, refused, failed, excused, lost, Now() - begin);
  return lost > 0 ? 1 : 0;
}

}  // namespace review
