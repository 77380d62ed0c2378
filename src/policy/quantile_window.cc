#include "rattanward/policy/quantile_window.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr std::size_t kWholePermille = 1000;

}  // namespace

void QuantileWindow::Add(std::int64_t value, TimePoint now) {
  if (count_ == 0) {
    next_ = 0;
  }
  samples_[next_] = {value, now};
  next_ = (next_ + 1) % kSize;
  count_ = std::min(count_ + 1, kSize);
}

std::optional<std::int64_t> QuantileWindow::Quantile(std::uint32_t permille,
                                                     TimePoint now) const {
  std::array<std::int64_t, kSize> recent{};
  std::size_t count = 0;
  for (std::size_t i = 0; i < count_; ++i) {
    if (now - samples_[i].at <= max_age_) {
      recent[count++] = samples_[i].value;
    }
  }
  if (count == 0) {
    return std::nullopt;
  }
  const std::size_t rank =
      std::min(count - 1, (count - 1) * permille / kWholePermille);
  std::nth_element(recent.begin(), recent.begin() + rank,
                   recent.begin() + count);
  return recent[rank];
}

std::size_t QuantileWindow::Count(TimePoint now) const {
  return std::count_if(samples_.begin(), samples_.begin() + count_,
                       [this, now](const Sample& sample) {
                         return now - sample.at <= max_age_;
                       });
}

}  // namespace rattanward::policy
