#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "rattanward/policy/placer.h"
#include "rattanward/protocol/codec.h"

namespace rattanward::protocol {

/// @brief Load of one entry at one upstream.
struct UpstreamLoadTold {
  UpstreamId upstream;
  std::uint32_t running = 0;
  std::uint64_t pending_prefill_tokens = 0;
  std::uint64_t reserved_tokens = 0;
  std::uint64_t success_milli = 0;
  std::uint64_t failure_milli = 0;
  std::uint32_t tight_streams = 0;

  friend bool operator==(const UpstreamLoadTold&,
                         const UpstreamLoadTold&) = default;
};

/// @brief Parts of prompts that an entry lately sent to one upstream.
struct PartsPlaced {
  UpstreamId upstream;
  std::vector<policy::PromptPart> parts;

  friend bool operator==(const PartsPlaced&, const PartsPlaced&) = default;
};

/// @brief Entry to other entries.
struct LoadTold {
  ProcessId entry;
  /// Whether the receiver passes it on to the entries of its failure domain.
  bool relay = false;
  std::uint32_t valid_ms = 0;
  std::vector<UpstreamLoadTold> upstreams;
  std::vector<PartsPlaced> placed_parts;
  /// Whether only the upstreams named here have changed.
  bool partial = false;
  std::vector<policy::StreamVersion> streams;
  /// Upstreams with a rejection limit that have just rejected a request.
  std::vector<UpstreamId> rejecting;
  /// Paces of streams that ended lately at engines.
  std::vector<policy::PaceSample> paces;

  friend bool operator==(const LoadTold&, const LoadTold&) = default;
};

template <>
struct FieldsOf<UpstreamLoadTold> {
  static auto Tie(auto& m) {
    return std::tie(m.upstream, m.running, m.pending_prefill_tokens,
                    m.reserved_tokens, m.success_milli, m.failure_milli,
                    m.tight_streams);
  }
};

template <>
struct FieldsOf<policy::PromptPart> {
  static auto Tie(auto& m) { return std::tie(m.id, m.tokens); }
};

template <>
struct FieldsOf<PartsPlaced> {
  static auto Tie(auto& m) { return std::tie(m.upstream, m.parts); }
};

template <>
struct FieldsOf<policy::StreamVersion> {
  static auto Tie(auto& m) { return std::tie(m.stream, m.version); }
};

template <>
struct FieldsOf<policy::PaceSample> {
  static auto Tie(auto& m) {
    return std::tie(m.sequence, m.upstream, m.token_us);
  }
};

template <>
struct FieldsOf<LoadTold> {
  static auto Tie(auto& m) {
    return std::tie(m.entry, m.relay, m.valid_ms, m.upstreams, m.placed_parts,
                    m.partial, m.streams, m.rejecting, m.paces);
  }
};

/// @brief The load as a message.
inline LoadTold ToMessage(const policy::EntryLoad& load) {
  LoadTold told;
  told.entry = load.entry;
  told.partial = load.partial;
  told.streams = load.streams;
  told.rejecting = load.rejecting;
  told.paces = load.paces;
  told.valid_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(load.valid_for)
          .count());
  for (const auto& [id, upstream] : load.upstreams) {
    told.upstreams.push_back({id, upstream.running,
                              upstream.pending_prefill_tokens,
                              upstream.reserved_tokens, upstream.success_milli,
                              upstream.failure_milli, upstream.tight_streams});
  }
  for (const auto& [id, parts] : load.placed_parts) {
    told.placed_parts.push_back({id, parts});
  }
  return told;
}

/// @brief The message as a load.
inline policy::EntryLoad ToEntryLoad(const LoadTold& told) {
  policy::EntryLoad load;
  load.entry = told.entry;
  load.partial = told.partial;
  load.streams = told.streams;
  load.rejecting = told.rejecting;
  load.paces = told.paces;
  load.valid_for = std::chrono::milliseconds(told.valid_ms);
  for (const UpstreamLoadTold& one : told.upstreams) {
    load.upstreams[one.upstream] = {
        one.running,       one.pending_prefill_tokens, one.reserved_tokens,
        one.success_milli, one.failure_milli,          one.tight_streams};
  }
  for (const PartsPlaced& one : told.placed_parts) {
    load.placed_parts[one.upstream] = one.parts;
  }
  return load;
}

}  // namespace rattanward::protocol
