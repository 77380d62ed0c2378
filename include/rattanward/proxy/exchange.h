#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "rattanward/domain/event.h"
#include "rattanward/domain/routing.h"
#include "rattanward/http/client_connection.h"
#include "rattanward/http/server_connection.h"
#include "rattanward/policy/placer.h"
#include "rattanward/proxy/dialect.h"
#include "rattanward/proxy/event_splitter.h"

namespace rattanward::proxy {

class Exchange;

/// @brief What an exchange asks of the entry that it belongs to.
class ExchangeOwner {
 public:
  virtual ~ExchangeOwner() = default;
  virtual const Dialect& dialect() const = 0;
  /// @brief Puts a request into the queue (again).
  virtual void Enqueue(const std::shared_ptr<Exchange>& exchange) = 0;
  /// @brief A connection for a request, or null if none may be opened.
  virtual std::shared_ptr<http::ClientConnection> Connect(
      const UpstreamId& upstream) = 0;
  /// @brief Takes one repeat of the budget that all entries share.
  virtual bool MayRepeat(const Exchange& exchange) = 0;
  /// @brief Whether the request may still start: its key is not taken away.
  virtual Status MayStart(const Exchange& exchange) = 0;
  virtual policy::PlacementCharge NoteSent(const Exchange& exchange) = 0;
  virtual policy::UpstreamLoad LoadOf(const UpstreamId& upstream) const = 0;
  virtual void NoteFirstEvent(const Exchange& exchange,
                              policy::PlacementCharge* charge) = 0;
  /// @brief Gives a connection and a place at an upstream back.
  virtual void NoteReleased(
      const Exchange& exchange, const policy::PlacementCharge& charge,
      std::shared_ptr<http::ClientConnection> connection) = 0;
  virtual void NoteRefusedThere(const Exchange& exchange) = 0;
  virtual void NoteUnreachable(const Exchange& exchange) = 0;
  /// @brief The connection broke while the upstream had the request.
  virtual void NoteBroken(const Exchange& exchange) = 0;
  virtual void NoteAnswered(const Exchange& exchange) = 0;
  /// @brief What the upstream made of the request is known.
  /// @param well False if it failed, refused, broke off or stayed silent.
  virtual void NoteEnded(const Exchange& exchange, bool well) = 0;
  /// @brief When a refused caller should come again.
  virtual Duration RetryAfter(const Exchange& exchange) const = 0;
  virtual void Log(EventId id, const Exchange& exchange,
                   std::vector<EventField> fields) = 0;
  /// @brief The exchange is over; drop it.
  virtual void Forget(const std::shared_ptr<Exchange>& exchange) = 0;
};

/// @brief A caller's request, checked and routed.
struct RoutedRequest {
  std::shared_ptr<http::ServerConnection> caller;
  http::ServerRequest request;
  RequestTraits traits;
  /// Keeps route and account alive.
  std::shared_ptr<const RoutingTable> table;
  const Route* route = nullptr;
  /// Null on routes that need no key.
  const RoutedAccount* account = nullptr;
  ServiceName service;
  /// Of path, account and body.
  std::uint64_t fingerprint = 0;
};

/// @brief One request from its arrival to its final answer.
/// @note A whole answer is passed on once it is complete; a stream, event by
/// event. What may have run is sent again only where the route allows it.
class Exchange : public http::ClientHandler,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& io, ExchangeOwner& owner, RoutedRequest request);

  /// @brief Watches the caller and the clock, and enters the queue.
  void Start();

  /// @brief Sends the request to an upstream.
  /// @return False if no connection could be had.
  bool SendTo(const UpstreamId& upstream);

  /// @brief Ends a request that waits; it did not run.
  void Refuse(const Error& error);

  const RoutedRequest& routed() const { return request_; }
  const policy::PlacementRequest& placement() const { return placement_; }
  /// @brief Upstreams that this request must not go to again.
  const std::set<UpstreamId>& excluded() const { return excluded_; }
  const UpstreamId& upstream() const { return upstream_; }
  std::uint32_t attempts() const { return attempts_; }
  TimePoint deadline() const { return deadline_; }
  /// @brief When the first event came, or else the whole answer.
  TimePoint answered_at() const;
  bool waiting() const { return state_ == State::kWaiting; }
  bool over() const { return state_ == State::kOver; }
  bool streams() const { return request_.route->kind == RouteKind::kStream; }
  /// @brief Whether a run that broke may be followed by another.
  bool may_repeat() const;

  bool IsMatchingResponse(const http::ResponseHead& head) const override;
  void OnHead(const http::ResponseHead& head, http::Framing framing,
              std::uint64_t length) override;
  void OnBody(std::string_view piece) override;
  void OnReadEnd() override;
  void OnComplete() override;
  void OnFailure(http::ClientFailure failure) override;

 private:
  enum class State : std::uint8_t { kWaiting, kSent, kOver };

  void CallerLeft();
  void DeadlinePassed();
  void TakeStreamBytes(std::string_view piece);
  void StartStream();
  void NoteEventTimes();
  void FinishStream();
  void AnswerWhole();
  void RefusedThere();
  void Broken(http::ClientFailure failure);
  void TryAgain();
  void Fail(Error error);
  void Release();
  void End(EventId id, std::vector<EventField> fields);
  UpstreamOrder Order() const;
  Duration Left() const;

  asio::steady_timer timer_;
  ExchangeOwner& owner_;
  RoutedRequest request_;
  policy::PlacementRequest placement_;
  policy::PlacementCharge charge_;
  std::set<UpstreamId> excluded_;
  std::shared_ptr<http::ClientConnection> connection_;
  UpstreamId upstream_;
  State state_ = State::kWaiting;
  TimePoint deadline_;
  TimePoint sent_at_;
  TimePoint first_event_at_;
  TimePoint last_event_at_;
  Duration longest_pause_{0};
  std::uint32_t attempts_ = 0;
  std::uint32_t unreachable_ = 0;
  /// Whether any upstream may have begun to run it.
  bool may_have_run_ = false;
  http::ResponseHead answer_;
  AnswerTraits answer_traits_;
  std::string body_;
  std::string piece_;
  EventSplitter splitter_;
  bool event_stream_ = false;
  bool stream_started_ = false;
};

}  // namespace rattanward::proxy
