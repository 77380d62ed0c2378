#include "rattanward/adapter/record_file.h"

#include <algorithm>
#include <boost/outcome/try.hpp>

#include "rattanward/adapter/file_io.h"
#include "rattanward/adapter/record.h"

namespace rattanward::adapter {
namespace {

constexpr std::uint64_t kFileSeed = 0;

}  // namespace

Result<std::optional<std::string>> RecordFile::Load() const {
  BOOST_OUTCOME_TRY(names, ListFolder(folder_));
  if (std::find(names.begin(), names.end(), name_) == names.end()) {
    return std::optional<std::string>();
  }
  BOOST_OUTCOME_TRY(bytes, ReadFile(folder_ + "/" + name_));
  BOOST_OUTCOME_TRY(scanned, ScanRecords(bytes, kFileSeed));
  if (scanned.payloads.size() != 1) {
    return MakeError(ErrorCode::kDamagedRecord,
                     "the file " + name_ + " is cut short");
  }
  return std::optional<std::string>(scanned.payloads[0]);
}

Status RecordFile::Save(std::string_view payload) const {
  return ReplaceFile(folder_, name_, EncodeRecord(payload, kFileSeed, 0));
}

}  // namespace rattanward::adapter
