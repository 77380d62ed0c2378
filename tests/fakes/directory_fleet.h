#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/membership/instance_directory.h"
#include "rattanward/protocol/message_fields.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::fakes {

/// @brief Directories of control VMs and entries that send each other what a
/// RoutingHub sends. Messages between control VMs are lost while one of the two
/// is cut off, and else arrive when the test lets them, in order on each link.
/// @note Entries are told at once, also by a control VM that is cut off from
/// the others.
class DirectoryFleet {
 public:
  DirectoryFleet(std::size_t controls, std::size_t entries)
      : controls_(controls), entries_(entries) {}

  membership::InstanceDirectory& control(std::size_t i) { return controls_[i]; }
  membership::InstanceDirectory& entry(std::size_t i) { return entries_[i]; }
  std::size_t controls() const { return controls_.size(); }
  std::size_t entries() const { return entries_.size(); }

  void Cut(std::size_t control) {
    cut_.insert(control);
    for (auto& [link, messages] : links_) {
      if (link.first == control || link.second == control) {
        messages.clear();
      }
    }
  }
  void Heal(std::size_t control) { cut_.erase(control); }

  /// @brief A registration or heartbeat arrives at a control VM.
  void Register(std::size_t at, const membership::InstanceRecord& record,
                TimePoint now) {
    switch (controls_[at].Merge(record, now)) {
      case membership::InstanceDirectory::Change::kChanged:
        TellEntries(at, now);
        SendRecords(at, {record});
        break;
      case membership::InstanceDirectory::Change::kRefreshed:
        SendToOthers(at, {{},
                          protocol::Encode(protocol::InstanceBeats{
                              {{record.id, record.stamp}}})});
        break;
      case membership::InstanceDirectory::Change::kStale:
        break;
    }
  }

  void Deregister(std::size_t at, const UpstreamId& id, std::uint64_t born,
                  TimePoint now) {
    if (const auto record = controls_[at].Deregister(id, born, now)) {
      TellEntries(at, now);
      SendRecords(at, {*record});
    }
  }

  void MarkSilent(std::size_t at, TimePoint heard_before, TimePoint now) {
    controls_[at].MarkSilent(heard_before);
    TellEntries(at, now);
  }

  /// @brief The periodic message with the whole directory.
  void SendDirectory(std::size_t at) { SendRecords(at, controls_[at].All()); }

  /// @brief The push to an entry that has just connected.
  void Connect(std::size_t entry, std::size_t control, TimePoint now) {
    Apply(entry, controls_[control].All(), now);
    for (const UpstreamId& id : controls_[control].DepartedWithUnknownStart()) {
      HeedDeparture(entry, id, now);
    }
  }

  /// @brief A deregistration that names no start arrives at a control VM, which
  /// asks the others to keep it.
  void Depart(std::size_t at, const UpstreamId& id, TimePoint now) {
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      TakeDeparture((at + i) % controls_.size(), id, now);
    }
  }

  /// @brief All control VMs end and start again with what is on their disks.
  void RestartControls(TimePoint now) {
    links_.clear();
    for (membership::InstanceDirectory& control : controls_) {
      const auto departed = control.Departed(kMaxRecords);
      const auto ids = control.DepartedWithUnknownStart();
      control = {};
      for (const membership::InstanceRecord& record : departed) {
        control.Merge(record, now);
      }
      for (const UpstreamId& id : ids) {
        control.AddDepartedId(id, now);
      }
    }
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      ConnectToAll(entry, now);
    }
  }

  void RestartEntry(std::size_t entry, TimePoint now) {
    entries_[entry] = {};
    ConnectToAll(entry, now);
  }

  void ExpireDepartedIds(TimePoint now) {
    for (membership::InstanceDirectory& control : controls_) {
      control.ExpireDepartedIds(now);
    }
  }

  /// @brief Lets the oldest message between two control VMs arrive, if any.
  void DeliverNext(std::size_t from, std::size_t to, TimePoint now) {
    std::deque<Message>& messages = links_[{from, to}];
    if (messages.empty()) {
      return;
    }
    const Message message = std::move(messages.front());
    messages.pop_front();
    if (!message.push.empty()) {
      const auto push =
          protocol::Decode<protocol::InstancePush>(message.push).value();
      for (const membership::InstanceRecord& record : push.records) {
        controls_[to].Merge(record, now);
      }
    } else {
      const auto beats =
          protocol::Decode<protocol::InstanceBeats>(message.beats).value();
      for (const membership::InstanceBeat& beat : beats.beats) {
        controls_[to].ApplyBeat(beat, now);
      }
    }
    TellEntries(to, now);
  }

  void DeliverAll(TimePoint now) {
    for (std::size_t from = 0; from < controls_.size(); ++from) {
      for (std::size_t to = 0; to < controls_.size(); ++to) {
        while (!links_[{from, to}].empty()) {
          DeliverNext(from, to, now);
        }
      }
    }
  }

 private:
  static constexpr std::size_t kMaxRecords = 4096;

  struct Message {
    std::string push;
    std::string beats;
  };

  void ConnectToAll(std::size_t entry, TimePoint now) {
    for (std::size_t control = 0; control < controls_.size(); ++control) {
      Connect(entry, control, now);
    }
  }

  void TakeDeparture(std::size_t at, const UpstreamId& id, TimePoint now) {
    using Departure = membership::InstanceDirectory::Departure;
    if (controls_[at].Depart(id, now) == Departure::kUnknownStart) {
      for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
        HeedDeparture(entry, id, now);
      }
    }
    TellEntries(at, now);
    if (const membership::InstanceRecord* record = controls_[at].Find(id)) {
      SendRecords(at, {*record});
    }
  }

  /// The entry names the start to each control VM, if it knows one.
  void HeedDeparture(std::size_t entry, const UpstreamId& id, TimePoint now) {
    const membership::InstanceRecord* record = entries_[entry].Find(id);
    if (record == nullptr) {
      return;
    }
    const membership::InstanceStart start{id, record->stamp.born};
    entries_[entry].Deregister(id, std::nullopt, now);
    for (std::size_t control = 0; control < controls_.size(); ++control) {
      controls_[control].ResolveDeparture(start, now);
      controls_[control].MarkLeaving(start);
      TellEntries(control, now);
    }
  }

  void SendRecords(std::size_t from,
                   const std::vector<membership::InstanceRecord>& records) {
    SendToOthers(
        from, {protocol::Encode(protocol::InstancePush{0, records, {}}), {}});
  }

  void SendToOthers(std::size_t from, const Message& message) {
    for (std::size_t to = 0; to < controls_.size(); ++to) {
      if (to != from && cut_.count(from) == 0 && cut_.count(to) == 0) {
        links_[{from, to}].push_back(message);
      }
    }
  }

  void TellEntries(std::size_t from, TimePoint now) {
    const auto changes = controls_[from].TakeChanges();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Apply(i, changes, now);
    }
  }

  void Apply(std::size_t entry,
             const std::vector<membership::InstanceRecord>& records,
             TimePoint now) {
    const auto push =
        protocol::Decode<protocol::InstancePush>(
            protocol::Encode(protocol::InstancePush{1, records, {}}))
            .value();
    for (const membership::InstanceRecord& record : push.records) {
      entries_[entry].Merge(record, now);
    }
  }

  std::vector<membership::InstanceDirectory> controls_;
  std::vector<membership::InstanceDirectory> entries_;
  std::set<std::size_t> cut_;
  std::map<std::pair<std::size_t, std::size_t>, std::deque<Message>> links_;
};

}  // namespace rattanward::fakes
