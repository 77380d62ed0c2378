#include "rattanward/entry/caller_answer.h"

#include <utility>

#include "rattanward/entry/http_answers.h"

namespace rattanward::entry {
namespace {

constexpr std::string_view kEndMarker = "data: [DONE]\n\n";

std::string EventText(const std::string& data) {
  return "data: " + data + "\n\n";
}

void AddFields(const http::Fields& fields, http::ResponseHead* head) {
  for (const http::Field& field : fields.all()) {
    head->fields.Set(field.name, field.value);
  }
}

}  // namespace

CallerAnswer::CallerAnswer(std::shared_ptr<http::ServerConnection> connection,
                           http::Fields common_fields)
    : connection_(std::move(connection)),
      common_fields_(std::move(common_fields)) {}

void CallerAnswer::SendResponse(const BufferedResponse& answer) {
  http::ResponseHead head;
  head.status = answer.status;
  if (!answer.content_type.empty()) {
    head.fields.Set("Content-Type", answer.content_type);
  }
  AddFields(common_fields_, &head);
  SetVerdict(Verdict::kRan, &head);
  connection_->Respond(std::move(head), answer.body);
}

void CallerAnswer::SendEvents(const StreamBatch& batch) {
  if (!begun_) {
    Begin();
  }
  for (const std::string& event : batch.events) {
    connection_->Write(EventText(event));
  }
  if (batch.done) {
    connection_->Write(kEndMarker);
    connection_->FinishBody();
    return;
  }
  connection_->Flush();
}

void CallerAnswer::Fail(const Error& error) {
  if (begun_) {
    // Without the end marker, the caller can tell that the response is
    // incomplete.
    connection_->Write(EventText(ErrorToJson(error)));
    connection_->FinishBody();
    return;
  }
  http::Response answer = ErrorResponse(error);
  AddFields(common_fields_, &answer.head);
  connection_->Respond(std::move(answer.head), answer.body);
}

void CallerAnswer::Begin() {
  begun_ = true;
  http::ResponseHead head;
  head.fields.Set("Content-Type", "text/event-stream");
  AddFields(common_fields_, &head);
  SetVerdict(Verdict::kRan, &head);
  connection_->StartBody(std::move(head), std::nullopt);
}

}  // namespace rattanward::entry
