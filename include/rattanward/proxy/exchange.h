#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "rattanward/domain/event.h"
#include "rattanward/domain/routing.h"
#include "rattanward/http/client_connection.h"
#include "rattanward/http/server_connection.h"
#include "rattanward/policy/account_shares.h"
#include "rattanward/policy/part_quarantine.h"
#include "rattanward/policy/placer.h"
#include "rattanward/proxy/dialect.h"
#include "rattanward/proxy/event_pace.h"
#include "rattanward/proxy/event_splitter.h"
#include "rattanward/proxy/exchange_stage.h"
#include "rattanward/proxy/hedge_attempt.h"
#include "rattanward/proxy/relay_fields.h"

namespace rattanward::proxy {

class Exchange;

/// @brief Interface through which an exchange uses the entry that owns it.
class ExchangeOwner {
 public:
  virtual ~ExchangeOwner() = default;
  virtual const Dialect& dialect() const = 0;
  /// @brief Adds a new or retried request to the queue.
  virtual void Enqueue(const std::shared_ptr<Exchange>& exchange) = 0;
  /// @brief Returns a connection to an upstream, or null if the upstream is
  /// unknown or its connection limit is reached.
  virtual std::shared_ptr<http::ClientConnection> Connect(
      const UpstreamId& upstream) = 0;
  /// @brief Takes one retry from the retry budget, which is divided among all
  /// entries.
  /// @return Whether the retry is permitted.
  virtual bool TryTakeRetry(const Exchange& exchange) = 0;
  /// @brief Checks, before a request is sent, that its key is still valid.
  /// @return Success on routes without authentication. Otherwise an error if
  /// the key is unknown or was not confirmed recently enough.
  virtual Status MayStart(const Exchange& exchange) = 0;
  /// @brief The request is about to be sent to its upstream.
  /// @return The capacity charged at the upstream.
  virtual policy::PlacementCharge OnSent(const Exchange& exchange) = 0;
  /// @brief What is known now against the parts of the request's prompt.
  virtual std::vector<policy::PartSuspicion> KnownAgainstParts(
      const Exchange& exchange) const = 0;
  virtual policy::UpstreamLoad LoadOf(const UpstreamId& upstream) const = 0;
  /// @brief The first event of a stream arrived.
  /// @param charge Its pending prefill tokens are set to 0.
  virtual void OnFirstEvent(const Exchange& exchange,
                            policy::PlacementCharge* charge) = 0;
  /// @brief The request has begun to run at an upstream, for the first time as
  /// far as this entry knows.
  virtual void OnBeganToRun(const Exchange& exchange, TimePoint at) = 0;
  /// @brief Events of a stream arrived, after its first one.
  /// @param time Time in which they came.
  virtual void OnPace(const Exchange& exchange, Duration time,
                      std::uint64_t events) = 0;
  /// @brief A stream has ended at an upstream.
  /// @param event_time Shortest time between two of its events.
  virtual void OnShortestGap(const Exchange& exchange, Duration event_time) = 0;
  /// @brief The caller is about to get the first event of a stream from this
  /// entry.
  virtual void OnStreamStarted(const Exchange& exchange) = 0;
  /// @brief Releases a connection and the capacity charged at its upstream.
  virtual void OnReleased(
      const Exchange& exchange, const policy::PlacementCharge& charge,
      std::shared_ptr<http::ClientConnection> connection) = 0;
  /// @brief Start of the process that an upstream id stands for now.
  virtual std::uint64_t StartOf(const UpstreamId& upstream) const = 0;
  /// @brief Version of the software of an upstream.
  virtual std::string VersionOf(const UpstreamId& upstream) const = 0;
  /// @brief The upstream told that it is leaving.
  virtual void OnLeaving(const Exchange& exchange) = 0;
  /// @brief The upstream wants no request of this entry for so long.
  virtual void OnBackoff(const Exchange& exchange, Duration backoff_for) = 0;
  /// @brief An answer of the upstream named its limits, or that it has none.
  virtual void OnLimit(const Exchange& exchange, const NamedTerms& named) = 0;
  /// @brief The upstream rejected the request without running it.
  virtual void OnRejected(const Exchange& exchange) = 0;
  /// @brief No connection to the upstream could be opened.
  virtual void OnUnreachable(const Exchange& exchange) = 0;
  /// @brief The connection failed after the request was sent.
  virtual void OnConnectionLost(const Exchange& exchange) = 0;
  /// @brief The request was let go of while its upstream may go on with it.
  virtual void OnLetGo(const Exchange& exchange) = 0;
  /// @brief The head of the upstream's response arrived.
  virtual void OnResponseHead(const Exchange& exchange) = 0;
  /// @brief The outcome of the request at its upstream is known.
  /// @param succeeded False if the upstream returned an error, rejected the
  /// request, lost the connection or did not respond in time.
  virtual void OnOutcome(const Exchange& exchange, bool succeeded) = 0;
  /// @brief The upstream answered successfully, and the framing of its answer
  /// shows that nothing is missing.
  virtual void OnWholeAnswer(const Exchange& exchange) = 0;
  /// @brief Returns the time after which a refused caller should retry.
  virtual Duration RetryAfter(const Exchange& exchange) const = 0;
  /// @brief Returns a connection to another entry, or null if the limit of
  /// connections is reached.
  virtual std::shared_ptr<http::ClientConnection> ConnectToPeer(
      const Endpoint& peer) = 0;
  /// @brief The entry that the request was relayed to can't serve it.
  virtual void OnPeerUnable(const Exchange& exchange) = 0;
  /// @brief No connection to that entry could be opened.
  virtual void OnPeerUnreachable(const Exchange& exchange) = 0;
  /// @brief The answer to a relayed request told that an upstream is leaving.
  virtual void OnRelayedLeaving(const membership::InstanceStart& upstream) = 0;
  /// @brief Time after which a second attempt of the request may start; nothing
  /// if its service grants no extra work.
  virtual std::optional<Duration> HedgeDelay(
      const Exchange& exchange) const = 0;
  /// @brief Chooses another upstream for a second attempt, and takes its
  /// connection, its capacity and its part of the budgets.
  /// @return Nothing if no second attempt may start now.
  virtual std::optional<HedgePlacement> PlaceHedge(Exchange& exchange) = 0;
  /// @brief A second attempt ended or became the only one.
  /// @param traits Of its answer, if it failed.
  virtual void OnHedgeEnded(const Exchange& exchange,
                            const HedgePlacement& placement, HedgeEnd end,
                            const ResponseTraits& traits) = 0;
  virtual void Log(EventId id, const Exchange& exchange,
                   std::vector<EventField> fields) = 0;
  /// @brief Removes a finished exchange.
  virtual void Forget(const std::shared_ptr<Exchange>& exchange) = 0;
};

/// @brief A caller's request after validation and routing.
struct RoutedRequest {
  std::shared_ptr<http::ServerConnection> caller;
  http::ServerRequest request;
  RequestTraits traits;
  /// Owns the objects that route and account point to.
  std::shared_ptr<const RoutingTable> table;
  const Route* route = nullptr;
  /// May be null on routes without authentication.
  const RoutedAccount* account = nullptr;
  ServiceName service;
  /// Set if another entry relayed the request.
  std::optional<RelayedRequest> relayed;
  /// Hash of path, account and body; identifies requests that crash upstreams.
  std::uint64_t fingerprint = 0;
};

/// @brief Handles a request from its arrival to its final response.
/// @note An ordinary response is forwarded once it is complete. A stream is
/// forwarded event by event. A request that may have run is sent again only if
/// its route permits that.
class Exchange : public http::ClientHandler,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& io, ExchangeOwner& owner, RoutedRequest request);

  /// @brief Watches the caller's connection, starts the deadline timer and
  /// adds the request to the queue.
  void Start();

  /// @brief Sends the request to an upstream, or ends it if it may not start.
  /// @return False if no connection was available.
  bool SendTo(const UpstreamId& upstream);

  /// @brief Sends the request to another entry, or ends it if it may not start.
  /// @return False if no connection was available.
  bool RelayTo(const Endpoint& peer);

  /// @brief Whether the request may be sent again and its upstream has been
  /// silent for longer than one in order.
  bool MayAbandonSilent(TimePoint now) const;

  /// @brief Gives up an attempt whose path is lost. The request waits again.
  /// @note The owner has taken the retry, and knows that the next attempt may
  /// begin: an attempt is not given up for nothing.
  void LeaveLostPath();

  /// @brief Ends a waiting request with an error response.
  void Refuse(const Error& error);

  /// @brief Reads the upstream's answer as fast as it comes from now on,
  /// however slowly the caller reads.
  void ReadAll();

  /// @brief Ends an open request because this entry stops now.
  void EndForStop(Error error);

  const RoutedRequest& routed() const { return request_; }
  const policy::PlacementRequest& placement() const { return placement_; }
  /// @brief Restricts the request to upstreams with these versions; empty for
  /// any.
  void SetVersions(std::set<std::string> versions) {
    placement_.versions = std::move(versions);
  }
  /// @brief Whether the stream may go on at another upstream after its first
  /// event, for this caller's attempt or a later one.
  bool may_go_on_elsewhere() const {
    return streams() && request_.route->resumable;
  }
  /// @brief Version of the upstream that brought the first event of this
  /// answer, or nothing before that event.
  const std::optional<std::string>& stream_version() const {
    return stream_version_;
  }
  /// @brief What the request counts for among those that wait.
  policy::ShareKey share_key() const {
    return {request_.service, request_.account == nullptr
                                  ? ClientAccountId()
                                  : request_.account->id};
  }
  /// @brief Whether the request was never sent, here or by another entry, and
  /// its answer begins at its beginning.
  bool is_unsent() const {
    return attempts_ == 0 && !request_.relayed && !may_have_run_ &&
           !request_.traits.resumes_stream;
  }
  /// @brief Whether the end of the waiting request is to be forecast now.
  /// @note True at most once in a period, since a forecast takes processor
  /// time.
  bool TakeForecast(TimePoint now);
  /// @brief Upstreams to which this request must not be sent again.
  const std::set<UpstreamId>& excluded() const { return excluded_; }
  const UpstreamId& upstream() const { return upstream_; }
  std::uint32_t attempts() const { return attempts_; }
  /// @brief Upstreams to which no connection could be opened.
  std::uint32_t unreachable_count() const { return unreachable_count_; }
  /// @brief Entry that the request was last relayed to, if it wasn't sent to an
  /// upstream since.
  const std::optional<Endpoint>& relay_peer() const { return relay_peer_; }
  /// @brief Entries that did not take the request.
  const std::set<Endpoint>& relays_tried() const { return relays_tried_; }
  /// @brief Whether an upstream has the request.
  bool sent_to_upstream() const {
    return stage_.sent() && !relay_peer_ && stage_.connection()->sent_any();
  }
  /// @brief Last time that bytes of the answer arrived, or that the request was
  /// sent.
  TimePoint last_byte_at() const { return last_byte_at_; }
  TimePoint deadline() const { return deadline_; }
  /// @brief When the last attempt was sent.
  TimePoint sent_at() const { return sent_at_; }
  /// @brief Whether any upstream may have started to run the request.
  bool may_have_run() const { return may_have_run_; }
  /// @brief Whether the caller has got the first event of a stream.
  bool stream_started() const { return stream_started_; }
  /// @brief Number of complete events of the stream.
  std::uint64_t events() const { return splitter_.events(); }
  /// @brief Whether the answer of the upstream states success.
  bool succeeded() const { return http::IsSuccess(response_.status); }
  /// @brief Arrival time of the first event, or the current time if there is
  /// none. For a response that isn't a stream, valid when it completes.
  TimePoint answered_at() const;
  /// @brief Mean time between the events of a stream, if there were enough.
  std::optional<Duration> mean_event_gap() const;
  bool waiting() const { return stage_.waiting(); }
  bool finished() const { return stage_.finished(); }
  /// @brief Start of the upstream when the request was sent to it.
  std::uint64_t upstream_start() const { return upstream_start_; }
  /// @brief What was known against the prompt's parts when the request was
  /// sent.
  const std::vector<policy::PartSuspicion>& known_at_send() const {
    return known_at_send_;
  }
  bool streams() const { return request_.route->kind == RouteKind::kStream; }
  /// @brief Whether the route permits sending the request again after it may
  /// have run.
  bool is_retryable() const;

  /// @brief Reads the head of an answer to a second attempt.
  ResponseTraits ReadHedgeResponse(const http::ResponseHead& head) const;
  /// @brief Whether a response that arrived on a connection belongs to the
  /// request.
  bool IsResponseTo(const ResponseTraits& traits,
                    const http::ClientConnection& connection) const;
  /// @brief The second attempt replaces the first one.
  void AdoptHedge();
  /// @brief The second attempt brought no good answer.
  void OnHedgeFailed(const ResponseTraits& traits);

  void OnReceivedHead(const http::ResponseHead& head) override;
  bool IsMatchingResponse(const http::ResponseHead& head) const override;
  void OnHead(const http::ResponseHead& head, http::Framing framing,
              std::uint64_t length) override;
  void OnBody(std::string_view piece) override;
  void OnReadEnd() override;
  void OnComplete() override;
  void OnFailure(http::ClientFailure failure) override;

 private:
  bool MayAnswerLate() const;
  void AwaitLateAnswer();
  void ReportIfLetGo(const http::ClientConnection& connection);
  void EndLateAnswer();
  void OnCallerGone();
  void OnMemoryExhausted();
  void OnDeadline();
  void ReportBegan(TimePoint at);
  bool ShowsRun(const http::ResponseHead& head, bool not_run) const;
  void ForwardEvents(std::string_view piece);
  void StartStream();
  void RecordEventTimes(std::uint64_t events);
  void RecordPace(TimePoint now);
  void ReportPace(TimePoint now);
  bool StreamIsWhole() const;
  void FinishStream();
  void ReportWholeAnswer();
  void FinishWholeResponse();
  void HandleRejection();
  void BeginAttempt(std::shared_ptr<http::ClientConnection> connection);
  void Transmit(const http::RequestHead& head, Duration connect_timeout);
  RelayedRequest MakeRelayedRequest() const;
  void FinishRelay();
  void HandleRelayFailure(http::ClientFailure failure);
  void HandleConnectionLoss(const std::string& reason);
  void RecordConnectionLoss(const std::string& reason);
  bool MayGoOn() const;
  bool MayHedge() const;
  void ScheduleHedge();
  void StartHedge();
  bool FallBackToHedge();
  void CancelHedge();
  void Requeue();
  void Fail(Error error);
  void Release();
  void ReturnToOwner(const std::shared_ptr<http::ClientConnection>& connection);
  void End(EventId id, std::vector<EventField> fields);
  void ReadLimit(int status);
  ForwardingInfo MakeForwardingInfo(const UpstreamId& upstream) const;
  Duration RemainingTime() const;

  asio::steady_timer timer_;
  asio::steady_timer hedge_timer_;
  ExchangeOwner& owner_;
  RoutedRequest request_;
  policy::PlacementRequest placement_;
  policy::PlacementCharge charge_;
  std::set<UpstreamId> excluded_;
  ExchangeStage stage_;
  /// Set after the end of a request whose upstream may still answer.
  std::shared_ptr<http::ClientConnection> late_connection_;
  /// A second attempt that runs beside the current one.
  std::shared_ptr<HedgeAttempt> hedge_;
  /// A former second attempt that has become the current one.
  std::shared_ptr<HedgeAttempt> adopted_hedge_;
  UpstreamId upstream_;
  std::optional<Endpoint> relay_peer_;
  std::set<Endpoint> relays_tried_;
  RelayedResponse relay_response_;
  TimePoint deadline_;
  TimePoint sent_at_;
  TimePoint last_byte_at_;
  TimePoint first_event_at_;
  TimePoint last_event_at_;
  Duration longest_pause_{0};
  TimePoint next_forecast_at_;
  /// Start of the events whose pace is not reported yet, and the number of
  /// events until then.
  TimePoint pace_from_;
  std::uint64_t events_before_pace_ = 0;
  /// Of the current attempt.
  EventPace pace_;
  std::uint32_t attempts_ = 0;
  std::uint32_t unreachable_count_ = 0;
  /// Whether any upstream may have started to run the request.
  bool may_have_run_ = false;
  http::ResponseHead response_;
  /// Of the latest response head, whether it belongs to the request or not.
  ResponseTraits response_traits_;
  std::uint64_t upstream_start_ = 0;
  std::string upstream_version_;
  std::optional<std::string> stream_version_;
  std::vector<policy::PartSuspicion> known_at_send_;
  /// Whether the end of the current attempt at its upstream is known.
  bool attempt_ended_ = false;
  /// Whether the response head of the current attempt has arrived.
  bool response_begun_ = false;
  http::Framing response_framing_ = http::Framing::kNone;
  std::uint64_t events_before_send_ = 0;
  std::string body_;
  std::string piece_;
  EventSplitter splitter_;
  bool event_stream_ = false;
  bool may_pause_ = true;
  bool stream_started_ = false;
  bool began_ = false;
};

/// @brief Whether a status tells the caller that the request did not run and
/// will not run.
bool StatusImpliesNotRun(int status);

/// @brief Responds to a request that this entry did not accept.
/// @param relayed Whether another entry relayed it, which learns whether it may
/// try elsewhere.
void RespondRefusal(http::ServerConnection& caller, const Error& error,
                    bool relayed);

}  // namespace rattanward::proxy
