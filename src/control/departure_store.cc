#include "rattanward/control/departure_store.h"

#include <algorithm>
#include <boost/outcome/try.hpp>

#include "rattanward/adapter/file_io.h"
#include "rattanward/adapter/record.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::control {
namespace {

constexpr char kFileName[] = "departures";
constexpr std::uint64_t kFileSeed = 0;

}  // namespace

Result<std::vector<membership::InstanceRecord>> DepartureStore::Load() const {
  BOOST_OUTCOME_TRY(names, adapter::ListFolder(folder_));
  if (std::find(names.begin(), names.end(), kFileName) == names.end()) {
    return std::vector<membership::InstanceRecord>();
  }
  BOOST_OUTCOME_TRY(bytes, adapter::ReadFile(folder_ + "/" + kFileName));
  BOOST_OUTCOME_TRY(scanned, adapter::ScanRecords(bytes, kFileSeed));
  if (scanned.payloads.size() != 1) {
    return MakeError(ErrorCode::kDamagedRecord,
                     "the file of departures is cut short");
  }
  BOOST_OUTCOME_TRY(
      saved, protocol::Decode<protocol::InstancePush>(scanned.payloads[0]));
  return saved.records;
}

Status DepartureStore::Save(
    const std::vector<membership::InstanceRecord>& departed) const {
  const std::string payload =
      protocol::Encode(protocol::InstancePush{0, departed});
  return adapter::ReplaceFile(folder_, kFileName,
                              adapter::EncodeRecord(payload, kFileSeed, 0));
}

}  // namespace rattanward::control
