// Helpers of the scripts of the third review: sockets, HTTP messages, the
// project's processes, and a runner that keeps to the pages. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
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
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig3 {

using Clock = std::chrono::steady_clock;

inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}
inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline long long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// What was sent, answered and run; one line each.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Add(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f  ", Now());
    out_ << at << line << "\n";
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

inline int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in at = Address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(const std::string& ip, int port, int timeout_ms) {
  const int fd =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = Address(ip, port);
  int error = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0
                  ? 0
                  : errno;
  if (error == EINPROGRESS) {
    pollfd waiting{fd, POLLOUT, 0};
    error = ETIMEDOUT;
    socklen_t size = sizeof error;
    if (poll(&waiting, 1, timeout_ms) == 1) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// 1: bytes were read, 0: nothing within the time, -1: the peer has closed.
inline int ReadSome(int fd, std::string* in, int timeout_ms) {
  pollfd waiting{fd, POLLIN, 0};
  if (poll(&waiting, 1, timeout_ms) != 1) {
    return 0;
  }
  char buffer[16384];
  const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
  if (n <= 0) {
    return -1;
  }
  in->append(buffer, static_cast<std::size_t>(n));
  return 1;
}

struct Message {
  std::string first;
  std::map<std::string, std::string> fields;
  std::string body;
  int status = 0;
  std::string Field(const std::string& name) const {
    const auto at = fields.find(name);
    return at == fields.end() ? std::string() : at->second;
  }
  std::string Target() const {
    const std::size_t begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
};

// Takes a whole message with a length off the front of `in`.
inline bool TakeMessage(std::string* in, Message* out) {
  const std::size_t end = in->find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  Message m;
  std::istringstream lines(in->substr(0, end + 2));
  std::string line;
  std::getline(lines, m.first);
  while (std::getline(lines, line) && line.size() > 1) {
    line.pop_back();
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    m.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length = std::strtoul(m.Field("content-length").c_str(), nullptr, 10);
  if (in->size() < end + 4 + length) {
    return false;
  }
  m.body = in->substr(end + 4, length);
  in->erase(0, end + 4 + length);
  const std::size_t space = m.first.find(' ');
  m.status = space == std::string::npos ? 0 : std::atoi(m.first.c_str() + space);
  *out = m;
  return true;
}

// A client's connection that is kept. Returns the status of an answer; 0 if
// there was none.
class Client {
 public:
  Client(std::string ip, int port) : ip_(std::move(ip)), port_(port) {}
  ~Client() { Close(); }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = -1;
    in_.clear();
  }
  bool open() const { return fd_ >= 0; }
  int Ask(const std::string& text, int timeout_ms, Message* answer) {
    if (fd_ < 0) {
      fd_ = Connect(ip_, port_, 1000);
    }
    if (fd_ < 0 || !SendAll(fd_, text)) {
      Close();
      return 0;
    }
    const double end = Now() + timeout_ms / 1000.0;
    while (!TakeMessage(&in_, answer)) {
      const int left = static_cast<int>((end - Now()) * 1000);
      if (left <= 0 || ReadSome(fd_, &in_, left) != 1) {
        Close();
        return 0;
      }
    }
    if (answer->Field("connection") == "close") {
      Close();
    }
    return answer->status;
  }

 private:
  std::string ip_;
  int port_;
  int fd_ = -1;
  std::string in_;
};

// One call on a connection of its own; a 307 is followed twice.
inline int Call(std::string ip, int port, const std::string& method,
                const std::string& path, const std::string& body,
                Message* answer, int timeout_ms = 1000) {
  for (int hop = 0; hop < 3; ++hop) {
    Client client(ip, port);
    const std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: own\r\nContent-Type: application/json\r\n"
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    const int status = client.Ask(text, timeout_ms, answer);
    if (status != 307) {
      return status;
    }
    const std::string to = answer->Field("location");
    const std::size_t host = to.find("//") + 2;
    const std::size_t colon = to.find(':', host);
    ip = to.substr(host, colon - host);
    port = std::atoi(to.c_str() + colon + 1);
  }
  return 0;
}

struct Ports {
  int front = 8227;
  int ready = 8220;
  int control = 8229;
  int internal = 7340;
  int runner = 8120;
};

// A folder and a loopback network of this run alone.
inline std::string FreeNet(const Ports& ports) {
  for (int i = 0; i < 200; ++i) {
    const std::string net = "127." + std::to_string(60 + (getpid() + i) % 90) + "." +
                            std::to_string((getpid() / 90 + i) % 250) + ".";
    const int a = Listen(net + "1", ports.control);
    const int b = Listen(net + "21", ports.front);
    if (a >= 0) close(a);
    if (b >= 0) close(b);
    if (a >= 0 && b >= 0) {
      return net;
    }
  }
  return "";
}

// The project's processes.
class System {
 public:
  System(std::string program, std::string folder, std::string net, Ports ports,
         int losses)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        net_(std::move(net)),
        ports_(ports),
        losses_(losses) {}
  ~System() {
    for (auto& [name, pid] : pids_) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  std::string Ip(int host) const { return net_ + std::to_string(host); }
  const Ports& ports() const { return ports_; }

  // `first_start` is true only when the whole system starts.
  void Start(const std::string& role, int host, const std::vector<int>& seeds,
             bool first_start) {
    const bool core = role == "control";
    const std::string name = (core ? "core-" : "edge-") + std::to_string(host);
    const std::string disk = folder_ + "/disk-" + std::to_string(host);
    if (core) {
      mkdir(disk.c_str(), 0700);
    }
    WriteSettings(role, host, seeds, first_start);
    const std::string setting = "RATTANWARD_SETTINGS=" + File(name);
    const std::string log = folder_ + "/" + name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      std::string path = "PATH=/usr/bin:/bin";
      std::string copy = setting;
      char* environment[] = {copy.data(), path.data(), nullptr};
      execle(program_.c_str(), program_.c_str(), role.c_str(), nullptr, environment);
      _exit(9);
    }
    pids_[name] = pid;
  }
  void WriteSettings(const std::string& role, int host,
                     const std::vector<int>& seeds, bool first_start) const {
    const bool core = role == "control";
    const std::string name = (core ? "core-" : "edge-") + std::to_string(host);
    std::string list;
    for (const int seed : seeds) {
      list += (list.empty() ? "\"" : ",\"") + Ip(seed) + ":" + std::to_string(ports_.control) + "\"";
    }
    const auto at = [&](int port) { return "\"" + Ip(host) + ":" + std::to_string(port) + "\""; };
    std::ofstream out(File(name) + ".new");
    out << R"({"node_name":")" << name << R"(","role":")" << role << R"(","machine_class":")"
        << (core ? "core" : "edge") << R"(","serves":[],"ip":")" << Ip(host)
        << R"(","zone":"z)" << host % 3 << R"(","region":"r","zones":{},"listen":)"
        << (core ? R"({"control":)" + at(ports_.control) + "}"
                 : R"({"front":)" + at(ports_.front) + R"(,"ready":)" + at(ports_.ready) + "}")
        << R"(,"internal_ports":[)" << ports_.internal << "," << ports_.internal + 15
        << R"(],"seeds":[)" << list << R"(],"first_start":)" << (first_start ? "true" : "false")
        << R"(,"counts_as_loss":)" << (core ? "true" : "false")
        << R"(,"limits":{"memory_mb":)" << (core ? 256 : 260)
        << R"(,"max_fds":4100,"disk_mb":128},"data_dir":)"
        << (core ? "\"" + folder_ + "/disk-" + std::to_string(host) + "\"" : "null")
        << R"(,"heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants"],"fault_tolerance":{"machines":)"
        << losses_
        << R"(,"zones":0,"regions":0},"bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"lost_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"stretch_max_ms":5000,"strict_revoke":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"retry_window_s":10,"retry_slack":58,"recover_s":12},"config_mode":"highest"})";
    out.close();
    std::rename((File(name) + ".new").c_str(), File(name).c_str());
  }
  pid_t Pid(const std::string& name) const {
    const auto at = pids_.find(name);
    return at == pids_.end() ? -1 : at->second;
  }
  void Signal(const std::string& name, int number) { kill(Pid(name), number); }
  // Waits until a process that was told to stop has ended.
  void Reap(const std::string& name, double seconds) {
    const pid_t pid = Pid(name);
    const double end = Now() + seconds;
    while (waitpid(pid, nullptr, WNOHANG) == 0) {
      if (Now() > end) {
        kill(pid, SIGKILL);
      }
      Sleep(0.02);
    }
    pids_.erase(name);
  }
  bool Ready(int host) const {
    Message answer;
    return Call(Ip(host), ports_.ready, "GET", "/-/readyz", "", &answer) == 200;
  }
  // The operator: sends a change to the daemons in turn until one acknowledges.
  bool Configure(const std::string& text, const std::vector<int>& controls,
                 double seconds) const {
    const double end = Now() + seconds;
    for (std::size_t turn = 0; Now() < end; ++turn) {
      Message answer;
      if (Call(Ip(controls[turn % controls.size()]), ports_.control, "PUT",
               "/-/configuration", text, &answer) == 200) {
        return true;
      }
      Sleep(0.1);
    }
    return false;
  }

 private:
  std::string File(const std::string& name) const { return folder_ + "/" + name + ".json"; }
  std::string program_;
  std::string folder_;
  std::string net_;
  Ports ports_;
  int losses_;
  std::map<std::string, pid_t> pids_;
};

// A plain runner: beats, answers whole, keeps connections for a while. Runs
// requests as they come (slots are ample here).
class Runner {
 public:
  using Controls = std::function<std::vector<int>()>;
  Runner(const System& system, Record& record, std::string id, std::string service,
         int host, Controls controls)
      : system_(system),
        record_(record),
        id_(std::move(id)),
        service_(std::move(service)),
        host_(host),
        controls_(std::move(controls)),
        born_(UnixMs()),
        listener_(Listen(system.Ip(host), system.ports().runner)) {
    accepts_ = std::thread([this] { Accept(); });
    beats_ = std::thread([this] { Beat(); });
  }
  ~Runner() {
    ends_ = true;
    shutdown(listener_, SHUT_RDWR);
    accepts_.join();
    beats_.join();
    for (std::thread& one : connections_) {
      one.join();
    }
    close(listener_);
  }
  int runs() const { return runs_; }
  bool known() const { return acknowledged_; }

 private:
  void Beat() {
    std::size_t next = 0;
    for (int sequence = 1; !ends_; ++sequence) {
      const std::string body =
          R"({"service":")" + service_ + R"(","address":")" + system_.Ip(host_) + ":" +
          std::to_string(system_.ports().runner) + R"(","zone":"z)" + std::to_string(host_ % 3) +
          R"(","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":)" +
          std::to_string(sequence) + R"(,"born":)" + std::to_string(born_) + "}";
      const std::vector<int> controls = controls_();
      for (std::size_t i = 0; i < controls.size() && !ends_; ++i) {
        Message answer;
        if (Call(system_.Ip(controls[next % controls.size()]), system_.ports().control, "PUT",
                 "/-/instances/" + id_, body, &answer) == 200) {
          acknowledged_ = true;
          break;
        }
        ++next;
      }
      const double until = Now() + 1.2;
      while (!ends_ && Now() < until) {
        Sleep(0.02);
      }
    }
  }
  void Accept() {
    while (!ends_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        connections_.emplace_back([this, fd] { Serve(fd); });
      }
    }
  }
  void Serve(int fd) {
    std::string in;
    double idle_since = Now();
    while (!ends_) {
      Message request;
      if (!TakeMessage(&in, &request)) {
        const int got = ReadSome(fd, &in, 100);
        if (got < 0 || (got == 0 && in.empty() && Now() - idle_since > 3)) {
          break;
        }
        continue;
      }
      idle_since = Now();
      const std::string attempt = request.Field("x-attempt-id");
      std::string head;
      std::string body;
      if (request.Field("x-expect-instance") != id_) {
        head = "HTTP/1.1 421 Misdirected\r\n";
      } else {
        ++runs_;
        record_.Add("run " + attempt + " by " + id_ + " of " + service_);
        Sleep(0.01);
        body = std::string(800, 'b');
        head = "HTTP/1.1 200 OK\r\nX-Server-Signature: " + id_ + "\r\n";
      }
      head += "X-Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=3\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n";
      if (!SendAll(fd, head + body)) {
        break;
      }
    }
    close(fd);
  }

  const System& system_;
  Record& record_;
  std::string id_;
  std::string service_;
  int host_;
  Controls controls_;
  long long born_;
  int listener_;
  std::atomic<bool> ends_{false};
  std::atomic<bool> acknowledged_{false};
  std::atomic<int> runs_{0};
  std::list<std::thread> connections_;
  std::thread accepts_;
  std::thread beats_;
};

inline std::string TemporaryFolder() {
  char path[] = "/tmp/review-3-XXXXXX";
  return mkdtemp(path) == nullptr ? std::string() : std::string(path);
}

}  // namespace rig3
