#include "rattanward/http/server.h"

#include <algorithm>
#include <array>
#include <cerrno>
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
constexpr int kMaxQueuedConnections = 4096;
/// Connections beyond the limit whose request is refused with a response.
/// Further ones are closed unread.
constexpr std::size_t kMaxRefusals = 64;
/// For servers whose process declares no memory.
constexpr std::uint32_t kDefaultMemoryMb = 1024;

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  const std::chrono::duration<double> seconds = duration;
  std::snprintf(text.data(), text.size(), "%.3f", seconds.count());
  return text.data();
}

/// Whether accepting failed for want of descriptors or memory, of this process
/// or of the system. All other errors concern one connection.
bool IsLackOfResources(const asio::error_code& error) {
  return error == asio::error::no_descriptors || error.value() == ENFILE ||
         error == asio::error::no_buffer_space ||
         error == asio::error::no_memory;
}

}  // namespace

Server::Server(asio::io_context& io, Options options, RequestHandler handler)
    : io_(io),
      acceptor_(io),
      retry_timer_(io),
      options_(std::move(options)),
      handler_(std::move(handler)),
      body_budget_(std::make_shared<BodyBudget>(
          BodyBudget{options_.max_body_bytes, 0})) {
  if (!options_.memory) {
    options_.memory = std::make_shared<MemoryBudget>(
        MemoryBudget::LimitFor(kDefaultMemoryMb));
  }
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
  if (!e) {
    // Otherwise accept() waits for the next connection after an aborted one.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), e);
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
  acceptor_.async_wait(tcp::acceptor::wait_read,
                       [this](const asio::error_code& wait_error) {
                         if (!wait_error && !stopped_) {
                           AcceptWaiting();
                         }
                       });
}

void Server::AcceptWaiting() {
  for (int i = 0; i < kMaxAcceptsPerWakeup; ++i) {
    const AcceptResult result = AcceptOne();
    if (result == AcceptResult::kNoResources) {
      ScheduleAcceptRetry();
      return;
    }
    if (result == AcceptResult::kNoneWaiting) {
      break;
    }
  }
  Accept();
}

Server::AcceptResult Server::AcceptOne() {
  asio::error_code e;
  tcp::socket socket(io_);
  acceptor_.accept(socket, e);
  if (!e) {
    AddConnection(std::move(socket));
    return AcceptResult::kAccepted;
  }
  if (e == asio::error::would_block || e == asio::error::try_again) {
    return AcceptResult::kNoneWaiting;
  }
  return IsLackOfResources(e) ? AcceptResult::kNoResources
                              : AcceptResult::kFailed;
}

/// Waits before the next accept when descriptors or memory are used up,
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
  const Error full = MakeError(ErrorCode::kTooManyOpenRequests,
                               "connection limit of the server reached");
  if (connections_.size() >= options_.max_connections + kMaxRefusals) {
    OnUnanswered(UnansweredEnd::kNotAccepted);
    OnRejected(full);
    return;
  }
  const bool refused = connections_.size() >= options_.max_connections;
  auto connection =
      std::make_shared<ServerConnection>(std::move(socket), *this);
  connections_[connection.get()] = connection;
  connection->Start();
  if (refused) {
    connection->RefuseRequest(full);
  } else if (closing_) {
    connection->CloseWhenIdle();
  }
}

void Server::StopListening() {
  AcceptQueued();
  StopAccepting();
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

/// A closed acceptor resets the connections that wait in its queue.
void Server::AcceptQueued() {
  for (int i = 0; i < kMaxQueuedConnections && !stopped_; ++i) {
    const AcceptResult result = AcceptOne();
    if (result == AcceptResult::kNoneWaiting ||
        result == AcceptResult::kNoResources) {
      return;
    }
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

void Server::StopAccepting() {
  stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void Server::Stop() {
  StopAccepting();
  for (const auto& [key, connection] : std::exchange(connections_, {})) {
    connection->Abort(UnansweredEnd::kStopped);
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
