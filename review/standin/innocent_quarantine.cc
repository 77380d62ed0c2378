// The runners of a service are replaced one after the other while they serve,
// among others, a request that is asked often and does no harm.
#include "harness.h"

namespace review {
namespace {

constexpr int kRunners = 6;
constexpr int kReleases = 3;
constexpr int kReplaced = 3;
constexpr double kBetweenSeconds = 12;
constexpr double kGapSeconds = 1.0;
constexpr double kDrainSeconds = 2.0;
constexpr double kLingerSeconds = 1.5;  // "and a little longer"
constexpr double kCalmSeconds = 5;

std::string Configuration() {
  return R"({"version":1,"routes":[
{"name":"guide","host":"site.example","path_prefix":"/guide/","route_kind":"streaming","timeout_ms":12000,"slo_ms":1000,"priority":0,"service":"llm","max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_slo_ms":250},
{"name":"digest","host":"site.example","path_prefix":"/digest/","route_kind":"streaming","timeout_ms":12000,"slo_ms":1500,"priority":2,"service":"llm","max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_slo_ms":1000}],
"services":[{"name":"llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_capacity_tokens":243078,"kv_bytes":163840,"link_mbps":740000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"port","api_keys":["key-of-port-0001"],"priority":1}]})";
}

struct Sent {
  double at = 0;
  std::string kind, attempt;  // kind: guide, digest
  bool hot = false;
  Answer answer;
};

}  // namespace

int RunInnocentQuarantine() {
  Deployment d;
  d.Start();
  if (!d.Configure(Configuration())) {
    CannotRun("no configuration");
  }
  std::vector<std::unique_ptr<Runner>> runners;
  const auto add = [&](int i) {
    Runner::Options o;
    o.service = "llm";
    o.zone = d.net.Zone(i);
    o.ip = d.net.Server(i);
    o.id = "i-llm-" + std::to_string(i);
    o.slots = 64;
    o.queue = 192;
    o.stream = true;
    o.events = 56;
    o.gap_ms = 110;
    o.beats_to = i % 3;
    runners.push_back(std::make_unique<Runner>(d, o));
  };
  for (int i = 0; i < kRunners; ++i) {
    add(i);
  }
  if (!d.AwaitReady(30)) {
    CannotRun("entries are not ready");
  }
  SleepMs(2000);
  std::atomic<bool> over{false};
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  // Sixteen guide requests in flight in each zone, three in ten of them the
  // same question of the same tenant, and four digests.
  for (int c = 0; c < 120; ++c) {
    clients.emplace_back([&, c] {
      std::mt19937 random(static_cast<unsigned>(c + 1));
      SleepMs(150 * (c % 40));
      while (!over) {
        const bool digest = c % 20 >= 16;
        Sent s;
        s.kind = digest ? "digest" : "guide";
        s.hot = !digest && random() % 100 < 28;
        s.attempt = AttemptId();
        ClientRequest r;
        r.key = "key-of-port-0001";
        r.deadline_ms = 12000;
        const unsigned own = s.hot ? 0x77 : 0x10000 + random() % 0xffffff;
        char more[256];
        if (digest) {
          r.path = "/digest/d";
          snprintf(more, sizeof more,
                   "X-Model: m\r\nX-Token-Usage: 9190,50\r\nX-Prefix-Hash: "
                   "d1:6300,%x:2890\r\n",
                   own);
        } else {
          r.path = "/guide/g";
          snprintf(more, sizeof more,
                   "X-Model: m\r\nX-Token-Usage: 715,100\r\nX-Prefix-Hash: "
                   "a1:172,%x:543\r\n",
                   own);
        }
        r.more = more;
        r.body = s.hot ? "Which papers do I need?"
                       : "question " + std::to_string(own);
        s.at = Now();
        s.answer = Ask(d.net.Edge(c % 3), d.net.front, r.Text(s.attempt), 14);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent.push_back(s);
        }
        SleepMs(s.answer.complete && s.answer.status == 200 ? 100 : 500);
      }
    });
  }
  SleepMs(10000);
  const auto count = [&](const std::string& kind, bool hot_only, double from,
                         double to, int* asked, int* served) {
    const std::lock_guard<std::mutex> lock(mutex);
    *asked = 0;
    *served = 0;
    for (const Sent& s : sent) {
      if (s.kind == kind && s.at >= from && s.at < to && (!hot_only || s.hot)) {
        ++*asked;
        *served += s.answer.complete && s.answer.status == 200 ? 1 : 0;
      }
    }
  };
  // Releases: the new one starts first, the old one drains, leaves and exits.
  const double release = Now();
  std::size_t oldest = 0;
  for (int wave = 0; wave < kReleases && Trouble(); ++wave) {
    const double begin = Now();
    std::vector<std::thread> leaving;
    for (int k = 0; k < kReplaced; ++k) {
      while (Now() < begin + k * kGapSeconds) {
        SleepMs(10);
      }
      Runner* old = runners[oldest++].get();
      add(static_cast<int>(runners.size()));
      SleepMs(300);
      leaving.emplace_back([old] {
        const double acked = old->Drain();
        while (Now() < acked + kDrainSeconds + kLingerSeconds) {
          SleepMs(10);
        }
        old->Leave();
        Note("runner %s exits, %d running", old->id().c_str(), old->running());
        old->Crash(false);
      });
    }
    for (auto& t : leaving) {
      t.join();
    }
    while (Now() < begin + kBetweenSeconds) {
      SleepMs(10);
    }
    int asked = 0, served = 0;
    count("guide", true, begin, Now(), &asked, &served);
    Note(
        "release %d: the question that is asked often, ended since: %d, %d "
        "served",
        wave + 1, asked, served);
  }
  while (Now() < release + kReleases * kBetweenSeconds) {
    SleepMs(10);
  }
  int before_asked = 0, before_served = 0;
  count("guide", true, 0, release, &before_asked, &before_served);
  Note(
      "the question that is asked often, before the release: %d asked, %d "
      "served",
      before_asked, before_served);
  const double calm = Now();
  SleepMs((kCalmSeconds + 13) * 1000);
  over = true;
  for (auto& t : clients) {
    t.join();
  }
  int guides = 0, guides_served = 0, hot = 0, hot_served = 0, digests = 0,
      digests_served = 0;
  count("guide", false, calm, calm + kCalmSeconds, &guides, &guides_served);
  count("guide", true, calm, calm + kCalmSeconds, &hot, &hot_served);
  count("digest", false, calm, calm + kCalmSeconds, &digests, &digests_served);
  std::map<int, int> statuses;
  for (const Sent& s : sent) {
    if (s.hot && s.at >= calm) {
      ++statuses[s.answer.status];
    }
  }
  for (const auto& [status, n] : statuses) {
    Note("the question that is asked often, since the calm: %d times status %d",
         n, status);
  }
  int begun = 0;
  {
    const std::lock_guard<std::mutex> lock(arrivals_mutex);
    for (const Arrival& a : arrivals) {
      begun += a.run && a.target == "/digest/d" && a.at >= calm &&
                       a.at < calm + kCalmSeconds
                   ? 1
                   : 0;
    }
  }
  const int nothing = guides - guides_served;
  Note(
      "five calm seconds, no runner starts or leaves: guide (urgent, 1,715 "
      "tokens): %d asked, %d got nothing (the often asked question: %d asked, "
      "%d served); digest (less urgent, 9,690 tokens): %d asked, %d begun",
      guides, nothing, hot, hot_served, digests, begun);
  const bool broken = nothing >= 10 && nothing * 12 > guides && begun > 0;
  Note("TIER %s", broken ? "broken" : "held");
  return broken ? 1 : 0;
}

}  // namespace review
