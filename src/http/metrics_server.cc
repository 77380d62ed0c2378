#include "rattanward/http/metrics_server.h"

#include <utility>

namespace rattanward::http {
namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kMaxBodyBytes = 16U << 10U;
constexpr int kNotFound = 404;
constexpr const char* kPath = "/metrics";

}  // namespace

MetricsServer::MetricsServer(asio::io_context& io,
                             std::function<std::string()> text)
    : server_(io, {kMaxConnections, kMaxBodyBytes},
              [text = std::move(text)](
                  const std::shared_ptr<ServerConnection>& connection,
                  const ServerRequest& request) {
                ResponseHead head;
                if (request.head.target != kPath) {
                  head.status = kNotFound;
                  connection->Respond(std::move(head), "");
                  return;
                }
                head.fields.Add("Content-Type", "text/plain; version=0.0.4");
                connection->Respond(std::move(head), text());
              }) {}

}  // namespace rattanward::http
