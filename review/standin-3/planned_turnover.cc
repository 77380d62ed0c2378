// Case: three control machines are replaced as planned, at the same moment.
//   planned-turnover PROGRAM RECORD TROUBLE [apart]
// apart: the old ones get SIGTERM 2 s apart.
#include "rig3.h"

using namespace rig3;

namespace {

constexpr double kCatchUp = 4.0;    // catch_up_s of the small deployments
constexpr double kHeadStart = 8.0;  // the successors run for this long before
constexpr double kRecover = 12.0;   // recover_s
const std::vector<int> kOld{101, 102, 103};
const std::vector<int> kStay{104, 105};
const std::vector<int> kNew{111, 112, 113};
const std::vector<int> kAfter{104, 105, 111, 112, 113};

std::string Configuration(int version) {
  const auto route = [&](const std::string& prefix, bool anonymous) {
    return R"({"name":"r-)" + prefix + R"(","host":"site.example","path_prefix":"/)" + prefix +
           R"(/","route_kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":0,"service":"desk","max_attempts":2,"anonymous":)" +
           (anonymous ? "true" : "false") + R"(,"sticky":false,"resumable":false})";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("open", true) + "," +
         route("keyed", false) + "," + route("v" + std::to_string(version), true) +
         R"(],"services":[{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"first","api_keys":["key-1"],"priority":1}]})";
}

// How many of `count` requests are served.
int Served(const System& system, Record& record, const std::string& prefix, int count, int* next) {
  int served = 0;
  Client client(system.Ip(21), system.ports().front);
  for (int i = 0; i < count; ++i) {
    const std::string id = prefix + "-" + std::to_string(++*next);
    Message answer;
    record.Add("send " + id);
    const int status =
        client.Ask("GET /" + prefix + "/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
                       "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n\r\n",
                   3000, &answer);
    record.Add("answer " + id + ": " + std::to_string(status));
    served += status == 200 ? 1 : 0;
    Sleep(0.05);
  }
  return served;
}

// The operator reads the configuration at all machines in turn until one
// answers with it. Returns its version; 0 if none does.
int Read(const System& system, Record& record, const std::vector<int>& controls, double seconds) {
  std::map<std::string, int> answers;
  int version = 0;
  const double end = Now() + seconds;
  for (std::size_t turn = 0; version == 0 && Now() < end; ++turn) {
    const int host = controls[turn % controls.size()];
    Message answer;
    const int status =
        Call(system.Ip(host), system.ports().control, "GET", "/-/configuration", "", &answer);
    ++answers["machine " + std::to_string(host) + ": " + std::to_string(status)];
    const std::size_t at = answer.body.find("\"version\"");
    if (status == 200 && at != std::string::npos) {
      version = std::atoi(answer.body.c_str() + answer.body.find(':', at) + 1);
    }
    Sleep(0.1);
  }
  for (const auto& [what, count] : answers) {
    record.Add("read at " + what + " (0: none, or sent on more than twice), " +
               std::to_string(count) + " times");
  }
  return version;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  const bool trouble = std::string(argv[3]) != "0";
  const bool apart = argc > 4 && std::string(argv[4]) == "apart";
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
    for (const int core : controls()) {
      system.Start("control", core, kOld, true);
    }
    system.Start("entry", 21, kOld, true);
    Runner runner(system, record, "i-desk", "desk", 41, controls);
    bool ready = system.Configure(Configuration(1), controls(), 20);
    for (double end = Now() + 15; ready && !(system.Ready(21) && runner.known());) {
      ready = Now() < end;
      Sleep(0.1);
    }
    Sleep(2);
    int next = 0;
    ready = ready && Served(system, record, "keyed", 5, &next) == 5;

    // The successors: new addresses, empty disks.
    for (const int core : kNew) {
      system.Start("control", core, {104, 105, 101}, false);
      record.Add("start control machine " + std::to_string(core));
    }
    const double began = Now();
    Sleep(kCatchUp);
    ready = ready && system.Configure(Configuration(2), controls(), 5);
    record.Add(std::string("version 2 ") + (ready ? "acknowledged" : "not acknowledged") +
               ", all eight control machines run");
    while (Now() - began < kHeadStart) Sleep(0.02);
    if (trouble) {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        cores = kAfter;
      }
      for (const int core : kOld) {
        record.Add("SIGTERM control machine " + std::to_string(core) + ", for good");
        system.Signal("core-" + std::to_string(core), SIGTERM);
        if (apart) Sleep(2);
      }
      for (const int core : kOld) system.Reap("core-" + std::to_string(core), 8);
      record.Add("the old machines have ended");
      // The settings of those that stay name machines that run.
      for (const int core : kAfter) system.WriteSettings("control", core, {104, 111, 112}, false);
      system.WriteSettings("entry", 21, {104, 111, 112}, false);
    }
    Sleep(kRecover + 8);
    const int version = Read(system, record, controls(), 15);
    const int keyed = Served(system, record, "keyed", 20, &next);
    const int open = Served(system, record, "open", 20, &next);
    const bool changed = system.Configure(Configuration(3), controls(), 10);
    int running = 0;
    for (const int core : controls()) {
      running += waitpid(system.Pid("core-" + std::to_string(core)), nullptr, WNOHANG) == 0 ? 1 : 0;
    }
    record.Add(std::to_string(running) + " of " + std::to_string(controls().size()) +
               " control machines run; version read back: " + std::to_string(version) +
               " (0: none in 15 s)");
    record.Add("served: keyed " + std::to_string(keyed) + " of 20, open " + std::to_string(open) +
               " of 20; version 3 " + (changed ? "acknowledged" : "not acknowledged in 10 s"));
    if (ready && running == static_cast<int>(controls().size())) {
      result = version == 2 && keyed == 20 ? 0 : 1;
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
