#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/consensus/node.h"

namespace rattanward::fakes {

/// @brief Records the observable events of a cluster and collects violations of
/// the invariants of consensus.
class ConsensusOracle {
 public:
  const std::vector<std::string>& violations() const { return violations_; }
  consensus::LogIndex last_committed() const {
    return committed_.empty() ? 1 : committed_.rbegin()->first;
  }

  /// @brief Records a leader. A term may have only one.
  void RecordLeader(consensus::Term term, const VoterId& id) {
    Require(leaders_.emplace(term, id).first->second == id,
            "two leaders in term " + std::to_string(term));
  }

  /// @brief Records a vote. A voter may vote for one candidate per term, also
  /// after crashes and disk losses.
  void RecordVote(const VoterId& voter, consensus::Term term,
                  const VoterId& candidate) {
    const std::pair<VoterId, consensus::Term> key(voter, term);
    Require(votes_.emplace(key, candidate).first->second == candidate,
            voter.str() + " voted for two candidates in term " +
                std::to_string(term));
  }

  /// @brief Records a committed entry. All nodes must commit the same entry at
  /// an index.
  void RecordCommitted(const consensus::Entry& entry) {
    Require(committed_.emplace(entry.index, entry).first->second == entry,
            "committed entry " + std::to_string(entry.index) + " changed");
  }

  /// @brief Records the state machine state of a node. All nodes must have the
  /// same state at an index.
  void RecordState(consensus::LogIndex index, const std::string& state) {
    Require(states_.emplace(index, state).first->second == state,
            "different states at entry " + std::to_string(index));
  }

  /// @brief Records a read and the last index committed when it was requested.
  void RecordReadRequest(consensus::ReadId id) {
    reads_[id] = last_committed();
  }
  /// @brief Checks that a read includes all entries committed when it was
  /// requested.
  void RecordConfirmedRead(const consensus::ConfirmedRead& read) {
    Require(reads_.count(read.id) > 0 && read.index >= reads_[read.id],
            "stale read " + std::to_string(read.id));
  }

  /// @brief Adds a violation unless the condition holds.
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
