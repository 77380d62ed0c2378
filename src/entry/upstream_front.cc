#include "rattanward/entry/upstream_front.h"

#include <utility>

#include "rattanward/adapter/announcement_json.h"
#include "rattanward/adapter/elastic_task_queue.h"
#include "rattanward/entry/config_snapshot.h"
#include "rattanward/entry/http_answers.h"
#include "rattanward/membership/gossip.h"

namespace rattanward::entry {
namespace {

constexpr std::size_t kMaxThreads = 64;
constexpr std::size_t kMaxBodyBytes = 64U << 10U;
/// Leaves room for the sender's own beat in a gossip message.
constexpr std::size_t kMaxAnnouncementBytes = 1536;
constexpr std::time_t kKeepAliveSeconds = 1;

}  // namespace

UpstreamFront::UpstreamFront(std::function<void(const Announcement&)> sink,
                             std::string token)
    : sink_(std::move(sink)), token_(std::move(token)) {
  server_.new_task_queue = [] {
    return new adapter::ElasticTaskQueue(kMaxThreads);
  };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  server_.set_payload_max_length(kMaxBodyBytes);
  server_.Post(
      "/upstreams/announce",
      [this](const auto& request, auto& response) { Take(request, response); });
}

UpstreamFront::~UpstreamFront() { Stop(); }

Status UpstreamFront::Start(const Endpoint& listen) {
  if (!server_.bind_to_port(listen.address, listen.port)) {
    return MakeError(ErrorCode::kDisconnected,
                     "cannot listen on " + ToString(listen));
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return outcome::success();
}

void UpstreamFront::Stop() {
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void UpstreamFront::Take(const httplib::Request& request,
                         httplib::Response& response) {
  const std::string expected = "Bearer " + token_;
  if (!EqualInConstantTime(request.get_header_value("Authorization"),
                           expected)) {
    WriteError(MakeError(ErrorCode::kTokenRequired,
                         "the announcing token is missing or wrong"),
               response);
    return;
  }
  const Result<Announcement> announcement =
      adapter::AnnouncementFromJson(request.body);
  if (!announcement) {
    WriteError(announcement.error(), response);
    return;
  }
  if (membership::EncodedBytes(announcement.value()) > kMaxAnnouncementBytes) {
    WriteError(MakeError(ErrorCode::kBodyTooLarge,
                         "the announcement is too large to be gossiped"),
               response);
    return;
  }
  sink_(announcement.value());
  response.set_content("{}", "application/json");
}

}  // namespace rattanward::entry
