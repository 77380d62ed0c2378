#include <gflags/gflags.h>
#include <httplib.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <nlohmann/json.hpp>

#include "batch.h"
#include "rattanward/adapter/announce_client.h"
#include "rattanward/adapter/loopback_server.h"
#include "rattanward/domain/request_rate.h"

DEFINE_int32(port, 0, "Port to listen on; 0 lets the system choose");
DEFINE_string(instance, "", "Instance id; made from the process id if empty");
DEFINE_string(failure_domain, "a", "Failure domain of this engine");
DEFINE_string(models, "small", "Models served, separated by commas");
DEFINE_uint32(capacity, 8, "Requests that run at once");
DEFINE_uint32(first_token_ms, 20, "Time to the first token");
DEFINE_uint32(token_ms, 5, "Time between two tokens");
DEFINE_string(entries, "", "Entries to announce to, ADDRESS:PORT,...");
DEFINE_string(announce_token, "", "Token that the entries expect");
DEFINE_uint32(announce_period_ms, 300, "Time between two announcements");
DEFINE_uint32(report_lag_ms, 0, "Age of the load reports");
DEFINE_string(poison, "", "A prompt with this text kills the engine");

namespace rattanward::fake {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxThreads = 1024;
constexpr std::uint32_t kDefaultTokens = 16;
/// Longest wait for an event, a resumed connection or the end of all streams
/// before the state is checked again.
constexpr auto kPollInterval = std::chrono::milliseconds(50);
/// Set by SIGTERM or fault injection: announcements say that the engine drains.
volatile std::sig_atomic_t g_drain = 0;
/// Set by SIGTERM: the process exits when no stream runs or waits.
volatile std::sig_atomic_t g_terminate = 0;

/// @brief HTTP server of the fake engine, with resumable event streams, fault
/// injection and announcements to entries.
class Engine {
 public:
  Engine() : batch_(behaviour_) {
    behaviour_.capacity = FLAGS_capacity;
    behaviour_.first_token_ms = FLAGS_first_token_ms;
    behaviour_.token_ms = FLAGS_token_ms;
    behaviour_.poison = FLAGS_poison;
  }

  void RegisterRoutes(httplib::Server& server);
  /// @brief The announcement of this moment. Its load is that of
  /// --report_lag_ms ago, to simulate outdated load reports.
  /// @param port Port of the HTTP server.
  Announcement MakeAnnouncement(int port);
  /// @brief Whether no stream runs or waits.
  bool IsIdle() {
    const EngineCounts counts = batch_.Counts();
    return counts.running == 0 && counts.waiting == 0;
  }

 private:
  void HandleCompletion(const httplib::Request& request,
                        httplib::Response& response);
  /// Applies the members of the JSON object to the engine's behaviour.
  void InjectFault(const Json& fault);
  /// Sends the stream's events from number `first_event` on. When the last
  /// response that reads an unfinished stream ends, the stream is cancelled
  /// after a timeout unless another response reads it by then.
  void SendStream(const std::shared_ptr<Stream>& stream,
                  std::uint32_t first_event, httplib::Response& response);
  /// Writes the events that are available; false aborts the connection.
  bool SendEvents(const std::shared_ptr<Stream>& stream,
                  std::uint32_t& next_event, httplib::DataSink& sink);
  /// A server-sent event with one token, or with the finish reason if the
  /// number is above that of the last token.
  std::string EventText(const Stream& stream, std::uint32_t event_number) const;

  EngineBehaviour behaviour_;
  Batch batch_;
  /// Load reports by time, from the one that is announced to the newest.
  std::deque<std::pair<std::chrono::steady_clock::time_point, LoadReport>>
      load_reports_;
  /// Streaming responses started so far; the newest one's sequence number.
  std::atomic<std::uint64_t> connections_{0};
  /// Requests answered 503 with a Retry-After.
  std::atomic<std::uint64_t> turned_away_{0};
};

std::string PromptText(const Json& body) {
  std::string text;
  for (const Json& message : body.value("messages", Json::array())) {
    text += message.value("content", std::string());
  }
  return text;
}

void Engine::HandleCompletion(const httplib::Request& request,
                              httplib::Response& response) {
  if (const int status = behaviour_.refuse_status; status != 0) {
    response.status = status;
    return;
  }
  if (const std::uint32_t seconds = behaviour_.backoff_s; seconds != 0) {
    ++turned_away_;
    response.status = 503;
    response.set_header("Retry-After", std::to_string(seconds));
    return;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded()) {
    response.status = 400;
    return;
  }
  const std::string prompt = PromptText(body);
  if (!behaviour_.poison.empty() &&
      prompt.find(behaviour_.poison) != std::string::npos) {
    _exit(1);
  }
  const int priority =
      std::atoi(request.get_header_value("X-Rattanward-Priority").c_str());
  const auto stream =
      batch_.StartStream(request.get_header_value("X-Stream-Id"),
                         request.get_header_value("X-Request-Id"), prompt,
                         body.value("max_tokens", kDefaultTokens), priority);
  SendStream(stream, 1, response);
}

void Engine::SendStream(const std::shared_ptr<Stream>& stream,
                        std::uint32_t first_event,
                        httplib::Response& response) {
  response.set_header("X-Request-Id", behaviour_.wrong_id ? "another-request"
                                                          : stream->request_id);
  response.set_header("X-Stream-Id", stream->id);
  {
    const std::lock_guard<std::mutex> lock(stream->mutex);
    ++stream->readers;
  }
  const auto next_event = std::make_shared<std::uint32_t>(first_event);
  const std::uint64_t connection_number = ++connections_;
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, stream, next_event, connection_number](std::size_t,
                                                    httplib::DataSink& sink) {
        if (connection_number <= behaviour_.last_silent_connection) {
          std::this_thread::sleep_for(kPollInterval);
          return true;
        }
        return SendEvents(stream, *next_event, sink);
      },
      [this, stream](bool) {
        bool orphan = false;
        {
          const std::lock_guard<std::mutex> lock(stream->mutex);
          orphan = --stream->readers == 0 && !stream->done;
        }
        if (orphan) {
          std::thread([this, stream] {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(behaviour_.orphan_timeout_ms));
            bool cancel = false;
            {
              const std::lock_guard<std::mutex> lock(stream->mutex);
              cancel = stream->readers == 0;
            }
            if (cancel) {
              batch_.Cancel(stream);
            }
          }).detach();
        }
      });
}

bool Engine::SendEvents(const std::shared_ptr<Stream>& stream,
                        std::uint32_t& next_event, httplib::DataSink& sink) {
  std::uint32_t produced = 0;
  bool done = false;
  {
    std::unique_lock<std::mutex> lock(stream->mutex);
    stream->changed.wait_for(lock, kPollInterval, [&] {
      return stream->produced >= next_event || stream->done ||
             stream->cancelled;
    });
    if (stream->cancelled) {
      return false;
    }
    produced = stream->produced;
    done = stream->done;
  }
  std::string text;
  const std::uint32_t break_after = behaviour_.break_after;
  while (next_event <= produced &&
         (break_after == 0 || next_event <= break_after)) {
    text += EventText(*stream, next_event++);
  }
  if (!text.empty() && !sink.write(text.data(), text.size())) {
    return false;
  }
  if (break_after != 0 && next_event > break_after) {
    return false;
  }
  if (done && next_event > stream->tokens) {
    const std::string end = EventText(*stream, stream->tokens + 1) +
                            "id: " + std::to_string(stream->tokens + 2) +
                            "\ndata: [DONE]\n\n";
    sink.write(end.data(), end.size());
    sink.done();
  }
  return true;
}

std::string Engine::EventText(const Stream& stream,
                              std::uint32_t event_number) const {
  const bool last = event_number > stream.tokens;
  Json choice = {{"index", 0}, {"finish_reason", nullptr}};
  choice["delta"] = Json::object();
  if (last) {
    choice["finish_reason"] = "stop";
  } else {
    choice["delta"]["content"] =
        stream.request_id + ":" + std::to_string(event_number) + " ";
  }
  const Json chunk = {{"id", stream.request_id},
                      {"object", "chat.completion.chunk"},
                      {"model", FLAGS_models},
                      {"choices", Json::array({choice})}};
  return "id: " + std::to_string(event_number) + "\ndata: " + chunk.dump() +
         "\n\n";
}

void Engine::InjectFault(const Json& fault) {
  if (fault.contains("slow_percent")) {
    behaviour_.slow_percent = fault["slow_percent"].get<std::uint32_t>();
  }
  if (fault.contains("stalled")) {
    behaviour_.stalled = fault["stalled"].get<bool>();
  }
  if (fault.contains("mute")) {
    behaviour_.last_silent_connection = connections_.load();
  }
  if (fault.contains("break_after")) {
    behaviour_.break_after = fault["break_after"].get<std::uint32_t>();
  }
  if (fault.contains("refuse_status")) {
    behaviour_.refuse_status = fault["refuse_status"].get<int>();
  }
  if (fault.contains("backoff_s")) {
    behaviour_.backoff_s = fault["backoff_s"].get<std::uint32_t>();
  }
  if (fault.contains("leaving")) {
    behaviour_.leaving = fault["leaving"].get<bool>();
  }
  if (fault.contains("limit_milli")) {
    behaviour_.limit_milli = fault["limit_milli"].get<std::uint32_t>();
  }
  if (fault.contains("wrong_id")) {
    behaviour_.wrong_id = fault["wrong_id"].get<bool>();
  }
  if (fault.contains("drain")) {
    g_drain = 1;
  }
}

void Engine::RegisterRoutes(httplib::Server& server) {
  server.set_post_routing_handler([this](const auto&, auto& response) {
    if (behaviour_.leaving || g_drain != 0) {
      response.set_header("X-Rattanward-Leaving", "1");
    }
    if (const std::uint32_t limit = behaviour_.limit_milli; limit != 0) {
      response.set_header(
          "X-Rattanward-Request-Limit",
          std::to_string(limit / RequestRate::kMilliPerRequest));
    }
  });
  server.Post("/v1/chat/completions",
              [this](const auto& request, auto& response) {
                HandleCompletion(request, response);
              });
  server.Get(R"(/v1/streams/([^/]+)/status)",
             [this](const auto& request, auto& response) {
               const auto stream = batch_.Find(request.matches[1]);
               Json status = {{"state", "unknown"}, {"produced", 0}};
               if (stream) {
                 const std::lock_guard<std::mutex> lock(stream->mutex);
                 status["state"] = stream->cancelled ? "cancelled"
                                   : stream->done    ? "done"
                                                     : "running";
                 status["produced"] = stream->produced;
               }
               response.set_content(status.dump(), "application/json");
             });
  server.Get(R"(/v1/streams/([^/]+))", [this](const auto& request,
                                              auto& response) {
    const auto stream = batch_.Find(request.matches[1]);
    if (!stream || stream->cancelled) {
      response.status = 404;
      return;
    }
    const int first_event = std::atoi(request.get_param_value("from").c_str());
    SendStream(stream, static_cast<std::uint32_t>(std::max(first_event, 1)),
               response);
  });
  server.Delete(R"(/v1/streams/([^/]+))",
                [this](const auto& request, auto& response) {
                  if (const auto stream = batch_.Find(request.matches[1])) {
                    batch_.Cancel(stream);
                  }
                  response.status = 200;
                });
  server.Post("/fault", [this](const auto& request, auto& response) {
    InjectFault(Json::parse(request.body));
    response.status = 200;
  });
  server.Get("/stats", [this](const auto&, auto& response) {
    const EngineCounts counts = batch_.Counts();
    const Json json = {
        {"accepted", counts.accepted},       {"completed", counts.completed},
        {"cancelled", counts.cancelled},     {"tokens", counts.tokens},
        {"running", counts.running},         {"waiting", counts.waiting},
        {"turned_away", turned_away_.load()}};
    response.set_content(json.dump(), "application/json");
  });
}

Announcement Engine::MakeAnnouncement(int port) {
  const EngineCounts counts = batch_.Counts();
  const auto now = std::chrono::steady_clock::now();
  load_reports_.emplace_back(
      now, LoadReport{counts.running, counts.waiting, 0, counts.accepted});
  const auto cutoff = now - std::chrono::milliseconds(FLAGS_report_lag_ms);
  while (load_reports_.size() > 1 && load_reports_[1].first <= cutoff) {
    load_reports_.pop_front();
  }
  Announcement announcement;
  announcement.instance = UpstreamId(FLAGS_instance);
  announcement.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(port)};
  announcement.failure_domain = FailureDomain(FLAGS_failure_domain);
  std::istringstream models(FLAGS_models);
  for (std::string model; std::getline(models, model, ',');) {
    announcement.models.emplace_back(model);
  }
  announcement.capacity = FLAGS_capacity;
  announcement.load = load_reports_.front().second;
  announcement.draining = g_drain != 0;
  announcement.not_run_statuses = {429, 503};
  return announcement;
}

int Run() {
  Engine engine;
  adapter::LoopbackServer http(kMaxThreads);
  engine.RegisterRoutes(http.server());
  const int port = http.Start(FLAGS_port);
  if (port == 0) {
    return 1;
  }
  adapter::AnnounceClient announcer(
      adapter::ParseEndpoints(FLAGS_entries), FLAGS_announce_token,
      std::chrono::milliseconds(FLAGS_announce_period_ms),
      [&engine, port] { return engine.MakeAnnouncement(port); });
  while (g_terminate == 0 || !engine.IsIdle()) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return 0;
}

void OnTerminate(int) {
  g_drain = 1;
  g_terminate = 1;
}

}  // namespace
}  // namespace rattanward::fake

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stand-in for a model engine; tests and bench only.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_instance.empty()) {
    FLAGS_instance = "engine-" + std::to_string(getpid());
  }
  std::signal(SIGTERM, rattanward::fake::OnTerminate);
  std::signal(SIGPIPE, SIG_IGN);
  return rattanward::fake::Run();
}
