#include "rattanward/policy/account_shares.h"

namespace rattanward::policy {

std::uint64_t WorkOf(std::uint64_t uncached_tokens,
                     std::uint64_t output_tokens) {
  /// A token of an answer takes up an engine for about as long as reading
  /// this many prompt tokens, shared with other streams.
  constexpr std::uint64_t kWorkPerOutputToken = 10;
  /// A request to a plain service counts as well.
  constexpr std::uint64_t kWorkPerRequest = 100;
  return kWorkPerRequest + uncached_tokens +
         kWorkPerOutputToken * output_tokens;
}

void AccountShares::Record(const ShareKey& key, std::uint64_t work,
                           double weight, TimePoint now) {
  const std::int64_t number = SliceNumber(now);
  Slice& slice = work_[key].at(static_cast<std::size_t>(number) % kSlices);
  if (slice.number != number) {
    slice = Slice{number, 0};
  }
  slice.work += static_cast<double>(work) / weight;
}

double AccountShares::Recent(const ShareKey& key, TimePoint now) const {
  const auto found = work_.find(key);
  return found == work_.end() ? 0 : Sum(found->second, now);
}

void AccountShares::Expire(TimePoint now) {
  std::erase_if(work_,
                [now](const auto& item) { return Sum(item.second, now) <= 0; });
}

std::int64_t AccountShares::SliceNumber(TimePoint at) {
  constexpr Duration kSlice = kWindow / std::int64_t{kSlices};
  return at.time_since_epoch() / kSlice;
}

double AccountShares::Sum(const Slices& slices, TimePoint now) {
  const std::int64_t oldest =
      SliceNumber(now) - static_cast<std::int64_t>(kSlices) + 1;
  double sum = 0;
  for (const Slice& slice : slices) {
    sum += slice.number >= oldest ? slice.work : 0;
  }
  return sum;
}

}  // namespace rattanward::policy
