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

  /// @brief Builds the response from the events added so far.
  /// @param id Id of the completion in the response.
  /// @param tokens Token count for the "usage" object.
  BufferedResponse Build(const RequestId& id, std::uint32_t tokens) const;

 private:
  std::string content_;
  std::string finish_reason_ = "stop";
  std::string model_;
};

}  // namespace rattanward::entry
