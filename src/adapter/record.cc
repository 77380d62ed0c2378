#include "rattanward/adapter/record.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>

namespace rattanward::adapter {
namespace {

constexpr std::uint32_t kMagic = 0x31575452;  // "RTW1"
constexpr std::size_t kSectorBytes = 512;

/// The header as it stands on disk, little-endian.
struct Header {
  std::uint32_t magic = kMagic;
  std::uint32_t length = 0;
  std::uint64_t header_check = 0;
  std::uint64_t payload_check = 0;
};
static_assert(sizeof(Header) == kRecordHeaderBytes);

std::uint64_t HeaderCheck(const Header& header, std::uint64_t seed,
                          std::uint64_t offset) {
  const std::uint64_t fields[] = {header.magic, header.length,
                                  header.payload_check, offset};
  return XXH3_64bits_withSeed(fields, sizeof(fields), seed);
}

/// The header at an offset, if it is whole and checks.
std::optional<Header> ReadHeader(std::string_view file, std::uint64_t seed,
                                 std::size_t offset) {
  if (file.size() - offset < kRecordHeaderBytes) {
    return std::nullopt;
  }
  Header header;
  std::memcpy(&header, file.data() + offset, sizeof(header));
  if (header.magic != kMagic ||
      header.header_check != HeaderCheck(header, seed, offset)) {
    return std::nullopt;
  }
  return header;
}

/// The payload of the record at an offset, if all of it checks.
std::optional<std::string_view> ReadRecord(std::string_view file,
                                           std::uint64_t seed,
                                           std::size_t offset) {
  const std::optional<Header> header = ReadHeader(file, seed, offset);
  if (!header || header->length > file.size() - offset - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload =
      file.substr(offset + kRecordHeaderBytes, header->length);
  if (XXH3_64bits_withSeed(payload.data(), payload.size(), seed) !=
      header->payload_check) {
    return std::nullopt;
  }
  return payload;
}

/// Whether some sector's part of [begin, file end) is nothing but zeros.
bool HasZeroSector(std::string_view file, std::size_t begin) {
  while (begin < file.size()) {
    const std::size_t end =
        std::min(file.size(), (begin / kSectorBytes + 1) * kSectorBytes);
    const std::string_view part = file.substr(begin, end - begin);
    if (part.find_first_not_of('\0') == std::string_view::npos) {
      return true;
    }
    begin = end;
  }
  return false;
}

bool AnyRecordAfter(std::string_view file, std::uint64_t seed,
                    std::size_t offset) {
  for (std::size_t at = offset + 1; at + kRecordHeaderBytes <= file.size();
       ++at) {
    if (ReadHeader(file, seed, at).has_value()) {
      return true;
    }
  }
  return false;
}

/// Whether the bytes from an offset on are what a crash during the last write
/// can leave.
bool IsTornTail(std::string_view file, std::uint64_t seed, std::size_t offset) {
  if (AnyRecordAfter(file, seed, offset)) {
    return false;
  }
  if (file.size() - offset < kRecordHeaderBytes) {
    return true;
  }
  const std::optional<Header> header = ReadHeader(file, seed, offset);
  const bool cut_short =
      header && header->length > file.size() - offset - kRecordHeaderBytes;
  return cut_short || HasZeroSector(file, offset);
}

}  // namespace

std::string EncodeRecord(std::string_view payload, std::uint64_t seed,
                         std::uint64_t offset) {
  Header header;
  header.length = static_cast<std::uint32_t>(payload.size());
  header.payload_check =
      XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
  header.header_check = HeaderCheck(header, seed, offset);
  std::string record(kRecordHeaderBytes, '\0');
  std::memcpy(record.data(), &header, sizeof(header));
  record += payload;
  return record;
}

std::uint64_t RecordSeed(std::string_view owner, std::uint64_t generation) {
  return XXH3_64bits_withSeed(owner.data(), owner.size(), generation);
}

Result<ScannedRecords> ScanRecords(std::string_view file, std::uint64_t seed) {
  ScannedRecords scanned;
  while (scanned.valid_bytes < file.size()) {
    const std::size_t offset = scanned.valid_bytes;
    const std::optional<std::string_view> payload =
        ReadRecord(file, seed, offset);
    if (!payload) {
      if (IsTornTail(file, seed, offset)) {
        return scanned;
      }
      return MakeError(ErrorCode::kDamagedRecord,
                       "damaged record at byte " + std::to_string(offset) +
                           " of " + std::to_string(file.size()));
    }
    scanned.payloads.push_back(*payload);
    scanned.valid_bytes += kRecordHeaderBytes + payload->size();
  }
  return scanned;
}

}  // namespace rattanward::adapter
