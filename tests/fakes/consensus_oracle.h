#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/consensus/node.h"

namespace rattanward::fakes {

/// @brief Remembers all that was ever promised and notes each broken promise.
class ConsensusOracle {
 public:
  const std::vector<std::string>& violations() const { return violations_; }
  consensus::LogIndex last_committed() const {
    return committed_.empty() ? 1 : committed_.rbegin()->first;
  }

  /// At most one leader a term.
  void RecordLeader(consensus::Term term, const VoterId& id) {
    Require(leaders_.emplace(term, id).first->second == id,
            "two leaders in term " + std::to_string(term));
  }

  /// At most one vote of a voter in a term, whatever became of its disk.
  void RecordVote(const VoterId& voter, consensus::Term term,
                  const VoterId& candidate) {
    const std::pair<VoterId, consensus::Term> key(voter, term);
    Require(votes_.emplace(key, candidate).first->second == candidate,
            voter.str() + " voted twice in term " + std::to_string(term));
  }

  /// A committed entry is the same everywhere and for good.
  void RecordCommitted(const consensus::Entry& entry) {
    Require(committed_.emplace(entry.index, entry).first->second == entry,
            "committed entry " + std::to_string(entry.index) + " changed");
  }

  /// A node's state is what the committed entries up to an index make.
  void RecordState(consensus::LogIndex index, const std::string& state) {
    Require(states_.emplace(index, state).first->second == state,
            "another state at entry " + std::to_string(index));
  }

  /// A read sees all that was committed anywhere when it was asked.
  void RecordReadRequest(consensus::ReadId id) {
    reads_[id] = last_committed();
  }
  void RecordConfirmedRead(const consensus::ConfirmedRead& read) {
    Require(reads_.count(read.id) > 0 && read.index >= reads_[read.id],
            "stale read " + std::to_string(read.id));
  }

  void Require(bool holds, const std::string& violation) {
    if (!holds) {
      violations_.push_back(violation);
    }
  }

 private:
  std::vector<std::string> violations_;
  std::map<consensus::Term, VoterId> leaders_;
  std::map<std::pair<VoterId, consensus::Term>, VoterId> votes_;
  std::map<consensus::LogIndex, consensus::Entry> committed_;
  std::map<consensus::LogIndex, std::string> states_;
  std::map<consensus::ReadId, consensus::LogIndex> reads_;
};

}  // namespace rattanward::fakes
