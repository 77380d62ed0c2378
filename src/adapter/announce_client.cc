#include "rattanward/adapter/announce_client.h"

#include <httplib.h>

#include <cstdlib>
#include <sstream>
#include <utility>

#include "rattanward/adapter/announcement_json.h"

namespace rattanward::adapter {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(300);
constexpr auto kStopCheckPeriod = std::chrono::milliseconds(20);

std::uint64_t FirstSequence() {
  return static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
}

}  // namespace

AnnounceClient::AnnounceClient(std::vector<Endpoint> entries, std::string token,
                               Duration period,
                               std::function<Announcement()> source)
    : entries_(std::move(entries)),
      token_(std::move(token)),
      period_(period),
      source_(std::move(source)),
      sequence_(FirstSequence()),
      thread_([this] { Run(); }) {}

AnnounceClient::~AnnounceClient() {
  stopping_ = true;
  thread_.join();
}

void AnnounceClient::AnnounceToAll() {
  const std::string body = NextBody();
  for (const Endpoint& entry : entries_) {
    Post(entry, body);
  }
}

void AnnounceClient::Run() {
  std::size_t next = 0;
  while (!stopping_) {
    const std::string body = NextBody();
    for (std::size_t tried = 0; tried < entries_.size(); ++tried) {
      if (Post(entries_[next++ % entries_.size()], body)) {
        break;
      }
    }
    const auto until = std::chrono::steady_clock::now() + period_;
    while (!stopping_ && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(kStopCheckPeriod);
    }
  }
}

bool AnnounceClient::Post(const Endpoint& entry,
                          const std::string& body) const {
  httplib::Client client(entry.address, entry.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kConnectTimeout);
  const auto answer = client.Post("/upstreams/announce",
                                  {{"Authorization", "Bearer " + token_}}, body,
                                  "application/json");
  return answer && answer->status == 200;
}

std::string AnnounceClient::NextBody() {
  Announcement announcement = source_();
  announcement.sequence = ++sequence_;
  return AnnouncementToJson(announcement);
}

std::vector<Endpoint> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::size_t colon = part.rfind(':');
    if (colon == std::string::npos) {
      continue;
    }
    const auto port = std::strtoul(part.c_str() + colon + 1, nullptr, 10);
    endpoints.push_back(
        Endpoint{part.substr(0, colon), static_cast<std::uint16_t>(port)});
  }
  return endpoints;
}

}  // namespace rattanward::adapter
