#include "text_output.h"

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <sstream>
#include <vector>

namespace rattanward {
namespace {

using Lines = std::vector<std::string>;

Lines Split(const std::string& text) {
  Lines lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

/// Table of the longest common subsequence (LCS): element [i][j] is the LCS
/// length, in lines, of the suffixes a[i..] and b[j..].
std::vector<std::vector<std::uint32_t>> LcsLengths(const Lines& a,
                                                   const Lines& b) {
  std::vector<std::vector<std::uint32_t>> length(
      a.size() + 1, std::vector<std::uint32_t>(b.size() + 1, 0));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      length[i][j] = a[i] == b[j]
                         ? length[i + 1][j + 1] + 1
                         : std::max(length[i + 1][j], length[i][j + 1]);
    }
  }
  return length;
}

/// Removes the longest common prefix and suffix of both line lists.
void TrimCommonEnds(Lines& a, Lines& b) {
  const auto start = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  a.erase(a.begin(), start.first);
  b.erase(b.begin(), start.second);
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
}

/// Formats microseconds since the Unix epoch as UTC, in whole seconds.
std::string UtcTime(std::uint64_t micros) {
  const std::time_t seconds = static_cast<std::time_t>(micros / 1'000'000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S", &utc);
  return text;
}

}  // namespace

void Print(const v1::ConfigStateReply& reply) {
  if (reply.version() == 0) {
    std::cout << "no configuration yet\n";
    return;
  }
  if (reply.accepted()) {
    std::cout << "accepted: version " << reply.version() << "\n";
  } else {
    std::cout << "committed: version " << reply.version() << "\npending in:";
    for (const auto& domain : reply.domains()) {
      std::cout << (domain.pending() ? " " + domain.failure_domain() : "");
    }
    std::cout << (reply.domains().empty() ? " (no entry known)\n" : "\n");
  }
  for (const auto& domain : reply.domains()) {
    std::cout << "  " << domain.failure_domain() << ": " << domain.in_force()
              << " run it, " << domain.live() << "/" << domain.entries()
              << " live\n";
  }
}

void Print(const v1::OutcomeReply&) { std::cout << "done\n"; }

void Print(const v1::ShowConfigReply& reply) {
  if (reply.version() == 0) {
    std::cerr << "no configuration yet\n";
    return;
  }
  std::cerr << "version " << reply.version() << "\n";
  std::cout << reply.toml();
}

void Print(const v1::ConfigHistoryReply& reply) {
  for (const auto& record : reply.records()) {
    std::cout << record.version() << "  " << UtcTime(record.committed_at())
              << "  " << record.bytes() << " B\n    " << record.command_id()
              << "\n";
  }
}

void Print(const v1::ListUpstreamsReply& reply) {
  std::cout << "drained by operators: " << reply.drained_size() << "\n";
  for (const auto& upstream : reply.drained()) {
    std::cout << "  " << upstream.upstream() << "\n";
  }
}

void Print(const v1::ListVotersReply& reply) {
  std::cout << "committed up to " << reply.commit_index() << "\n";
  for (const auto& voter : reply.voters()) {
    std::cout << voter.id() << "\n  " << voter.endpoint() << " "
              << (voter.leader() ? "leader"
                                 : (voter.learner() ? "learner" : "voter"))
              << " " << (voter.active() ? "live" : "silent") << " "
              << voter.matched() << "\n";
  }
}

void Print(const v1::RepairVoterReply& reply) {
  std::cout << (reply.complete() ? "complete" : "pending: " + reply.step())
            << "\n";
  if (!reply.new_voter().empty()) {
    std::cout << "new voter: " << reply.new_voter() << "\n";
  }
}

void Print(const v1::ListQuarantineReply& reply) {
  std::cout << "quarantined: " << reply.fingerprints_size() << "\n";
  for (const auto fingerprint : reply.fingerprints()) {
    std::cout << "  " << fingerprint << "\n";
  }
}

void Print(const v1::StatusReply& reply) {
  std::cout << "leader   " << reply.process() << "\n"
            << "term     " << reply.term() << "\n"
            << "log      " << reply.applied_index() << "\n"
            << "config   " << reply.config_version() << "\n"
            << "claims   " << reply.claims() << "\n"
            << "entries  " << reply.entries_size() << "\n";
  for (const auto& entry : reply.entries()) {
    std::cout << "  " << entry.process() << " " << entry.failure_domain()
              << " v" << entry.in_force() << " "
              << (entry.live() ? "live" : "silent") << "\n";
  }
}

void Print(const v1::EventLine& line) {
  std::cout << line.id() << " " << line.name();
  for (const auto& field : line.fields()) {
    std::cout << " " << field.name() << "=" << field.value();
  }
  std::cout << std::endl;
}

std::string DiffLines(const std::string& before, const std::string& after) {
  Lines a = Split(before);
  Lines b = Split(after);
  TrimCommonEnds(a, b);
  const auto length = LcsLengths(a, b);
  std::string diff;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      diff += "  " + a[i] + "\n";
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && length[i + 1][j] >= length[i][j + 1])) {
      diff += "- " + a[i++] + "\n";
    } else {
      diff += "+ " + b[j++] + "\n";
    }
  }
  return diff;
}

}  // namespace rattanward
