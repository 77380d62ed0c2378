#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/result.h"

namespace rattanward::adapter {

/// @brief Bytes before the payload of a record.
inline constexpr std::size_t kRecordHeaderBytes = 24;

/// @brief Makes a checksummed record.
/// @param payload What the record holds.
/// @param seed Number of the file; a record of another file does not check.
/// @param offset Where in the file the record will stand.
/// @return Header (magic, length, header checksum, payload checksum) and
/// payload.
std::string EncodeRecord(std::string_view payload, std::uint64_t seed,
                         std::uint64_t offset);

/// @brief Number of a file, from its owner and generation.
std::uint64_t RecordSeed(std::string_view owner, std::uint64_t generation);

/// @brief The records of a file, and where a torn tail starts.
struct ScannedRecords {
  std::vector<std::string_view> payloads;
  /// Bytes of whole records; less than the file's size if its tail is torn.
  std::size_t valid_bytes = 0;
};

/// @brief Reads the records of a file, each of which was synced before the
/// next one was written.
/// @param file The file's bytes, which the payloads point into.
/// @param seed Number of the file.
/// @return The records up to the end or a torn tail: a last record that is
/// cut short, or that has a sector of zeros where a write never arrived.
/// Errors: kDamagedRecord if a record does not check that was once whole.
/// Complexity: linear in the size; a damaged file is searched once more.
Result<ScannedRecords> ScanRecords(std::string_view file, std::uint64_t seed);

}  // namespace rattanward::adapter
