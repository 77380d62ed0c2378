#include "rattanward/entry/http_answers.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace rattanward::entry {
namespace {

using Milliseconds = std::chrono::milliseconds;

}  // namespace

std::string ErrorToJson(const Error& error) {
  nlohmann::json json = {{"code", static_cast<int>(error.code)},
                         {"name", ErrorName(error.code)},
                         {"message", error.message},
                         {"verdict", ToString(error.verdict)}};
  if (error.retry_after) {
    json["retry_after_ms"] =
        std::chrono::ceil<Milliseconds>(*error.retry_after).count();
  }
  const nlohmann::json body = {{"error", json}};
  constexpr int kNoIndent = -1;
  return body.dump(kNoIndent, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

http::Response ErrorResponse(const Error& error) {
  http::Response answer =
      JsonResponse(HttpStatus(error.code), ErrorToJson(error));
  SetVerdict(error.verdict, &answer.head);
  answer.head.fields.Set(kErrorField,
                         std::to_string(static_cast<int>(error.code)));
  if (error.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    answer.head.fields.Set("Retry-After", std::to_string(seconds));
  }
  return answer;
}

http::Response JsonResponse(int status, std::string body) {
  http::Response answer;
  answer.head.status = status;
  answer.head.fields.Set("Content-Type", "application/json");
  answer.body = std::move(body);
  return answer;
}

void SetVerdict(Verdict verdict, http::ResponseHead* head) {
  head->fields.Set("X-Rattanward-Verdict", std::string(ToString(verdict)));
}

}  // namespace rattanward::entry
