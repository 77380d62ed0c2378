#include "rattanward/control/departure_store.h"

#include <boost/outcome/try.hpp>

#include "rattanward/protocol/routing_messages.h"

namespace rattanward::control {

Result<std::vector<membership::InstanceRecord>> DepartureStore::Load() const {
  BOOST_OUTCOME_TRY(payload, file_.Load());
  if (!payload) {
    return std::vector<membership::InstanceRecord>();
  }
  BOOST_OUTCOME_TRY(saved, protocol::Decode<protocol::InstancePush>(*payload));
  return saved.records;
}

Status DepartureStore::Save(
    const std::vector<membership::InstanceRecord>& departed) const {
  return file_.Save(protocol::Encode(protocol::InstancePush{0, departed}));
}

}  // namespace rattanward::control
