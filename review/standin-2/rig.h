// Stand-ins for the cases review/6 to review/10: sockets, HTTP messages, the
// system's processes, the operator, clients and runners. Blocking sockets and
// threads only; every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

constexpr int kFrontPort = 8227;
constexpr int kReadyPort = 8220;
constexpr int kControlPort = 8229;
constexpr int kRunnerPort = 8080;

// ---- time and the record

inline double Now() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
}
inline long long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline FILE*& RecordFile() {
  static FILE* file = nullptr;
  return file;
}
inline void Line(const char* format, ...) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  if (RecordFile() == nullptr) return;
  std::fprintf(RecordFile(), "%8.3f ", Now());
  va_list list;
  va_start(list, format);
  std::vfprintf(RecordFile(), format, list);
  va_end(list);
  std::fputc('\n', RecordFile());
  std::fflush(RecordFile());
}

// ---- sockets

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}
inline int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in a = Address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline int Connect(const std::string& ip, int port, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in a = Address(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&p, 1, timeout_ms) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}
enum class Got { kBytes, kEnd, kReset, kNothing };
inline Got ReadMore(int fd, std::string* in, double until) {
  pollfd p{fd, POLLIN, 0};
  const int wait = static_cast<int>(std::max(0.0, (until - Now()) * 1000));
  if (poll(&p, 1, wait) <= 0) return Got::kNothing;
  char buffer[65536];
  const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
  if (n > 0) {
    in->append(buffer, static_cast<std::size_t>(n));
    return Got::kBytes;
  }
  return n == 0 ? Got::kEnd : Got::kReset;
}
inline bool PeerGone(int fd) {
  char c = 0;
  const ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// ---- HTTP messages

struct Message {
  std::string first;
  std::vector<std::pair<std::string, std::string>> fields;  // lower-case names
  std::string body;

  std::string Field(const std::string& name) const {
    for (const auto& f : fields)
      if (f.first == name) return f.second;
    return std::string();
  }
  bool Has(const std::string& name) const {
    return std::any_of(fields.begin(), fields.end(),
                       [&](const auto& f) { return f.first == name; });
  }
  int Status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const std::size_t a = first.find(' ');
    const std::size_t b = first.rfind(' ');
    return a == std::string::npos || b <= a ? "" : first.substr(a + 1, b - a - 1);
  }
};

enum class End { kWhole, kNothing, kCut, kReset, kTimeout };

inline bool TakeHead(std::string* in, Message* out) {
  const std::size_t end = in->find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::size_t at = in->find("\r\n");
  out->first = in->substr(0, at);
  out->fields.clear();
  while (at < end) {
    const std::size_t start = at + 2;
    at = in->find("\r\n", start);
    const std::string line = in->substr(start, at - start);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    out->fields.emplace_back(name, line.substr(value));
  }
  in->erase(0, end + 4);
  return true;
}

// Reads one whole message. `in` keeps what follows it.
inline End ReadMessage(int fd, std::string* in, Message* out, bool response,
                       double until) {
  const auto more = [&](bool begun) {
    switch (ReadMore(fd, in, until)) {
      case Got::kBytes:
        return End::kWhole;
      case Got::kEnd:
        return begun ? End::kCut : End::kNothing;
      case Got::kReset:
        return End::kReset;
      case Got::kNothing:
        break;
    }
    return End::kTimeout;
  };
  out->body.clear();
  while (!TakeHead(in, out)) {
    const End e = more(!in->empty());
    if (e != End::kWhole) return e;
  }
  if (out->Field("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t eol = 0;
      while ((eol = in->find("\r\n")) == std::string::npos) {
        const End e = more(true);
        if (e != End::kWhole) return e;
      }
      const std::size_t size = std::strtoul(in->c_str(), nullptr, 16);
      while (in->size() < eol + 2 + size + 2) {
        const End e = more(true);
        if (e != End::kWhole) return e;
      }
      out->body += in->substr(eol + 2, size);
      in->erase(0, eol + 2 + size + 2);
      if (size == 0) return End::kWhole;
    }
  }
  if (out->Has("content-length")) {
    const std::size_t size = std::strtoul(out->Field("content-length").c_str(), nullptr, 10);
    while (in->size() < size) {
      const End e = more(true);
      if (e != End::kWhole) return e;
    }
    out->body = in->substr(0, size);
    in->erase(0, size);
    return End::kWhole;
  }
  if (!response || out->Status() < 200 || out->Status() == 204) return End::kWhole;
  while (true) {  // a body that ends with its connection
    const End e = more(true);
    out->body += *in;
    in->clear();
    if (e == End::kCut) return End::kWhole;
    if (e != End::kWhole) return e;
  }
}

struct Answer {
  int status = 0;  // 0: none, or not whole
  End end = End::kNothing;
  std::string signature;
  std::string retry_after;
  std::string body;
  double took = 0;
};

// One request on a connection of its own.
inline Answer Ask(const std::string& ip, int port, const std::string& text,
                  double seconds) {
  Answer answer;
  const double began = Now();
  const int fd = Connect(ip, port, 1000);
  if (fd < 0) return answer;
  std::string in;
  Message m;
  if (SendAll(fd, text)) {
    answer.end = ReadMessage(fd, &in, &m, true, began + seconds);
    answer.body = m.body;
    if (answer.end == End::kWhole) {
      answer.status = m.Status();
      answer.signature = m.Field("x-server-signature");
      answer.retry_after = m.Field("retry-after");
    }
  }
  close(fd);
  answer.took = Now() - began;
  return answer;
}

inline std::string NextId() {
  static std::atomic<int> next{0};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()),
                static_cast<unsigned>(++next));
  return text;
}

inline std::string RequestText(const std::string& method, const std::string& path,
                               const std::string& host, const std::string& id,
                               const std::string& key, int deadline_ms,
                               const std::string& body,
                               const std::string& more = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Attempt-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\nAuthorization: Bearer " + key + "\r\n" + more;
  if (!body.empty() || method == "POST" || method == "PUT")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// ---- the system's processes

struct Options {
  int controls = 5;
  int entries = 3;
  int tolerated = 2;
  std::string more_settings;  // further members of the settings, with a comma
  std::string more_bounds;
  int entry_memory_mb = 260;
};

class Deployment {
 public:
  explicit Deployment(Options options) : options_(std::move(options)) {
    char name[] = "/tmp/review-2-XXXXXX";
    folder_ = mkdtemp(name);
    // A net of loopback addresses on which nobody listens.
    for (int t = 0; t < 100; ++t) {
      net_ = "127." + std::to_string(120 + (getpid() + t) % 100) + "." +
             std::to_string((getpid() / 100 + t) % 250 + 1) + ".";
      const int fd = Listen(net_ + "11", kControlPort);
      if (fd >= 0) {
        close(fd);
        break;
      }
    }
    for (int i = 0; i < options_.controls; ++i) Add("core", i);
    for (int i = 0; i < options_.entries; ++i) Add("edge", i);
  }
  ~Deployment() {
    for (auto& [name, process] : processes_) {
      if (process.pid > 0) {
        kill(process.pid, SIGCONT);
        kill(process.pid, SIGKILL);
        waitpid(process.pid, nullptr, 0);
      }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
      const std::string remove = "rm -rf '" + folder_ + "'";
      if (std::system(remove.c_str()) != 0) Line("the folder stays");
    } else {
      std::fprintf(stderr, "logs: %s\n", folder_.c_str());
    }
  }

  std::string ControlIp(int i) const { return net_ + std::to_string(11 + i); }
  std::string EntryIp(int i) const { return net_ + std::to_string(21 + i); }
  std::string RunnerIp(int i) const { return net_ + std::to_string(41 + i); }
  const Options& options() const { return options_; }
  const std::string& folder() const { return folder_; }
  static std::string Zone(int i) { return std::string("zone-") + "abc"[i % 3]; }

  void StartAll() {
    for (auto& [name, process] : processes_) Start(name);
    first_start_ = false;
  }
  void Start(const std::string& name) {
    Process& process = processes_.at(name);
    Write(process);
    const std::string log = folder_ + "/" + name + ".log";
    process.pid = fork();
    if (process.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      std::string setting = "RATTANWARD_SETTINGS=" + folder_ + "/" + name + ".json";
      std::string path = "PATH=/usr/bin:/bin";
      std::string home = "HOME=/tmp";
      char* environment[] = {setting.data(), path.data(), home.data(), nullptr};
      execle("target/rattanward-platform", "target/rattanward-platform",
             process.core ? "control" : "entry", nullptr, environment);
      _exit(9);
    }
    Line("start %s", name.c_str());
  }
  void Signal(const std::string& name, int number) {
    Line("signal %d to %s", number, name.c_str());
    if (processes_.at(name).pid > 0) kill(processes_.at(name).pid, number);
  }
  // Waits for the end; kills after `grace` seconds.
  void Await(const std::string& name, double grace) {
    Process& process = processes_.at(name);
    const double until = Now() + grace;
    int status = 0;
    while (process.pid > 0 && waitpid(process.pid, &status, WNOHANG) == 0) {
      if (Now() > until) {
        kill(process.pid, SIGKILL);
        waitpid(process.pid, &status, 0);
        break;
      }
      Sleep(0.01);
    }
    process.pid = -1;
    Line("%s has ended", name.c_str());
  }
  void Kill(const std::string& name) {
    Signal(name, SIGKILL);
    Await(name, 5);
  }
  // Processes that ended by themselves.
  int OwnEnds() {
    int ends = 0;
    for (auto& [name, process] : processes_) {
      int status = 0;
      if (process.pid > 0 && waitpid(process.pid, &status, WNOHANG) == process.pid) {
        Line("%s ended by itself, status %d", name.c_str(), status);
        process.pid = -1;
        ++ends;
      }
    }
    return ends;
  }
  // Starts processes that ended by themselves again, `delay` seconds later.
  int RestartEnded(double delay) {
    const int ends = OwnEnds();
    for (auto& [name, process] : processes_) {
      if (process.pid > 0) continue;
      if (process.ended_at < 0) process.ended_at = Now();
      if (Now() - process.ended_at >= delay) {
        process.ended_at = -1;
        Start(name);
      }
    }
    return ends;
  }
  bool Ready(int entry) const {
    return Ask(EntryIp(entry), kReadyPort,
               "GET /-/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", 1)
               .status == 200;
  }
  bool AwaitReady(double seconds) const {
    const double until = Now() + seconds;
    for (int i = 0; i < options_.entries;) {
      if (Ready(i)) {
        ++i;
      } else if (Now() > until) {
        return false;
      } else {
        Sleep(0.05);
      }
    }
    return true;
  }
  // A call to control, as the operator and runners make it.
  Answer Control(int which, const std::string& method, const std::string& path,
                 const std::string& body, double seconds) const {
    std::string ip = ControlIp(which % options_.controls);
    Answer answer;
    for (int hop = 0; hop < 3; ++hop) {
      const int fd = Connect(ip, kControlPort, 1000);
      if (fd < 0) return answer;
      std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + ip +
                         "\r\nConnection: close\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body;
      std::string in;
      Message m;
      answer = Answer();
      if (SendAll(fd, text)) {
        answer.end = ReadMessage(fd, &in, &m, true, Now() + seconds);
        if (answer.end == End::kWhole) answer.status = m.Status();
        answer.body = m.body;
      }
      close(fd);
      if (answer.status != 307) return answer;
      const std::string to = m.Field("location").substr(7);
      ip = to.substr(0, to.find(':'));
    }
    return answer;
  }
  // Sends a configuration until it is acknowledged. @return the time, or -1.
  double Configure(const std::string& text, double seconds) const {
    const double until = Now() + seconds;
    for (int turn = 0; Now() < until; ++turn) {
      const Answer a = Control(turn, "PUT", "/-/configuration", text, 1);
      if (a.status == 200) {
        Line("configuration acknowledged by control %d", turn % options_.controls);
        return Now();
      }
      Sleep(0.1);
    }
    return -1;
  }

 private:
  struct Process {
    std::string name;
    bool core = false;
    int index = 0;
    pid_t pid = -1;
    double ended_at = -1;
  };
  void Add(const std::string& kind, int i) {
    const std::string name = kind + "-" + std::to_string(i);
    processes_[name] = {name, kind == "core", i, -1, -1};
  }
  void Write(const Process& p) const {
    const std::string ip = p.core ? ControlIp(p.index) : EntryIp(p.index);
    const std::string disk = folder_ + "/disk-" + std::to_string(p.index);
    if (p.core) mkdir(disk.c_str(), 0700);
    std::string seeds;
    for (int k = 0; k < std::min(3, options_.controls); ++k)
      seeds += (k ? ",\"" : "\"") + ControlIp(k) + ":8229\"";
    std::ofstream out(folder_ + "/" + p.name + ".json");
    out << "{\"node_name\":\"" << p.name << "\",\"role\":\""
        << (p.core ? "control" : "entry") << "\",\"machine_class\":\""
        << (p.core ? "core" : "edge") << "\",\"serves\":[\""
        << (p.core ? "control_plane" : "edge") << "\"],\"ip\":\"" << ip
        << "\",\"zone\":\"" << Zone(p.index)
        << R"(","region":"r","zones":{"zone-a":"r","zone-b":"r","zone-c":"r"},"listen":)";
    if (p.core)
      out << "{\"control\":\"" << ip << ":8229\"}";
    else
      out << "{\"front\":\"" << ip << ":8227\",\"ready\":\"" << ip << ":8220\"}";
    out << R"(,"internal_ports":[7340,7355],"seeds":[)" << seeds
        << "],\"first_start\":" << (first_start_ ? "true" : "false")
        << ",\"counts_as_loss\":" << (p.core ? "true" : "false")
        << R"(,"limits":{"cpu_share":0.25,"cores":1,"memory_mb":)"
        << (p.core ? 256 : options_.entry_memory_mb)
        << R"(,"max_fds":4100,"link_mbps":1000.0,"disk_mb":)" << (p.core ? 128 : 0)
        << "},\"data_dir\":" << (p.core ? "\"" + disk + "\"" : "null")
        << R"(,"discovery":"registration","entry":"vip","heartbeat_ms":1200,)"
        << R"("contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants"],)"
        << R"("fault_tolerance":{"machines":)" << options_.tolerated
        << R"(,"zones":0,"regions":0},"bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"lost_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"stretch_max_ms":5000,"strict_revoke":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"retry_window_s":10,"retry_slack":58,"recover_s":12,"pass_ms":120,"reuse_window_s":10)"
        << options_.more_bounds << R"(},"config_mode":"highest")"
        << options_.more_settings << "}";
  }

  Options options_;
  std::string folder_;
  std::string net_;
  bool first_start_ = true;
  std::map<std::string, Process> processes_;
};

// ---- runners

// A runner that keeps to the pages: heartbeats, X-Expect-Instance, deadlines
// are left to the behaviour. It can crash, and is back under a new id.
class Runner {
 public:
  struct Call {
    const Message* request = nullptr;
    int fd = -1;
    int connection = 0;
  };
  // Answers a request that began to run. @return false to close the connection.
  using Behaviour = std::function<bool(Runner&, const Call&)>;

  Runner(Deployment& deployment, std::string service, int index, int slots,
         Behaviour behaviour)
      : deployment_(deployment),
        service_(std::move(service)),
        index_(index),
        slots_(slots),
        behaviour_(std::move(behaviour)) {
    Begin();
    beats_ = std::thread([this] { Beat(); });
  }
  ~Runner() {
    ends_ = true;
    Down();
    beats_.join();
    if (back_.joinable()) back_.join();
    std::vector<std::thread> threads;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      threads.swap(threads_);
    }
    for (std::thread& t : threads) t.join();
  }

  std::string id() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return id_;
  }
  const std::string& service() const { return service_; }
  int index() const { return index_; }
  bool up() const { return up_; }
  std::string Signature() const { return id() + ".sig"; }

  // The process ends; it is back after `seconds`, as a new incarnation.
  void Crash(double seconds) {
    if (!up_.exchange(false)) return;
    Line("runner %s (%s) crashes", id().c_str(), service_.c_str());
    Down();
    if (back_.joinable()) back_.join();
    back_ = std::thread([this, seconds] {
      const double until = Now() + seconds;
      while (Now() < until && !ends_) Sleep(0.02);
      if (!ends_) Begin();
    });
  }
  // The runner has no path to control: its beats are lost.
  void Cut(bool cut) {
    Line("runner %s is %s control", id().c_str(), cut ? "cut off from" : "joined with");
    cut_ = cut;
  }
  // The runner sends DELETE until it is acknowledged, serves on for `serves`
  // seconds and exits for good. @return the time of the acknowledgement, or -1.
  double LeaveAtOnce(double serves) {
    leaves_ = true;
    double acked = -1;
    for (int t = index_; acked < 0 && t < index_ + 20; ++t) {
      const Answer a = deployment_.Control(t, "DELETE", "/-/instances/" + id(), "", 1);
      Line("DELETE of runner %s at control %d: %d", id().c_str(),
           t % deployment_.options().controls, a.status);
      if (a.status / 100 == 2) {
        acked = Now();
      } else {
        Sleep(0.2);
      }
    }
    if (back_.joinable()) back_.join();
    back_ = std::thread([this, serves] {
      const double until = Now() + serves;
      while (Now() < until && !ends_) Sleep(0.02);
      Line("runner %s exits", id().c_str());
      Down();
    });
    return acked;
  }
  bool Reply(const Call& call, int status, const std::string& body,
             const std::string& more = "") const {
    return SendAll(call.fd, "HTTP/1.1 " + std::to_string(status) +
                                " X\r\nX-Attempt-Id: " +
                                call.request->Field("x-attempt-id") +
                                "\r\nX-Server-Signature: " + Signature() +
                                "\r\nKeep-Alive: timeout=10\r\n" + more +
                                "Content-Length: " + std::to_string(body.size()) +
                                "\r\n\r\n" + body);
  }

 private:
  void Begin() {
    const std::lock_guard<std::mutex> lock(mutex_);
    born_ = UnixMs();
    sequence_ = 0;
    char text[64];
    std::snprintf(text, sizeof text, "i-%02d%06llx", index_,
                  static_cast<unsigned long long>(born_ & 0xffffff));
    id_ = text;
    listener_ = Listen(deployment_.RunnerIp(index_), kRunnerPort);
    if (listener_ < 0) {
      Line("runner %s can't listen", id_.c_str());
      return;
    }
    up_ = true;
    threads_.emplace_back([this, fd = listener_, life = ++life_] { Accept(fd, life); });
  }
  void Down() {
    const std::lock_guard<std::mutex> lock(mutex_);
    up_ = false;
    ++life_;
    if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
    for (const int fd : open_) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(fd, SHUT_RDWR);
    }
  }
  void Accept(int listener, int life) {
    while (life == life_) {
      pollfd p{listener, POLLIN, 0};
      if (poll(&p, 1, 50) <= 0) continue;
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (life != life_) {
        close(fd);
        break;
      }
      open_.insert(fd);
      threads_.emplace_back([this, fd, life] { Serve(fd, life); });
    }
    close(listener);
  }
  void Serve(int fd, int life) {
    static std::atomic<int> connections{0};
    const int connection = ++connections;
    std::string in;
    Message m;
    while (life == life_) {
      const End e = ReadMessage(fd, &in, &m, false, Now() + 10);
      if (e != End::kWhole || life != life_) break;
      const Call call{&m, fd, connection};
      const std::string expected = m.Field("x-expect-instance");
      if (!expected.empty() && expected != id()) {
        if (!Reply(call, 421, "", "X-Not-Executed: 1\r\n")) break;
        continue;
      }
      if (running_.fetch_add(1) >= slots_) {
        --running_;
        if (!Reply(call, 503, "full", "X-Not-Executed: 1\r\n")) break;
        continue;
      }
      const bool on = behaviour_(*this, call);
      --running_;
      if (!on) break;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    close(fd);
  }
  void Beat() {
    int turn = index_;
    while (!ends_) {
      if (up_ && !cut_ && !leaves_) {
        std::string body;
        std::string id;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          id = id_;
          body = "{\"service\":\"" + service_ + "\",\"address\":\"" +
                 deployment_.RunnerIp(index_) + ":8080\",\"zone\":\"" +
                 Deployment::Zone(index_) + R"(","version":"v1","slots":)" +
                 std::to_string(slots_) +
                 R"(,"state":"ready","cold_remaining_ms":0,"sequence":)" +
                 std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) + "}";
        }
        for (int t = 0; t < 3 && up_ && !cut_ && !leaves_; ++t) {
          if (deployment_.Control(turn, "PUT", "/-/instances/" + id, body, 1).status == 200) break;
          ++turn;
        }
      }
      const int life = life_;
      const double until = Now() + 1.2;
      while (Now() < until && !ends_ && life == life_) Sleep(0.02);
    }
  }

  Deployment& deployment_;
  std::string service_;
  int index_;
  int slots_;
  Behaviour behaviour_;
  mutable std::mutex mutex_;
  std::string id_;
  long long born_ = 0;
  long long sequence_ = 0;
  int listener_ = -1;
  std::atomic<bool> up_{false};
  std::atomic<bool> ends_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> leaves_{false};
  std::atomic<int> life_{0};
  std::atomic<int> running_{0};
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread beats_;
  std::thread back_;
};

// ---- configurations

inline std::string Route(const std::string& name, const std::string& host,
                         const std::string& prefix, const std::string& kind,
                         const std::string& service, int attempts, int timeout_ms,
                         const std::string& more = "") {
  return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path_prefix\":\"" +
         prefix + "\",\"route_kind\":\"" + kind +
         "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
         ",\"slo_ms\":300,\"priority\":1,\"service\":\"" + service +
         "\",\"max_attempts\":" + std::to_string(attempts) +
         R"(,"anonymous":false,"sticky":false,"resumable":false)" + more + "}";
}
inline std::string Service(const std::string& name, int connections = 110) {
  return "{\"name\":\"" + name +
         R"(","health_path":"/healthz","max_connections":)" +
         std::to_string(connections) + R"(,"protocol":"h1","tls":false})";
}
inline std::string ConfigurationText(int version, const std::string& routes,
                                     const std::string& services,
                                     const std::string& tenants) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)" +
         tenants + "]}";
}

// Ends of a case's program.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}
inline void OpenRecord(int argc, char** argv) {
  Now();
  signal(SIGPIPE, SIG_IGN);
  RecordFile() = std::fopen(argc > 1 ? argv[1] : "record.txt", "w");
}

}  // namespace rig
