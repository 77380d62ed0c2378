#include "rattanward/control/departure_store.h"

#include <boost/outcome/try.hpp>

#include "rattanward/protocol/routing_messages.h"

namespace rattanward::control {

Result<Departures> DepartureStore::Load() const {
  BOOST_OUTCOME_TRY(payload, file_.Load());
  if (!payload) {
    return Departures();
  }
  BOOST_OUTCOME_TRY(saved, protocol::Decode<protocol::InstancePush>(*payload));
  return Departures{saved.records, saved.departed};
}

Status DepartureStore::Save(const Departures& departures) const {
  return file_.Save(protocol::Encode(
      protocol::InstancePush{0, departures.records, departures.ids}));
}

}  // namespace rattanward::control
