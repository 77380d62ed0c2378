#pragma once

#include <cstdint>
#include <string_view>

namespace rattanward::policy {

/// @brief 64-bit FNV-1a hash. Equal in all processes, unlike std::hash.
constexpr std::uint64_t StableHash(std::string_view text) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = kOffset;
  for (const char c : text) {
    hash = (hash ^ static_cast<std::uint8_t>(c)) * kPrime;
  }
  return hash;
}

/// @brief Weight of a node for a key in rendezvous hashing. The node with the
/// highest weight is chosen.
/// @param key Hash of the key.
/// @param node Hash of the node.
constexpr std::uint64_t RendezvousWeight(std::uint64_t key,
                                         std::uint64_t node) {
  std::uint64_t x = key ^ (node * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

}  // namespace rattanward::policy
