#pragma once

#include <cstdint>

namespace rattanward::policy {

/// @brief Weights of a placer, in prompt tokens unless stated otherwise.
struct PlacerOptions {
  /// Cost of each shared token that another upstream has cached and this one
  /// would prefill again. Above 1, since that prefill also delays other
  /// requests.
  double recompute_weight = 6;
  /// A prompt with more uncached tokens than this counts as long.
  std::uint32_t long_prompt_tokens = 3000;
  /// A long prompt waits at the entry while its engine has more tokens than
  /// this pending prefill, so that short prompts are not queued behind it.
  std::uint64_t long_prompt_backlog_tokens = 2000;
  /// Added to that limit for each multiple of its target that the prompt has
  /// waited; less for less urgent ranks.
  double backlog_growth_tokens = 15000;
  /// Weight of the failure rate of a plain service's upstream, as a multiple of
  /// its slots.
  double failure_weight_slots = 3;
  /// Weight of the failure rate of an engine.
  double failure_weight_tokens = 15000;
  /// Cost of each prompt token to be read before the first event beyond those
  /// that an engine reads within the target.
  double late_weight = 4;
  /// A prompt with at most this many uncached tokens delays no stream beside
  /// it.
  std::uint32_t undisturbing_tokens = 1000;
  /// Cost of reading a long prompt beside one stream with tight pauses, which
  /// it makes late.
  double tight_stream_weight = 2000;
  /// Cost for a stream with tight pauses of an engine that reads long prompts,
  /// and for a long prompt of an engine that is kept for such streams.
  double separation_weight = 6000;
  /// Streams with tight pauses for which one engine is kept, as a share of its
  /// slots.
  double tight_streams_per_slot = 0.35;
  /// Weight of the prompt tokens that all entries send to one engine, on
  /// average, before they hear of each other's sends. Engines whose loads
  /// differ by less count as equal, and entries choose differently among them.
  double unreported_weight = 2;
  /// The other entries are told at once of a prompt with more uncached tokens
  /// than this.
  std::uint32_t urgent_tokens = 1500;
  /// Hash of the entry's process id; requests of different entries return to
  /// an upstream at different times after it asked for back-off.
  std::uint64_t entry_hash = 0;
  /// Whether upstreams that fail most of their requests get only trials.
  bool breaks_circuits = true;
  /// Whether engines fail when their requests need more than their memory. They
  /// then get no more than fits.
  bool limits_memory = false;
  /// Whether the learned speeds of engines count.
  bool uses_speeds = true;
  /// Whether prompt parts placed by other entries count as cached.
  bool use_remote_placements = true;

  friend bool operator==(const PlacerOptions&, const PlacerOptions&) = default;
};

}  // namespace rattanward::policy
