// Two cases of a request that crashes each runner that begins to run it.
//   poison PROGRAM RECORD TROUBLE leave|query
// leave: its client leaves before the runner is down. query: it comes again with
// the same path, caller and body, and another query.
// TROUBLE=0: the request crashes nothing. COMPARE=1 in the environment: the
// client stays; the query is the same each time.
#include "rig3.h"

using namespace rig3;

namespace {

constexpr int kRunners = 9;
constexpr double kCrashAfter = 0.35;  // from the begin of the run, mode "leave"
constexpr double kLeaveAfter = 0.2;   // "half the objective": slo_ms is 400
constexpr double kBackAfter = 3.0;
constexpr double kPeriod = 2.0;
constexpr int kComes = 25;
constexpr double kContact = 3.0;

struct Crashes {
  std::mutex mutex;
  std::vector<double> crashed;          // when a runner went down
  std::vector<std::pair<double, std::string>> begun;  // runs of the request
};

// A runner that ends when it has run the request for a while, as a process does
// whose memory has run out. It doesn't watch whether a caller is still there.
class Fragile {
 public:
  Fragile(const System& system, Record& record, Crashes& crashes, int number,
          std::vector<int> controls, double crash_after)
      : system_(system),
        record_(record),
        crashes_(crashes),
        number_(number),
        controls_(std::move(controls)),
        crash_after_(crash_after) {
    life_ = std::thread([this] { Live(); });
  }
  ~Fragile() {
    ends_ = true;
    life_.join();
  }
  int runs() const { return runs_; }
  bool known() const { return known_; }

 private:
  struct Connection {
    int fd;
    std::thread thread;
  };
  void Live() {
    for (int start = 0; !ends_; ++start) {
      id_ = "i-" + std::to_string(number_) + "-" + std::to_string(start);
      born_ = UnixMs();
      down_ = false;
      const int listener = Listen(system_.Ip(41 + number_), system_.ports().runner);
      std::list<Connection> connections;
      std::thread beats([this] { Beat(); });
      while (!ends_ && !down_) {
        pollfd waiting{listener, POLLIN, 0};
        if (poll(&waiting, 1, 10) == 1) {
          const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
          if (fd >= 0) connections.push_back({fd, std::thread([this, fd] { Serve(fd); })});
        }
      }
      // A process that crashes loses its sockets at once.
      close(listener);
      for (Connection& one : connections) {
        const linger at_once{1, 0};
        setsockopt(one.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        shutdown(one.fd, SHUT_RDWR);
      }
      for (Connection& one : connections) {
        one.thread.join();
        close(one.fd);
      }
      beats.join();
      for (double end = Now() + kBackAfter; !ends_ && Now() < end;) Sleep(0.02);
    }
  }
  void Beat() {
    std::size_t next = static_cast<std::size_t>(number_);
    for (int sequence = 1; !ends_ && !down_; ++sequence) {
      const std::string body =
          R"({"service":"desk","address":")" + system_.Ip(41 + number_) + ":" +
          std::to_string(system_.ports().runner) + R"(","zone":"z)" + std::to_string(number_ % 3) +
          R"(","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":)" +
          std::to_string(sequence) + R"(,"born":)" + std::to_string(born_) + "}";
      for (std::size_t i = 0; i < controls_.size() && !ends_ && !down_; ++i, ++next) {
        Message answer;
        if (Call(system_.Ip(controls_[next % controls_.size()]), system_.ports().control, "PUT",
                 "/-/instances/" + id_, body, &answer) == 200) {
          known_ = true;
          break;
        }
      }
      for (double end = Now() + 1.2; !ends_ && !down_ && Now() < end;) Sleep(0.02);
    }
  }
  void Serve(int fd) {
    std::string in;
    double idle_since = Now();
    while (!ends_ && !down_) {
      Message request;
      if (!TakeMessage(&in, &request)) {
        const int got = ReadSome(fd, &in, 50);
        if (got < 0 || (got == 0 && in.empty() && Now() - idle_since > 3)) break;
        continue;
      }
      idle_since = Now();
      const std::string attempt = request.Field("x-attempt-id");
      const std::string start = "X-Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=3\r\n";
      if (request.Field("x-expect-instance") != id_) {
        SendAll(fd, "HTTP/1.1 421 Misdirected\r\n" + start + "Content-Length: 0\r\n\r\n");
        continue;
      }
      ++runs_;
      record_.Add("run " + attempt + " by " + id_);
      if (request.body == "crash") {
        {
          const std::lock_guard<std::mutex> lock(crashes_.mutex);
          crashes_.begun.emplace_back(Now(), attempt);
        }
        Sleep(crash_after_);
        if (!down_) {
          down_ = true;
          record_.Add("crash of " + id_ + " by " + attempt);
          const std::lock_guard<std::mutex> lock(crashes_.mutex);
          crashes_.crashed.push_back(Now());
        }
        return;
      }
      Sleep(0.03);
      if (!SendAll(fd, "HTTP/1.1 200 OK\r\nX-Server-Signature: " + id_ + "\r\n" + start +
                           "Content-Length: 800\r\n\r\n" + std::string(800, 'b'))) {
        break;
      }
    }
    // The socket is closed with the process, or here by its peer's leaving.
    shutdown(fd, SHUT_RDWR);
  }

  const System& system_;
  Record& record_;
  Crashes& crashes_;
  int number_;
  std::vector<int> controls_;
  double crash_after_;
  std::string id_;
  long long born_ = 0;
  std::atomic<bool> ends_{false};
  std::atomic<bool> down_{false};
  std::atomic<bool> known_{false};
  std::atomic<int> runs_{0};
  std::thread life_;
};

std::string Configuration() {
  return R"({"version":1,"routes":[{"name":"r-slots","host":"site.example","path_prefix":"/slots/","route_kind":"idempotent","timeout_ms":3000,"slo_ms":400,"priority":0,"service":"desk","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"first","api_keys":["key-1"],"priority":1}]})";
}

std::string Request(const std::string& id, const std::string& path, const std::string& body) {
  return "POST /slots/" + path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  const bool trouble = std::string(argv[3]) != "0";
  const bool by_query = std::string(argv[4]) == "query";
  const bool compare = std::getenv("COMPARE") != nullptr;
  const bool leaves = trouble && !by_query && !compare;
  const std::string body = trouble ? "crash" : "sound";
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
    const std::vector<int> seeds{101, 102, 103};
    for (const int core : cores) system.Start("control", core, seeds, true);
    for (const int entry : {21, 22, 23}) system.Start("entry", entry, seeds, true);
    Crashes crashes;
    std::list<std::unique_ptr<Fragile>> runners;
    for (int i = 0; i < kRunners; ++i) {
      runners.push_back(std::make_unique<Fragile>(system, record, crashes, i, cores,
                                                  by_query ? 0.05 : kCrashAfter));
    }
    bool ready = system.Configure(Configuration(), cores, 20);
    const auto all_known = [&] {
      return std::all_of(runners.begin(), runners.end(), [](const auto& one) { return one->known(); });
    };
    for (double end = Now() + 15;
         ready && !(system.Ready(21) && system.Ready(22) && system.Ready(23) && all_known());) {
      ready = Now() < end;
      Sleep(0.1);
    }
    Sleep(4);
    if (ready) {
      std::atomic<bool> going{true};
      std::atomic<int> sound{0};
      std::atomic<int> sound_served{0};
      std::vector<std::thread> callers;
      for (int c = 0; c < 3; ++c) {
        callers.emplace_back([&, c] {
          for (int n = 0; going; ++n) {
            Client client(system.Ip(21 + c), ports.front);
            const std::string id = "sound-" + std::to_string(c) + "-" + std::to_string(n);
            Message answer;
            const int status = client.Ask(Request(id, id, "read"), 4000, &answer);
            record.Add("answer " + id + ": " + std::to_string(status));
            ++sound;
            sound_served += status == 200 ? 1 : 0;
            Sleep(0.15);
          }
        });
      }
      for (int n = 0; n < kComes; ++n) {
        const double began = Now();
        const std::string id = "crashing-" + std::to_string(n);
        const int fd = Connect(system.Ip(21 + n % 3), ports.front, 1000);
        record.Add("send " + id);
        const std::string query = by_query ? "?trace=" + std::to_string(compare ? 0 : n) : "";
        SendAll(fd, Request(id, "17" + query, body));
        std::string in;
        const double until = Now() + (leaves ? kLeaveAfter : 3.5);
        Message answer;
        bool answered = false;
        while (!answered && Now() < until &&
               ReadSome(fd, &in, std::max(1, static_cast<int>((until - Now()) * 1000))) > 0) {
          answered = TakeMessage(&in, &answer);
        }
        close(fd);
        record.Add(answered ? "answer " + id + ": " + std::to_string(answer.status)
                            : "the client of " + id + " leaves");
        while (Now() - began < kPeriod) Sleep(0.01);
      }
      Sleep(1);
      going = false;
      for (std::thread& caller : callers) caller.join();
      const std::lock_guard<std::mutex> lock(crashes.mutex);
      int late = 0;
      if (crashes.crashed.size() >= 3) {
        for (const auto& [at, id] : crashes.begun) {
          late += at > crashes.crashed[2] + kContact ? 1 : 0;
        }
      }
      record.Add("crashes " + std::to_string(crashes.crashed.size()) + ", runs of the request " +
                 std::to_string(crashes.begun.size()) + ", later than 3 s after the third crash " +
                 std::to_string(late) + " (bound 3); sound requests served " +
                 std::to_string(sound_served) + " of " + std::to_string(sound));
      if (!trouble) {
        result = crashes.crashed.empty() && sound_served == sound ? 0 : 1;
      } else if (crashes.crashed.size() >= 3) {
        result = late > 3 ? 1 : 0;
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
