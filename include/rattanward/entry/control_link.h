#pragma once

#include <memory>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::entry {

/// @brief Keeps an entry's configuration up to date from the control VMs.
class ControlLink {
 public:
  /// @brief Prepares a connection to each control VM.
  /// @param core Takes the configurations.
  /// @param settings Control endpoints and identity.
  /// @param secret Shared secret of the deployment's processes.
  ControlLink(EntryCore& core, const adapter::EntrySettings& settings,
              const std::string& secret, port::EventSink events);

  void Start();

 private:
  void Heartbeat();
  void TakeStatus(adapter::PeerClient& peer, const protocol::Envelope& answer);
  void TakePush(const protocol::Envelope& envelope);

  EntryCore& core_;
  protocol::EntryStatus status_;
  adapter::AsioTimerService timers_;
  std::vector<std::unique_ptr<adapter::PeerClient>> peers_;
};

}  // namespace rattanward::entry
