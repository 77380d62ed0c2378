#include "rattanward/adapter/event_log.h"

#include <algorithm>
#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/channel_logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace rattanward::adapter {
namespace {

namespace logging = boost::log;

using TextSink =
    logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

/// Channel numbers keep the records of several logs in one process apart.
std::uint64_t NextChannel() {
  static std::atomic<std::uint64_t> next{1};
  return next.fetch_add(1);
}

std::string UtcNow() {
  const auto now = std::chrono::floor<std::chrono::microseconds>(
      std::chrono::system_clock::now());
  const auto second = std::chrono::floor<std::chrono::seconds>(now);
  const std::time_t seconds = std::chrono::system_clock::to_time_t(second);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%06dZ", date.data(),
                static_cast<int>((now - second).count()));
  return text.data();
}

std::string ToLine(const ProcessIdentity& identity, std::uint64_t sequence,
                   const Event& event) {
  nlohmann::ordered_json record;
  record["time"] = UtcNow();
  record["process"] = identity.process.str();
  record["vm"] = identity.vm.str();
  record["failure_domain"] = identity.failure_domain.str();
  record["seq"] = sequence;
  record["event"] = static_cast<int>(event.id);
  record["name"] = EventName(event.id);
  auto& fields = record["fields"] = nlohmann::ordered_json::object();
  for (const EventField& field : event.fields) {
    fields[field.name] = field.value;
  }
  constexpr int kNoIndent = -1;
  return record.dump(kNoIndent, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

/// The logical clock of the last whole record of a log; 0 if there is none.
std::uint64_t LastSequence(const std::string& file) {
  constexpr std::streamoff kTailBytes = 64 << 10;
  std::ifstream log(file, std::ios::binary | std::ios::ate);
  if (!log) {
    return 0;
  }
  const std::streamoff size = log.tellg();
  log.seekg(std::max<std::streamoff>(0, size - kTailBytes));
  std::uint64_t last = 0;
  for (std::string line; std::getline(log, line);) {
    const auto record = nlohmann::json::parse(line, nullptr, false);
    if (record.is_object() && record.contains("seq") &&
        record["seq"].is_number_unsigned()) {
      last = std::max(last, record["seq"].get<std::uint64_t>());
    }
  }
  return last;
}

boost::shared_ptr<std::ostream> OpenStream(const std::string& file) {
  if (file.empty()) {
    return {&std::cerr, boost::null_deleter()};
  }
  return boost::make_shared<std::ofstream>(file, std::ios::app);
}

}  // namespace

/// Owns the Boost.Log sink of one log.
class EventLog::Backend {
 public:
  explicit Backend(const boost::shared_ptr<std::ostream>& stream)
      : channel_(NextChannel()),
        logger_(logging::keywords::channel = channel_) {
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(stream);
    backend->auto_flush(true);
    sink_ = boost::make_shared<TextSink>(backend);
    sink_->set_filter(logging::expressions::attr<std::uint64_t>("Channel") ==
                      channel_);
    sink_->set_formatter(logging::expressions::stream
                         << logging::expressions::smessage);
    logging::core::get()->add_sink(sink_);
  }

  ~Backend() { logging::core::get()->remove_sink(sink_); }
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  void Write(const std::string& line) { BOOST_LOG(logger_) << line; }

 private:
  std::uint64_t channel_;
  logging::sources::channel_logger_mt<std::uint64_t> logger_;
  boost::shared_ptr<TextSink> sink_;
};

Result<std::shared_ptr<EventLog>> EventLog::Open(ProcessIdentity identity,
                                                 const std::string& file) {
  const auto stream = OpenStream(file);
  if (!*stream) {
    return MakeError(ErrorCode::kSettingsUnreadable,
                     "log_file: \"" + file +
                         "\" can't be opened; allowed is a writable path");
  }
  std::shared_ptr<EventLog> log(
      new EventLog(std::move(identity), std::make_unique<Backend>(stream)));
  if (!file.empty()) {
    log->clock().Merge(LastSequence(file));
  }
  return log;
}

EventLog::EventLog(ProcessIdentity identity, std::unique_ptr<Backend> backend)
    : identity_(std::move(identity)), backend_(std::move(backend)) {}

EventLog::~EventLog() = default;

void EventLog::Write(const Event& event) {
  const std::lock_guard lock(mutex_);
  backend_->Write(ToLine(identity_, clock_.Tick(), event));
}

port::EventSink MakeEventSink(std::shared_ptr<EventLog> log) {
  return [log = std::move(log)](const Event& event) { log->Write(event); };
}

std::shared_ptr<port::LogicalClock> ClockOf(
    const std::shared_ptr<EventLog>& log) {
  return {log, &log->clock()};
}

}  // namespace rattanward::adapter
