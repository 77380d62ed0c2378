#include "rattanward/policy/room_share.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

/// Part of the slots that the entries divide among themselves.
constexpr std::uint32_t kUsedPercent = 90;
constexpr std::uint32_t kPercent = 100;

/// Places that the entries divide among themselves.
std::uint32_t Room(std::uint32_t slots) {
  return std::max(slots * kUsedPercent / kPercent, 1U);
}

}  // namespace

std::uint32_t RoomPartOf(std::uint32_t slots, std::uint32_t first,
                         const RoomShare& share, bool confirmed) {
  if (share.entries == 0) {
    return 0;
  }
  const std::uint32_t position =
      (share.index + share.entries - first % share.entries) % share.entries;
  const std::uint32_t room = Room(slots);
  const std::uint32_t part =
      room / share.entries + (position < room % share.entries ? 1 : 0);
  return confirmed ? part : part / 2;
}

std::uint32_t NextFirst(std::uint32_t slots, std::uint32_t first,
                        const RoomShare& share) {
  return share.entries == 0 ? 0 : (first + Room(slots)) % share.entries;
}

void RoomPart::SetWanted(std::uint32_t wanted, TimePoint now) {
  wanted_ = wanted;
  if (wanted <= part_) {
    part_ = wanted;
    grows_since_.reset();
    return;
  }
  if (!grows_since_) {
    grows_since_ = now;
  } else if (now - *grows_since_ >= kGrowDelay) {
    part_ = wanted;
    grows_since_.reset();
  }
}

void RoomPart::RecordRejection(TimePoint now) {
  recovers_from_ = now + kRejectionPause;
}

std::uint32_t RoomPart::Allowed(TimePoint now) const {
  if (!recovers_from_ || now >= *recovers_from_ + kRecovery) {
    return part_;
  }
  if (now < *recovers_from_) {
    return 0;
  }
  const std::chrono::duration<double> passed = now - *recovers_from_;
  const std::chrono::duration<double> recovery = kRecovery;
  return std::min(part_,
                  1 + static_cast<std::uint32_t>(part_ * (passed / recovery)));
}

}  // namespace rattanward::policy
