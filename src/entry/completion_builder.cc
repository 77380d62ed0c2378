#include "rattanward/entry/completion_builder.h"

#include <nlohmann/json.hpp>

namespace rattanward::entry {
namespace {

using Json = nlohmann::json;

}  // namespace

bool CompletionBuilder::AddEvent(const std::string& event) {
  const Json chunk = Json::parse(event, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices") ||
      !chunk["choices"].is_array() || chunk["choices"].empty()) {
    return false;
  }
  const Json& choice = chunk["choices"][0];
  if (!choice.is_object()) {
    return false;
  }
  const Json delta = choice.value("delta", Json::object());
  if (delta.contains("content") && delta["content"].is_string()) {
    content_ += delta["content"].get<std::string>();
  }
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
    finish_reason_ = choice["finish_reason"].get<std::string>();
  }
  if (chunk.contains("model") && chunk["model"].is_string()) {
    model_ = chunk["model"].get<std::string>();
  }
  return true;
}

BufferedResponse CompletionBuilder::Build(const RequestId& id,
                                          std::uint32_t tokens) const {
  const Json message = {{"role", "assistant"}, {"content", content_}};
  const Json choice = {
      {"index", 0}, {"message", message}, {"finish_reason", finish_reason_}};
  const Json body = {{"id", id.str()},
                     {"object", "chat.completion"},
                     {"model", model_},
                     {"choices", Json::array({choice})},
                     {"usage", {{"completion_tokens", tokens}}}};
  constexpr int kOk = 200;
  return BufferedResponse{kOk, "application/json", body.dump()};
}

}  // namespace rattanward::entry
