#include "rattanward/entry/caller_front.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "rattanward/adapter/elastic_task_queue.h"
#include "rattanward/entry/http_answers.h"

namespace rattanward::entry {
namespace {

using Json = nlohmann::json;

constexpr auto kReadTimeout = std::chrono::seconds(5);
constexpr auto kWriteTimeout = std::chrono::seconds(5);
constexpr std::time_t kKeepAliveSeconds = 2;
constexpr std::size_t kKeepAliveRequests = 1000;
constexpr std::size_t kMaxBodyBytes = 8U << 20U;
constexpr std::string_view kEndMarker = "data: [DONE]\n\n";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::string EventText(const std::string& data) {
  return "data: " + data + "\n\n";
}

/// Turns an item of a streamed answer into what goes to the caller.
class StreamText {
 public:
  void Add(const AnswerItem& item) {
    if (const auto* event = std::get_if<AnswerEvent>(&item)) {
      text_ += EventText(event->data);
    } else if (std::holds_alternative<AnswerEnd>(item)) {
      text_ += kEndMarker;
      ended_ = true;
    } else if (const auto* error = std::get_if<Error>(&item)) {
      // No end marker: the caller must see that the answer is not whole.
      text_ += EventText(ErrorToJson(*error));
      ended_ = true;
    }
  }
  const std::string& text() const { return text_; }
  bool ended() const { return ended_; }

 private:
  std::string text_;
  bool ended_ = false;
};

Error ErrorOfStatus(int status) {
  switch (status) {
    case 404:
      return MakeError(ErrorCode::kUnknownPath, "nothing is served here");
    case 413:
      return MakeError(ErrorCode::kBodyTooLarge, "the body is too large");
    case 414:
    case 431:
      return MakeError(ErrorCode::kHeadersTooLarge,
                       "the headers are too large");
    default:
      return MakeError(ErrorCode::kMalformedHeader,
                       "the request is malformed or its headers too large");
  }
}

}  // namespace

/// Counts a request as in flight until its answer has gone out.
class CallerFront::OpenRequest {
 public:
  explicit OpenRequest(std::atomic<std::size_t>& count) : count_(count) {
    ++count_;
  }
  ~OpenRequest() { --count_; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  std::atomic<std::size_t>& count_;
};

CallerFront::CallerFront(EntryCore& core, const RequestRecorder& recorder,
                         std::string id_prefix, std::size_t max_threads,
                         GuardFactory guards,
                         std::function<std::string()> metrics)
    : core_(core),
      recorder_(recorder),
      id_prefix_(std::move(id_prefix)),
      guards_(std::move(guards)),
      metrics_(std::move(metrics)) {
  server_.new_task_queue = [max_threads] {
    return new adapter::ElasticTaskQueue(max_threads);
  };
  server_.set_tcp_nodelay(true);
  server_.set_read_timeout(kReadTimeout);
  server_.set_write_timeout(kWriteTimeout);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  server_.set_keep_alive_max_count(kKeepAliveRequests);
  server_.set_payload_max_length(kMaxBodyBytes);
  Routes();
}

CallerFront::~CallerFront() { Stop(); }

Result<std::uint16_t> CallerFront::Start(const Endpoint& listen) {
  int port = listen.port;
  const bool bound = port == 0
                         ? (port = server_.bind_to_any_port(listen.address)) > 0
                         : server_.bind_to_port(listen.address, port);
  if (!bound) {
    return MakeError(ErrorCode::kDisconnected,
                     "cannot listen on " + ToString(listen));
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return static_cast<std::uint16_t>(port);
}

void CallerFront::Stop() {
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CallerFront::Routes() {
  Health();
  server_.Get("/v1/models", [this](const auto& request, auto& response) {
    ListModels(request, response);
  });
  server_.Post("/v1/chat/completions",
               [this](const auto& request, auto& response) {
                 Serve(request, response, true);
               });
  const auto service = [this](const httplib::Request& request,
                              httplib::Response& response) {
    Serve(request, response, false);
  };
  const char* services = "/services/.+";
  server_.Get(services, service);
  server_.Post(services, service);
  server_.Put(services, service);
  server_.Patch(services, service);
  server_.Delete(services, service);
  server_.set_error_handler([](const auto&, httplib::Response& response) {
    if (response.body.empty()) {
      const int status = response.status;
      WriteError(ErrorOfStatus(status), response);
      response.status = status;
    }
  });
}

void CallerFront::Health() {
  server_.Get("/health/live", [](const auto&, httplib::Response& response) {
    response.set_content("{\"live\":true}", "application/json");
  });
  server_.Get("/health/ready",
              [this](const auto&, httplib::Response& response) {
                const EntryStatusView view = core_.View();
                const bool ready = view.ready && ready_;
                const Json json = {{"ready", ready},
                                   {"version", view.version.value},
                                   {"open_requests", view.open_requests},
                                   {"upstreams", view.upstreams}};
                response.set_content(json.dump(), "application/json");
                response.status = ready ? kOk : kUnavailable;
              });
  server_.Get("/metrics", [this](const auto&, httplib::Response& response) {
    response.set_content(metrics_ ? metrics_() : "", "text/plain");
  });
}

void CallerFront::ListModels(const httplib::Request& request,
                             httplib::Response& response) {
  const auto snapshot = core_.Snapshot();
  if (!snapshot) {
    WriteError(MakeError(ErrorCode::kNoConfiguration,
                         "no configuration is in force here yet"),
               response);
    return;
  }
  if (const auto account = Authenticate(*snapshot, request); !account) {
    WriteError(account.error(), response);
    return;
  }
  Json list = Json::array();
  for (const ModelName& model : snapshot->config().models) {
    list.push_back({{"id", model.str()}, {"object", "model"}});
  }
  response.set_content(Json({{"object", "list"}, {"data", list}}).dump(),
                       "application/json");
}

void CallerFront::Serve(const httplib::Request& request,
                        httplib::Response& response, bool completion) {
  const std::string caller_id = request.get_header_value("X-Request-Id");
  if (!caller_id.empty()) {
    response.set_header("X-Request-Id", caller_id);
  }
  const auto refuse = [&](const Error& error) { WriteError(error, response); };
  const auto snapshot = core_.Snapshot();
  if (const Status open = core_.MayStart(); !open || !snapshot) {
    response.set_header("Connection", "close");
    return refuse(open ? MakeError(ErrorCode::kNoConfiguration,
                                   "no configuration is in force here yet")
                       : open.error());
  }
  const auto account = Authenticate(*snapshot, request);
  if (!account) {
    return refuse(account.error());
  }
  if (request.body.size() > snapshot->config().limits.max_body_bytes) {
    return refuse(MakeError(
        ErrorCode::kBodyTooLarge,
        "the body has " + std::to_string(request.body.size()) +
            " bytes; the limit is " +
            std::to_string(snapshot->config().limits.max_body_bytes)));
  }
  const RequestId id = NextId();
  auto checked =
      completion ? CheckCompletion(*snapshot, *account.value(), request, id)
                 : CheckServiceCall(*snapshot, *account.value(), request, id);
  if (!checked) {
    return refuse(checked.error());
  }
  response.set_header("X-Rattanward-Request", id.str());
  Answer(std::move(checked).value(), *snapshot, response);
}

void CallerFront::Answer(CheckedRequest checked, const ConfigSnapshot& snapshot,
                         httplib::Response& response) {
  const auto open = std::make_shared<OpenRequest>(in_flight_);
  const auto mailbox = std::make_shared<DecisionMailbox>();
  const auto channel = std::make_shared<AnswerChannel>();
  checked.plan.info.arrived = EntryCore::Now();
  if (!checked.idempotency_key.empty() && guards_) {
    checked.plan.guard = guards_(checked, snapshot);
  }
  recorder_.Arrived(checked.plan.info);
  core_.Submit(checked.plan.info, mailbox);
  policy::Decision decision = mailbox->Wait();
  if (const auto* refused = std::get_if<policy::Refuse>(&decision)) {
    recorder_.Shed(checked.plan.info, refused->error);
    WriteError(refused->error, response);
    return;
  }
  std::thread([this, open, mailbox, channel, plan = std::move(checked.plan),
               first = std::get<policy::StartAttempt>(decision)] {
    RunExchange(core_, recorder_, plan, *mailbox, first, channel);
  }).detach();
  AnswerFromChannel(channel, open, response);
}

void CallerFront::AnswerFromChannel(
    const std::shared_ptr<AnswerChannel>& channel,
    const std::shared_ptr<OpenRequest>& open, httplib::Response& response) {
  const auto items = std::make_shared<std::deque<AnswerItem>>(channel->Take());
  const AnswerItem& item = items->front();
  if (const auto* error = std::get_if<Error>(&item)) {
    WriteError(*error, response);
    return;
  }
  WriteVerdict(Verdict::kRan, response);
  if (const auto* whole = std::get_if<WholeAnswer>(&item)) {
    response.status = whole->status;
    response.set_content(whole->body, whole->content_type.c_str());
    return;
  }
  response.set_chunked_content_provider(
      "text/event-stream",
      [channel, items](std::size_t, httplib::DataSink& sink) {
        StreamText text;
        if (items->empty()) {
          *items = channel->Take();
        }
        for (const AnswerItem& next : *items) {
          text.Add(next);
        }
        items->clear();
        if (!text.text().empty() &&
            !sink.write(text.text().data(), text.text().size())) {
          return false;
        }
        if (text.ended()) {
          sink.done();
        }
        return true;
      },
      [channel, open](bool whole) {
        if (!whole) {
          channel->Leave();
        }
      });
}

RequestId CallerFront::NextId() {
  return RequestId(id_prefix_ + "-" + std::to_string(next_id_++));
}

}  // namespace rattanward::entry
