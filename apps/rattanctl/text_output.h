#pragma once

#include <operator.pb.h>

#include <string>

namespace rattanward {

/// @brief Prints a reply as text for operators. Lines have at most 40 columns
/// unless a name in them is too long.
void Print(const v1::ConfigStateReply& reply);
void Print(const v1::OutcomeReply& reply);
void Print(const v1::ShowConfigReply& reply);
void Print(const v1::ConfigHistoryReply& reply);
void Print(const v1::ListUpstreamsReply& reply);
void Print(const v1::ListVotersReply& reply);
void Print(const v1::RepairVoterReply& reply);
void Print(const v1::ListQuarantineReply& reply);
void Print(const v1::StatusReply& reply);
void Print(const v1::EventLine& line);

/// @brief Line diff of two texts, without the lines that both begin or end
/// with.
/// @param before Old text; its lines are marked "-".
/// @param after New text; its lines are marked "+".
/// @return One line of output for each line between the first and the last
/// change; unchanged lines among them are indented by two spaces.
/// Complexity: time and memory O(m n) for m old and n new lines between the
/// first and the last change.
std::string DiffLines(const std::string& before, const std::string& after);

}  // namespace rattanward
