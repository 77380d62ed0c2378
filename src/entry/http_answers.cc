#include "rattanward/entry/http_answers.h"

#include <nlohmann/json.hpp>
#include <string>

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

void WriteError(const Error& error, httplib::Response& response) {
  response.status = HttpStatus(error.code);
  WriteVerdict(error.verdict, response);
  if (error.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    response.set_header("Retry-After", std::to_string(seconds));
  }
  response.set_content(ErrorToJson(error), "application/json");
}

void WriteVerdict(Verdict verdict, httplib::Response& response) {
  response.set_header("X-Rattanward-Verdict", std::string(ToString(verdict)));
}

}  // namespace rattanward::entry
