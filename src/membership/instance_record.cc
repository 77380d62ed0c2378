#include "rattanward/membership/instance_record.h"

#include <algorithm>
#include <utility>

namespace rattanward::membership {
namespace {

bool IsNewerReport(const InstanceRecord& record, const InstanceRecord& known) {
  const std::uint64_t sequence = ReportSequence(record);
  const std::uint64_t known_sequence = ReportSequence(known);
  return sequence > known_sequence ||
         (sequence == known_sequence && record.state > known.state);
}

bool IsSilent(const InstanceRecord& a, const InstanceRecord& b) {
  if (a.stamp == b.stamp) {
    return a.silent || b.silent;
  }
  return a.stamp > b.stamp ? a.silent : b.silent;
}

}  // namespace

std::uint64_t ReportSequence(const InstanceRecord& record) {
  return record.stamp.sequence -
         std::min(record.beats_ahead, record.stamp.sequence);
}

bool HasSameContent(const InstanceRecord& a, const InstanceRecord& b) {
  InstanceRecord copy = a;
  if (a.leaves_in > Duration::zero() && b.leaves_in > Duration::zero()) {
    copy.leaves_in = b.leaves_in;
  }
  copy.stamp.sequence = b.stamp.sequence;
  copy.beats_ahead = b.beats_ahead;
  return copy == b;
}

InstanceRecord Combine(const InstanceRecord& a, const InstanceRecord& b) {
  InstanceRecord combined = IsNewerReport(a, b) ? a : b;
  const std::uint64_t report = ReportSequence(combined);
  if (a.state == InstanceState::kGone || b.state == InstanceState::kGone) {
    combined.state = InstanceState::kGone;
    combined.replaced = a.replaced || b.replaced;
  }
  combined.silent = IsSilent(a, b);
  combined.stamp = std::max(a.stamp, b.stamp);
  combined.beats_ahead = combined.stamp.sequence - report;
  return combined;
}

InstanceRecord AsReported(InstanceRecord record) {
  if (record.replaced && record.takeover.owner.born > 0) {
    record.state = record.takeover.reported;
    record.replaced = false;
  }
  record.takeover = Takeover();
  return record;
}

}  // namespace rattanward::membership
