// The operator sends a configuration without tenants; clients then carry no
// keys.
#include "harness.h"

namespace review {
namespace {

std::string Configuration(int version, bool tenants) {
  return "{\"version\":" + std::to_string(version) +
         R"(,"routes":[{"name":"book","host":"site.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"desk","max_attempts":1,"anonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000})" +
         (tenants
              ? R"(,"tenants":[{"name":"port","api_keys":["key-of-port-0001"],"priority":1}]})"
              : "}");
}

}  // namespace

int RunNoTenants() {
  Deployment d;
  d.Start();
  if (!d.Configure(Configuration(1, true))) {
    CannotRun("no configuration");
  }
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 3; ++i) {
    Runner::Options o;
    o.service = "desk";
    o.zone = d.net.Zone(i);
    o.ip = d.net.Server(i);
    o.id = "i-desk-" + std::to_string(i);
    o.slots = 6;
    o.queue = 24;
    o.work_ms = 60;
    o.beats_to = i;
    runners.push_back(std::make_unique<Runner>(d, o));
  }
  if (!d.AwaitReady(30)) {
    CannotRun("entries are not ready");
  }
  SleepMs(4000);
  if (Trouble() && !d.Configure(Configuration(2, false))) {
    CannotRun("the change was not acknowledged");
  }
  SleepMs(6000);  // over config_apply_ms and contact_ms
  int asked = 0, served = 0, denied = 0, other = 0;
  const double until = Now() + 10;
  while (Now() < until) {
    for (int i = 0; i < 3; ++i) {
      ClientRequest r;
      r.path = "/book/plug";
      r.key = Trouble() ? "" : "key-of-port-0001";
      r.body = "booking";
      r.deadline_ms = 3000;
      const std::string attempt = AttemptId();
      const Answer a = Ask(d.net.Edge(i), d.net.front, r.Text(attempt), 4);
      Note("client: %s, answered %d", attempt.c_str(), a.status);
      ++asked;
      served += a.complete && a.status == 200 ? 1 : 0;
      denied += a.status == 401 || a.status == 403 || a.status == 404 ? 1 : 0;
      other += a.status != 200 && a.status != 401 && a.status != 403 &&
                       a.status != 404
                   ? 1
                   : 0;
    }
    SleepMs(200);
  }
  Note(
      "%d proper requests: %d served, %d denied with 401, 403 or 404, %d "
      "others",
      asked, served, denied, other);
  return denied > 5 + asked / 500 ? 1 : 0;
}

}  // namespace review
