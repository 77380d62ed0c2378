#pragma once

#include <cstdint>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/entry/caller_answer.h"

namespace rattanward::entry {

/// @brief Builds the whole answer of a completion from the events of its
/// stream.
class CompletionBuilder {
 public:
  /// @return False if an event is not the JSON that the shape demands.
  bool AddEvent(const std::string& event);

  BufferedResponse Build(const RequestId& id, std::uint32_t tokens) const;

 private:
  std::string content_;
  std::string finish_reason_ = "stop";
  std::string model_;
};

}  // namespace rattanward::entry
