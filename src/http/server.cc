#include "rattanward/http/server.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>
#include <vector>

namespace rattanward::http {
namespace {

using asio::ip::tcp;

constexpr Duration kAcceptRetryDelay{std::chrono::milliseconds(20)};
/// Limits the connections accepted per wakeup, so that other handlers of the
/// io_context also run.
constexpr int kMaxAcceptsPerWakeup = 64;

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  const std::chrono::duration<double> seconds = duration;
  std::snprintf(text.data(), text.size(), "%.3f", seconds.count());
  return text.data();
}

}  // namespace

Server::Server(asio::io_context& io, Options options, RequestHandler handler)
    : io_(io),
      acceptor_(io),
      retry_timer_(io),
      options_(options),
      handler_(std::move(handler)),
      body_budget_(
          std::make_shared<BodyBudget>(BodyBudget{options.max_body_bytes, 0})) {
}

Status Server::Listen(const Endpoint& endpoint) {
  asio::error_code e;
  const auto address = asio::ip::make_address(endpoint.address, e);
  const tcp::endpoint local(address, endpoint.port);
  if (!e) {
    acceptor_.open(local.protocol(), e);
  }
  if (!e) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), e);
  }
  if (!e) {
    acceptor_.bind(local, e);
  }
  if (!e) {
    acceptor_.listen(asio::socket_base::max_listen_connections, e);
  }
  if (!e) {
    acceptor_.non_blocking(true, e);
  }
  if (e) {
    return MakeError(ErrorCode::kDisconnected,
                     ToString(endpoint) + ": " + e.message());
  }
  bound_ = {endpoint.address, acceptor_.local_endpoint().port()};
  Accept();
  return outcome::success();
}

void Server::Accept() {
  acceptor_.async_wait(
      tcp::acceptor::wait_read, [this](const asio::error_code& wait_error) {
        if (wait_error || stopped_) {
          return;
        }
        for (int i = 0; i < kMaxAcceptsPerWakeup; ++i) {
          asio::error_code e;
          tcp::socket socket(io_);
          acceptor_.accept(socket, e);
          if (e == asio::error::would_block || e == asio::error::try_again) {
            break;
          }
          if (e == asio::error::no_descriptors) {
            ScheduleAcceptRetry();
            return;
          }
          if (!e) {
            AddConnection(std::move(socket));
          }
        }
        Accept();
      });
}

/// Waits before the next accept when the process has no free descriptors,
/// instead of busy-looping on a readable acceptor.
void Server::ScheduleAcceptRetry() {
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this](const asio::error_code& e) {
    if (!e && !stopped_) {
      Accept();
    }
  });
}

void Server::AddConnection(tcp::socket socket) {
  if (connections_.size() >= options_.max_connections) {
    // Closed without a response, since the peer may not have sent a request.
    OnRejected(MakeError(ErrorCode::kTooManyOpenRequests,
                         "connection limit of the server reached"));
    return;
  }
  auto connection =
      std::make_shared<ServerConnection>(std::move(socket), *this);
  connections_[connection.get()] = connection;
  connection->Start();
  if (closing_) {
    connection->CloseAfterNextResponse();
  }
}

void Server::StopListening() {
  asio::error_code e;
  for (int i = 0; i < asio::socket_base::max_listen_connections &&
                  acceptor_.is_open() && e != asio::error::would_block;
       ++i) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, e);
    if (!e) {
      AddConnection(std::move(socket));
    }
  }
  acceptor_.close(e);
  retry_timer_.cancel();
}

void Server::CloseAfterResponses() {
  closing_ = true;
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  for (const auto& connection : all) {
    connection->CloseWhenIdle();
  }
}

void Server::EndBusy(const Error& error) {
  std::vector<std::shared_ptr<ServerConnection>> busy;
  for (const auto& [key, connection] : connections_) {
    if (connection->busy()) {
      busy.push_back(connection);
    }
  }
  for (const auto& connection : busy) {
    RespondError(*connection, error);
  }
}

void Server::Stop() {
  stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  for (const auto& [key, connection] : std::exchange(connections_, {})) {
    connection->Abort();
  }
}

std::size_t Server::busy() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& c) { return c.second->busy(); }));
}

void Server::OnRequest(const std::shared_ptr<ServerConnection>& connection,
                       ServerRequest request) {
  handler_(connection, std::move(request));
}

Response Server::OnRejected(const Error& error) {
  if (on_rejected) {
    on_rejected(error);
  }
  if (make_error_response) {
    return make_error_response(error);
  }
  Response response;
  response.head.status = HttpStatus(error.code);
  response.body = error.message + "\n";
  return response;
}

void Server::OnClosed(ServerConnection& connection) {
  connections_.erase(&connection);
}

void RespondError(ServerConnection& connection, const Error& error,
                  Fields fields) {
  ResponseHead head;
  head.fields = std::move(fields);
  head.status = HttpStatus(error.code);
  head.fields.Add("Content-Type", "text/plain");
  if (error.retry_after) {
    head.fields.Add("Retry-After", FormatSeconds(*error.retry_after));
  }
  connection.Respond(std::move(head),
                     std::to_string(static_cast<int>(error.code)) + ' ' +
                         std::string(ErrorName(error.code)) + ": " +
                         error.message + '\n');
}

}  // namespace rattanward::http
