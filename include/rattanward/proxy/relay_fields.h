#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/http/message.h"
#include "rattanward/membership/instance_directory.h"

namespace rattanward::proxy {

/// @brief What an entry tells another one with a request that it relays.
/// @note It grants nothing: the other entry routes the request and checks its
/// key by itself. Format: docs/design/lost-paths.md.
struct RelayedRequest {
  /// Version of the routes by which the request was taken.
  ConfigVersion routes;
  /// Upstreams to which the request was sent before.
  std::uint32_t attempts = 0;
  /// Version of the upstream that began the stream, if it goes on.
  std::optional<std::string> stream_version;

  friend bool operator==(const RelayedRequest&,
                         const RelayedRequest&) = default;
};

/// @brief What an entry tells with its answer to a relayed request.
struct RelayedResponse {
  /// The entry can't serve the request, which has not run; another entry may.
  bool unable = false;
  /// The start of the upstream that answered.
  std::optional<membership::InstanceStart> upstream;

  friend bool operator==(const RelayedResponse&,
                         const RelayedResponse&) = default;
};

/// @brief Writes the fields of a relayed request.
void AddRelayFields(const RelayedRequest& relayed, http::Fields* fields);

/// @brief Reads the fields of a relayed request and removes them.
/// @return None if it isn't a relayed request, or if a field is malformed.
std::optional<RelayedRequest> TakeRelayedRequest(http::Fields* fields);

/// @brief Writes the fields of the answer to a relayed request.
void AddRelayFields(const RelayedResponse& response, http::Fields* fields);

/// @brief Reads the fields of an answer to a relayed request and removes them.
RelayedResponse TakeRelayedResponse(http::Fields* fields);

}  // namespace rattanward::proxy
