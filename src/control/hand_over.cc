#include "rattanward/control/hand_over.h"

#include <algorithm>
#include <utility>

namespace rattanward::control {

bool CanHandOver(const std::vector<DiscoveredVoter>& others,
                 const KeeperOptions& options, TimePoint now) {
  const auto standing = std::count_if(
      others.begin(), others.end(), [&](const DiscoveredVoter& voter) {
        return !voter.leaving &&
               now - voter.last_heard <= options.hello_lifetime;
      });
  return options.wanted_voters > 0 &&
         static_cast<std::size_t>(standing) >= options.wanted_voters;
}

HandOver::HandOver(VoterId self, bool voter, TimePoint began, Duration limit)
    : self_(std::move(self)), voter_(voter), began_(began), limit_(limit) {}

void HandOver::RecordHello(const protocol::VoterHello& hello,
                           TimePoint received) {
  if (!hello.confirms_membership || received < began_) {
    return;
  }
  const auto membership = consensus::DecodeMembership(hello.membership);
  released_ = released_ ||
              (membership && !consensus::IsVoter(membership.value(), self_));
}

void HandOver::RecordCommitted(const consensus::Membership& own) {
  // The log of a learner may be older than its promotion.
  released_ = released_ || (voter_ && !consensus::IsVoter(own, self_));
}

}  // namespace rattanward::control
