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
                           http::Fields common)
    : connection_(std::move(connection)), common_(std::move(common)) {}

void CallerAnswer::Whole(const WholeAnswer& answer) {
  http::ResponseHead head;
  head.status = answer.status;
  if (!answer.content_type.empty()) {
    head.fields.Set("Content-Type", answer.content_type);
  }
  AddFields(common_, &head);
  SetVerdict(Verdict::kRan, &head);
  connection_->Respond(std::move(head), answer.body);
}

void CallerAnswer::Events(const StreamPieces& pieces) {
  if (!begun_) {
    Begin();
  }
  for (const std::string& event : pieces.events) {
    connection_->Write(EventText(event));
  }
  if (pieces.done) {
    connection_->Write(kEndMarker);
    connection_->FinishBody();
    return;
  }
  connection_->Flush();
}

void CallerAnswer::Fail(const Error& error) {
  if (begun_) {
    // No end marker: the caller must see that the answer is not whole.
    connection_->Write(EventText(ErrorToJson(error)));
    connection_->FinishBody();
    return;
  }
  http::Response answer = ErrorAnswer(error);
  AddFields(common_, &answer.head);
  connection_->Respond(std::move(answer.head), answer.body);
}

void CallerAnswer::Begin() {
  begun_ = true;
  http::ResponseHead head;
  head.fields.Set("Content-Type", "text/event-stream");
  AddFields(common_, &head);
  SetVerdict(Verdict::kRan, &head);
  connection_->StartBody(std::move(head), std::nullopt);
}

}  // namespace rattanward::entry
