#include "rattanward/domain/named_limit.h"

#include <cstdint>
#include <limits>
#include <tuple>

namespace rattanward {
namespace {

/// Lower is stricter.
auto Strictness(const NamedLimit& limit) {
  constexpr auto kNone = std::numeric_limits<std::uint64_t>::max();
  return std::tuple(limit.rejection_limit == 0 ? kNone : limit.rejection_limit,
                    limit.limited ? limit.rate.milli_per_second : kNone,
                    !limit.limited);
}

}  // namespace

bool Replaces(const NamedLimit& received, const NamedLimit& known) {
  if (received.revision != known.revision) {
    return received.revision > known.revision;
  }
  return Strictness(received) < Strictness(known);
}

NamedLimit AfterAnswer(const NamedLimit& known, const NamedTerms& named) {
  NamedLimit after = named.complete ? NamedLimit() : known;
  if (named.limit) {
    after.limited = true;
    after.rate = *named.limit;
  }
  if (named.rejection_limit) {
    after.rejection_limit = *named.rejection_limit;
  }
  after.revision = known.revision;
  if (after != known) {
    ++after.revision;
  }
  return after;
}

}  // namespace rattanward
