#pragma once

#include <cstdint>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/entry/caller_answer.h"

namespace rattanward::entry {

/// @brief Builds a non-streamed completion response from the events of its
/// stream.
class CompletionBuilder {
 public:
  /// @brief Appends the content of one event.
  /// @return False if the event is not a JSON object with a non-empty "choices"
  /// array.
  bool AddEvent(const std::string& event);

  BufferedResponse Build(const RequestId& id, std::uint32_t tokens) const;

 private:
  std::string content_;
  std::string finish_reason_ = "stop";
  std::string model_;
};

}  // namespace rattanward::entry
