#include "rattanward/entry/stream_assembler.h"

#include <charconv>
#include <utility>

namespace rattanward::entry {
namespace {

constexpr std::size_t kMaxEventBytes = 1U << 20U;
constexpr std::string_view kEndMarker = "[DONE]";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";

std::string_view FieldValue(std::string_view line, std::string_view field) {
  line.remove_prefix(field.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

Error Malformed(std::string message) {
  return MakeError(ErrorCode::kUpstreamMalformed, std::move(message),
                   Verdict::kMayHaveRun);
}

}  // namespace

Result<StreamBatch> StreamAssembler::Feed(std::string_view bytes) {
  if (failure_) {
    return *failure_;
  }
  StreamBatch batch;
  buffer_.append(bytes);
  std::size_t begin = 0;
  for (std::size_t end = buffer_.find('\n', begin); end != std::string::npos;
       end = buffer_.find('\n', begin)) {
    std::string_view line(buffer_.data() + begin, end - begin);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (Status status = ParseLine(line, batch); !status) {
      return Fail(std::move(batch), status.error());
    }
    begin = end + 1;
  }
  buffer_.erase(0, begin);
  if (buffer_.size() + data_.size() > kMaxEventBytes) {
    return Fail(std::move(batch), Malformed("stream event exceeds 1 MiB"));
  }
  return batch;
}

Result<StreamBatch> StreamAssembler::Fail(StreamBatch batch, Error error) {
  failure_ = std::move(error);
  if (batch.events.empty() && !batch.done) {
    return *failure_;
  }
  return batch;
}

void StreamAssembler::BeginConnection() {
  buffer_.clear();
  data_.clear();
  event_number_ = 0;
  failure_.reset();
}

Status StreamAssembler::ParseLine(std::string_view line, StreamBatch& batch) {
  if (line.empty()) {
    return FinishEvent(batch);
  }
  if (line.substr(0, kIdField.size()) == kIdField) {
    const std::string_view text = FieldValue(line, kIdField);
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), event_number_);
    if (problem != std::errc() || end != text.data() + text.size()) {
      return Malformed("stream event id is not a valid number");
    }
  } else if (line.substr(0, kDataField.size()) == kDataField) {
    data_.append(FieldValue(line, kDataField));
  }
  return outcome::success();
}

Status StreamAssembler::FinishEvent(StreamBatch& batch) {
  if (data_.empty()) {
    return outcome::success();
  }
  const std::string data = std::exchange(data_, {});
  const std::uint64_t number = std::exchange(event_number_, 0);
  if (number == 0) {
    return Malformed("stream event has no positive number");
  }
  if (number < next_event_) {
    return outcome::success();
  }
  if (done_) {
    return Malformed("stream event received after the end marker");
  }
  if (number > next_event_) {
    return MakeError(ErrorCode::kStreamGap,
                     "stream gap: expected event " +
                         std::to_string(next_event_) + ", received event " +
                         std::to_string(number),
                     Verdict::kRan);
  }
  ++next_event_;
  if (data == kEndMarker) {
    done_ = true;
    batch.done = true;
  } else {
    batch.events.push_back(data);
  }
  return outcome::success();
}

}  // namespace rattanward::entry
