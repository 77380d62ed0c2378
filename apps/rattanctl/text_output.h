#pragma once

#include <operator.pb.h>

#include <string>

namespace rattanward {

/// @brief Human output of each reply, in lines of at most 40 columns as far
/// as names allow.
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

/// @brief Lines that differ, with "-" for the old and "+" for the new text.
/// Complexity: quadratic in the lines between the first and the last change.
std::string DiffLines(const std::string& before, const std::string& after);

}  // namespace rattanward
