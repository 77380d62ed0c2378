#include <string>

#include "rattanward/membership/gossip.h"

namespace rattanward::membership {
namespace {

std::size_t IntegerBytes(std::uint64_t value) {
  if (value < 1U << 7U) {
    return 1;
  }
  if (value < 1U << 8U) {
    return 2;
  }
  if (value < 1U << 16U) {
    return 3;
  }
  return value <= 0xFFFFFFFFU ? 5 : 9;
}

std::size_t StringBytes(const std::string& text) {
  const std::size_t size = text.size();
  if (size < 32) {
    return 1 + size;
  }
  if (size < 1U << 8U) {
    return 2 + size;
  }
  return (size < 1U << 16U ? 3 : 5) + size;
}

std::size_t ArrayHeaderBytes(std::size_t size) {
  if (size < 16) {
    return 1;
  }
  return size < 1U << 16U ? 3 : 5;
}

template <class Tag>
std::size_t NamesBytes(const std::vector<Name<Tag>>& names) {
  std::size_t bytes = ArrayHeaderBytes(names.size());
  for (const auto& name : names) {
    bytes += StringBytes(name.str());
  }
  return bytes;
}

std::size_t LoadBytes(const LoadReport& load) {
  return ArrayHeaderBytes(4) + IntegerBytes(load.running) +
         IntegerBytes(load.waiting) + IntegerBytes(load.cache_used_permille) +
         IntegerBytes(load.accepted_total);
}

}  // namespace

std::size_t EncodedBytes(const Announcement& announcement) {
  constexpr std::size_t kFields = 14;
  constexpr std::size_t kFlagBytes = 1;
  std::size_t bytes = ArrayHeaderBytes(kFields) + kFlagBytes;
  bytes += StringBytes(announcement.instance.str());
  bytes += IntegerBytes(announcement.sequence);
  bytes += IntegerBytes(static_cast<std::uint64_t>(announcement.kind));
  bytes += ArrayHeaderBytes(2) + StringBytes(announcement.endpoint.address) +
           IntegerBytes(announcement.endpoint.port);
  bytes += StringBytes(announcement.failure_domain.str());
  bytes += NamesBytes(announcement.models);
  bytes += StringBytes(announcement.service.str());
  bytes += ArrayHeaderBytes(announcement.adapters.size());
  for (const std::string& adapter : announcement.adapters) {
    bytes += StringBytes(adapter);
  }
  bytes += StringBytes(announcement.version) + StringBytes(announcement.role);
  bytes += IntegerBytes(announcement.capacity) + LoadBytes(announcement.load);
  bytes += ArrayHeaderBytes(announcement.not_run_statuses.size());
  for (const std::uint16_t status : announcement.not_run_statuses) {
    bytes += IntegerBytes(status);
  }
  return bytes;
}

std::size_t EncodedBytes(const protocol::UpstreamBeat& beat) {
  return ArrayHeaderBytes(3) + StringBytes(beat.instance.str()) +
         IntegerBytes(beat.sequence) + LoadBytes(beat.load);
}

std::size_t EncodedBytes(const protocol::EntryBeat& beat) {
  return ArrayHeaderBytes(5) + StringBytes(beat.process.str()) +
         StringBytes(beat.failure_domain.str()) +
         IntegerBytes(beat.incarnation) + IntegerBytes(beat.counter) +
         IntegerBytes(beat.in_force.value);
}

std::size_t EncodedBytes(const policy::Suspicion& suspicion) {
  constexpr std::size_t kFlagBytes = 1;
  return ArrayHeaderBytes(3) + kFlagBytes +
         IntegerBytes(suspicion.fingerprint) + NamesBytes(suspicion.deaths);
}

}  // namespace rattanward::membership
