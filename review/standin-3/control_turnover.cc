// Case: an entry outlives the replacement of many control machines.
//   control-turnover PROGRAM RECORD TROUBLE
#include "rig3.h"

using namespace rig3;

namespace {

constexpr int kRounds = 18;          // two machines of the core in each
constexpr double kCatchUp = 4.0;     // catch_up_s of the small deployments
constexpr double kRound = 4.3;

std::string Configuration(int version, const std::string& service) {
  const auto route = [&](const std::string& prefix, bool anonymous) {
    return R"({"name":"r-)" + prefix + R"(","host":"site.example","path_prefix":"/)" + prefix +
           R"(/","route_kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":0,"service":")" +
           service + R"(","max_attempts":2,"anonymous":)" + (anonymous ? "true" : "false") +
           R"(,"sticky":false,"resumable":false})";
  };
  const auto named = [](const std::string& name) {
    return R"({"name":")" + name +
           R"(","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false})";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("open", true) + "," +
         route("keyed", false) + R"(],"services":[)" + named("old-desk") + "," + named("new-desk") +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"first","api_keys":["key-1"],"priority":1}]})";
}

std::string Request(const std::string& prefix, const std::string& id, bool keyed) {
  return "GET /" + prefix + "/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 3000\r\n" + (keyed ? "Authorization: Bearer key-1\r\n" : "") + "\r\n";
}

struct Tally {
  int old_service = 0;
  int new_service = 0;
  int refused = 0;
  int other = 0;
};

Tally AskMany(Client& client, Record& record, const std::string& prefix, bool keyed, int count,
              int* next) {
  Tally tally;
  for (int i = 0; i < count; ++i) {
    const std::string id = prefix + "-" + std::to_string(++*next);
    Message answer;
    record.Add("send " + id);
    const int status = client.Ask(Request(prefix, id, keyed), 4000, &answer);
    const std::string by = answer.Field("x-server-signature");
    record.Add("answer " + id + ": " + std::to_string(status) + " " + by);
    if (status == 200 && by == "i-old") {
      ++tally.old_service;
    } else if (status == 200 && by == "i-new") {
      ++tally.new_service;
    } else if (status == 503) {
      ++tally.refused;
    } else {
      ++tally.other;
    }
    Sleep(0.05);
  }
  return tally;
}

std::string Text(const Tally& t) {
  return "by the old service " + std::to_string(t.old_service) + ", by the new one " +
         std::to_string(t.new_service) + ", 503 " + std::to_string(t.refused) + ", other " +
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
    std::mutex mutex;
    std::vector<int> cores{101, 102, 103, 104, 105};
    const auto controls = [&] {
      const std::lock_guard<std::mutex> lock(mutex);
      return cores;
    };
    for (const int core : cores) {
      system.Start("control", core, {101, 102, 103}, true);
    }
    system.Start("entry", 21, {101, 102, 103}, true);
    Runner old_runner(system, record, "i-old", "old-desk", 41, controls);
    Runner new_runner(system, record, "i-new", "new-desk", 42, controls);
    bool ready = system.Configure(Configuration(1, "old-desk"), cores, 20);
    record.Add(std::string("version 1 (old service) ") + (ready ? "acknowledged" : "not acknowledged"));
    for (double end = Now() + 15; ready && !(system.Ready(21) && old_runner.known() && new_runner.known());) {
      ready = Now() < end;
      Sleep(0.1);
    }
    Sleep(2);
    int next = 0;
    Client open_client(system.Ip(21), ports.front);
    Client keyed_client(system.Ip(21), ports.front);
    const Tally before = AskMany(open_client, record, "open", false, 5, &next);
    const Tally before_keyed = AskMany(keyed_client, record, "keyed", true, 5, &next);
    if (ready && before.old_service == 5 && before_keyed.old_service == 5) {
      // The clients go on, so that their connections are not idle for long.
      std::atomic<bool> turning{true};
      std::thread keeps([&] {
        while (turning) {
          Message answer;
          open_client.Ask(Request("open", "keep-" + std::to_string(++next), false), 4000, &answer);
          for (int i = 0; i < 20 && turning; ++i) Sleep(0.1);
        }
      });
      int host = 110;
      int version = 1;
      bool healthy = true;
      if (trouble) {
        // Planned: the new machine first, then SIGTERM for the old one. The new
        // ones have had catch_up_s when the old ones go; two at a time.
        for (int round = 0; round < kRounds && healthy; ++round) {
          const double began = Now();
          const std::vector<int> now = controls();
          const std::vector<int> seeds(now.end() - 3, now.end());
          const std::vector<int> fresh{host + 1, host + 2};
          host += 2;
          for (const int core : fresh) {
            system.Start("control", core, seeds, false);
            record.Add("start control machine " + std::to_string(core));
          }
          while (Now() - began < kCatchUp) Sleep(0.02);
          const std::vector<int> gone{now[0], now[1]};
          {
            const std::lock_guard<std::mutex> lock(mutex);
            cores.erase(cores.begin(), cores.begin() + 2);
            cores.insert(cores.end(), fresh.begin(), fresh.end());
          }
          for (const int core : gone) {
            system.Signal("core-" + std::to_string(core), SIGTERM);
            record.Add("SIGTERM control machine " + std::to_string(core) + ", for good");
          }
          for (const int core : gone) system.Reap("core-" + std::to_string(core), 3);
          while (Now() - began < kRound) Sleep(0.02);
        }
      } else {
        Sleep(kRounds * kRound);
      }
      Sleep(5);  // contact_ms and more: the core is calm and every machine is in touch
      turning = false;
      keeps.join();
      version += 1;
      const bool changed = system.Configure(Configuration(version, "new-desk"), controls(), 10);
      record.Add("version 2 (new service) " + std::string(changed ? "acknowledged" : "not acknowledged"));
      // config_apply_ms 2,000; the core was stable.
      Sleep(4);
      const Tally open = AskMany(open_client, record, "open", false, 30, &next);
      keyed_client.Close();  // idle for longer than clients keep a connection
      const Tally keyed = AskMany(keyed_client, record, "keyed", true, 10, &next);
      // A process of the same program that starts now shows what is in force.
      const std::vector<int> now = controls();
      system.Start("entry", 22, {now[0], now[1], now[2]}, false);
      for (double end = Now() + 6; Now() < end && !system.Ready(22);) Sleep(0.1);
      Client fresh(system.Ip(22), ports.front);
      const Tally other = AskMany(fresh, record, "open", false, 5, &next);
      record.Add("open route, 4 s after the acknowledgement: " + Text(open));
      record.Add("keyed route: " + Text(keyed));
      record.Add("open route at an entry that started now: " + Text(other));
      record.Add(std::string("the old entry says it is ready: ") + (system.Ready(21) ? "yes" : "no"));
      if (changed && other.new_service == 5) {
        result = open.old_service + keyed.old_service > 0 ? 1 : 0;
        if (!trouble && open.new_service + keyed.new_service != 40) result = 1;
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
