#pragma once

#include <string>
#include <string_view>

#include "rattanward/domain/result.h"
#include "rattanward/port/logical_clock.h"
#include "rattanward/protocol/codec.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::adapter::detail {

/// @brief Encodes an envelope with the sender's logical clock.
/// @param envelope The message.
/// @param clock Counts one step; may be null.
inline std::string EncodeStamped(protocol::Envelope envelope,
                                 port::LogicalClock* clock) {
  envelope.clock = clock == nullptr ? 0 : clock->Tick();
  return protocol::Encode(envelope);
}

/// @brief Decodes an envelope and moves the clock up to the sender's.
/// @param frame The encoded envelope.
/// @param clock The receiver's clock; may be null.
/// Errors: kMalformedMessage.
inline Result<protocol::Envelope> DecodeStamped(std::string_view frame,
                                                port::LogicalClock* clock) {
  auto envelope = protocol::Decode<protocol::Envelope>(frame);
  if (envelope && clock != nullptr) {
    clock->Merge(envelope.value().clock);
  }
  return envelope;
}

}  // namespace rattanward::adapter::detail
