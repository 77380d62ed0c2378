// Case: a heartbeat of another writer, for a service that isn't named here,
// bears the address of a sound runner.
//   foreign-heartbeat PROGRAM RECORD TROUBLE
#include "rig3.h"

using namespace rig3;

namespace {

std::string Configuration(int version, bool added) {
  const auto route = [](const std::string& prefix, const std::string& service) {
    return R"({"name":"r-)" + prefix + R"(","host":"site.example","path_prefix":"/)" + prefix +
           R"(/","route_kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":0,"service":")" +
           service + R"(","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false})";
  };
  const auto named = [](const std::string& name) {
    return R"({"name":")" + name +
           R"(","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false})";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("first", "desk") +
         (added ? "," + route("later", "yard") : "") + R"(],"services":[)" + named("desk") +
         (added ? "," + named("yard") : "") +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"first","api_keys":["key-1"],"priority":1}]})";
}

struct Tally {
  int served = 0;
  int refused = 0;
  int other = 0;
};

// Five clients at once, each request on a connection of its own.
Tally AskMany(const System& system, Record& record, const std::string& prefix, int count) {
  static std::atomic<int> next{0};
  std::atomic<int> left{count};
  std::mutex mutex;
  Tally tally;
  std::vector<std::thread> clients;
  for (int c = 0; c < 5; ++c) {
    clients.emplace_back([&] {
      while (left-- > 0) {
        const int number = ++next;
        Client client(system.Ip(21 + number % 2), system.ports().front);
        const std::string id = prefix + "-" + std::to_string(number);
        Message answer;
        record.Add("send " + id);
        const int status =
            client.Ask("GET /" + prefix + "/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
                           "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n\r\n",
                       3000, &answer);
        record.Add("answer " + id + ": " + std::to_string(status) + " " + answer.Field("x-server-signature"));
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++(status == 200 ? tally.served : status == 503 ? tally.refused : tally.other);
        }
        Sleep(0.05);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  return tally;
}

std::string Text(const Tally& t) {
  return "served " + std::to_string(t.served) + ", 503 " + std::to_string(t.refused) + ", other " +
         std::to_string(t.other);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  const bool trouble = std::string(argv[3]) != "0";
  const std::string folder = TemporaryFolder();
  const Ports ports;
  const std::string net = FreeNet(ports);
  if (folder.empty() || net.empty()) {
    return 2;
  }
  int result = 2;
  {
    System system(argv[1], folder, net, ports, 2);
    const std::vector<int> cores{101, 102, 103, 104, 105};
    const auto controls = [&] { return cores; };
    for (const int core : cores) system.Start("control", core, {101, 102, 103}, true);
    system.Start("entry", 21, {101, 102, 103}, true);
    system.Start("entry", 22, {101, 102, 103}, true);
    Runner first(system, record, "i-desk-1", "desk", 41, controls);
    Runner second(system, record, "i-desk-2", "desk", 42, controls);
    Runner later(system, record, "i-yard-1", "yard", 43, controls);
    Runner last(system, record, "i-yard-2", "yard", 44, controls);
    bool ready = system.Configure(Configuration(1, false), cores, 20);
    record.Add(std::string("version 1, one route: ") + (ready ? "acknowledged" : "not acknowledged"));
    for (double end = Now() + 15; ready && !(system.Ready(21) && system.Ready(22) && later.known() && last.known());) {
      ready = Now() < end;
      Sleep(0.1);
    }
    const bool added = ready && system.Configure(Configuration(2, true), cores, 10);
    record.Add(std::string("version 2, a route more: ") + (added ? "acknowledged" : "not acknowledged"));
    Sleep(4);
    const Tally before = AskMany(system, record, "later", 10);
    record.Add("before, the later route: " + Text(before));
    if (added && before.served == 10) {
      // One call for each runner of the later route, 1.2 s apart as heartbeats
      // come. Its service isn't named in any configuration; all else is whole.
      for (int i = 0; i < 2; ++i) {
        if (trouble) {
          const std::string body =
              R"({"service":"not-of-this-house","address":")" + system.Ip(43 + i) + ":" +
              std::to_string(ports.runner) + R"(","zone":"z)" + std::to_string((43 + i) % 3) +
              R"(","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":)" +
              std::to_string(UnixMs()) + "}";
          Message answer;
          const int status = Call(system.Ip(cores[static_cast<std::size_t>(i)]), ports.control, "PUT",
                                  "/-/instances/i-foreign-" + std::to_string(i), body, &answer);
          record.Add("foreign heartbeat " + body + " -> " + std::to_string(status));
        }
        Sleep(1.2);
      }
      Sleep(8);  // well beyond contact_ms; the runners go on beating meanwhile
      const Tally first_route = AskMany(system, record, "first", 60);
      const Tally later_route = AskMany(system, record, "later", 60);
      record.Add("the first route: " + Text(first_route));
      record.Add("the later route: " + Text(later_route));
      if (first_route.served >= 54) {
        // CONFIG: served less than a quarter as often as those on the first routes.
        result = 4 * later_route.served < first_route.served ? 1 : 0;
      }
    }
    record.Add("result " + std::to_string(result));
  }
  if (std::getenv("KEEP") == nullptr) {
    std::system(("rm -rf " + folder).c_str());
  } else {
    std::printf("%s\n", folder.c_str());
  }
  return result;
}
