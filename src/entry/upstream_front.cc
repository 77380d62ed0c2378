#include "rattanward/entry/upstream_front.h"

#include <utility>

#include "rattanward/adapter/announcement_json.h"
#include "rattanward/entry/caller_request.h"
#include "rattanward/entry/config_snapshot.h"
#include "rattanward/entry/http_answers.h"
#include "rattanward/membership/gossip.h"

namespace rattanward::entry {
namespace {

constexpr std::size_t kMaxConnections = 1024;
constexpr std::size_t kMaxBodyBytes = 64U << 10U;
constexpr std::size_t kMaxTotalBodyBytes = 4U << 20U;
/// Leaves room for the sender's own heartbeat in a gossip message.
constexpr std::size_t kMaxAnnouncementBytes = 1536;
constexpr int kOk = 200;

}  // namespace

UpstreamFront::UpstreamFront(asio::io_context& io,
                             std::function<void(const Announcement&)> sink,
                             std::string token)
    : sink_(std::move(sink)),
      token_(std::move(token)),
      server_(
          io, {kMaxConnections, kMaxTotalBodyBytes},
          [this](const auto& connection, const http::ServerRequest& request) {
            http::Response answer = HandleAnnouncement(request);
            connection->Respond(std::move(answer.head), answer.body);
          }) {
  http::ServerLimits limits;
  limits.parser.max_body_bytes = kMaxBodyBytes;
  server_.SetLimits(limits);
  server_.make_error_response = ErrorResponse;
}

http::Response UpstreamFront::HandleAnnouncement(
    const http::ServerRequest& request) const {
  if (request.head.method != "POST" ||
      PathOf(request) != "/upstreams/announce") {
    return ErrorResponse(MakeError(ErrorCode::kUnknownPath,
                                   "no route for this method and path"));
  }
  if (!EqualInConstantTime(HeaderValue(request, "Authorization"),
                           "Bearer " + token_)) {
    return ErrorResponse(
        MakeError(ErrorCode::kTokenRequired,
                  "the announcement token is missing or wrong"));
  }
  const Result<Announcement> announcement =
      adapter::AnnouncementFromJson(*request.body);
  if (!announcement) {
    return ErrorResponse(announcement.error());
  }
  if (membership::EncodedBytes(announcement.value()) > kMaxAnnouncementBytes) {
    return ErrorResponse(
        MakeError(ErrorCode::kBodyTooLarge,
                  "the announcement is too large for a gossip message"));
  }
  sink_(announcement.value());
  return JsonResponse(kOk, "{}");
}

}  // namespace rattanward::entry
