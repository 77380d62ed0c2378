#include <doctest/doctest.h>

#include <string>

#include "rattanward/membership/crash_news.h"
#include "rattanward/membership/gossip.h"
#include "rattanward/membership/upstream_directory.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::membership {
namespace {

using protocol::UpstreamBeat;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

Announcement Upstream(const std::string& instance, std::uint64_t sequence,
                      std::uint16_t port = 8000) {
  Announcement announcement;
  announcement.instance = UpstreamId(instance);
  announcement.sequence = sequence;
  announcement.endpoint = {"127.0.0.1", port};
  announcement.failure_domain = FailureDomain("zone-a");
  announcement.models = {ModelName("small"), ModelName("large")};
  announcement.adapters = {"stowage"};
  announcement.capacity = 8;
  return announcement;
}

TEST_CASE("a stale announcement is ignored except for its draining flag") {
  UpstreamDirectory directory({});
  directory.Announce(Upstream("u1", 5), At(0));
  Announcement stale = Upstream("u1", 4);
  stale.capacity = 1;
  CHECK(directory.Announce(stale, At(1)).empty());
  stale.draining = true;
  CHECK(directory.Announce(stale, At(2)).size() == 1);
  directory.Announce(Upstream("u1", 6), At(3));
  CHECK(directory.Find(UpstreamId("u1"))->draining);
  CHECK(directory.Find(UpstreamId("u1"))->capacity == 8);
}

TEST_CASE(
    "newer content is applied even after a heartbeat with a higher sequence") {
  UpstreamDirectory directory({});
  directory.Announce(Upstream("u1", 1), At(0));
  directory.ApplyBeat({UpstreamId("u1"), 9, {}}, At(1));
  Announcement changed = Upstream("u1", 5);
  changed.capacity = 3;
  directory.Announce(changed, At(2));
  CHECK(directory.Find(UpstreamId("u1"))->capacity == 3);
  CHECK(directory.Find(UpstreamId("u1"))->sequence == 9);
}

TEST_CASE("an expired upstream returns only with a newer sequence") {
  UpstreamDirectory directory({});
  directory.Announce(Upstream("u1", 5), At(0));
  CHECK(directory.Tick(At(3000)).empty());
  const auto gone = directory.Tick(At(3001));
  REQUIRE(gone.size() == 1);
  CHECK(std::get<UpstreamGone>(gone[0]) ==
        UpstreamGone{UpstreamId("u1"), GoneReason::kExpired});
  CHECK(directory.Announce(Upstream("u1", 5), At(3002)).empty());
  CHECK(directory.Find(UpstreamId("u1")) == nullptr);
  CHECK(directory.ApplyBeat({UpstreamId("u1"), 6, {}}, At(3003)).size() == 1);
  CHECK(directory.Find(UpstreamId("u1")) != nullptr);
}

TEST_CASE("time in which the process was frozen does not expire upstreams") {
  UpstreamDirectory directory({});
  directory.Announce(Upstream("u1", 5), At(0));
  CHECK(directory.Tick(At(250)).empty());
  CHECK(directory.Tick(At(20250)).empty());
  CHECK(directory.Tick(At(21500)).empty());
  CHECK(directory.Tick(At(22750)).empty());
  CHECK(directory.Tick(At(23001)).size() == 1);
}

TEST_CASE("a new instance on an endpoint replaces the old one at once") {
  UpstreamDirectory directory({});
  directory.Announce(Upstream("old", 50), At(0));
  const auto changes = directory.Announce(Upstream("new", 1), At(1));
  REQUIRE(changes.size() == 2);
  CHECK(std::get<UpstreamGone>(changes[0]) ==
        UpstreamGone{UpstreamId("old"), GoneReason::kReplaced});
  CHECK(directory.Announce(Upstream("old", 50), At(2)).empty());
  CHECK(directory.Find(UpstreamId("new")) != nullptr);
  CHECK(directory.Find(UpstreamId("old")) == nullptr);
}

TEST_CASE("EncodedBytes equals the size of the encoded item") {
  Announcement announcement = Upstream("instance-0123456789", 70000);
  announcement.not_run_statuses = {429, 503};
  announcement.load = {300, 5, 1000, 1ULL << 40U};
  announcement.version = std::string(300, 'v');
  CHECK(EncodedBytes(announcement) == protocol::Encode(announcement).size());
  const UpstreamBeat beat{announcement.instance, 128, announcement.load};
  CHECK(EncodedBytes(beat) == protocol::Encode(beat).size());
  const protocol::EntryBeat entry{ProcessId("entry-1"), FailureDomain("zone-a"),
                                  1ULL << 50U, 300, ConfigVersion{7}};
  CHECK(EncodedBytes(entry) == protocol::Encode(entry).size());
  const policy::Suspicion suspicion{1ULL << 60U, {UpstreamId("u1")}, true};
  CHECK(EncodedBytes(suspicion) == protocol::Encode(suspicion).size());
}

TEST_CASE("announcements for gossip keep the sequence of their content") {
  UpstreamDirectory directory({});
  directory.Announce(Upstream("u1", 4), At(0));
  directory.ApplyBeat({UpstreamId("u1"), 9, {}}, At(1));
  CHECK(directory.GossipAnnouncements()[0].sequence == 4);
  CHECK(directory.Upstreams()[0].sequence == 9);
}

GossipOptions Options(int entries) {
  GossipOptions options;
  options.self = ProcessId("entry-0");
  options.failure_domain = FailureDomain("zone-0");
  for (int i = 1; i < entries; ++i) {
    options.peers.push_back({ProcessId("entry-" + std::to_string(i)),
                             FailureDomain("zone-" + std::to_string(i % 3))});
  }
  return options;
}

TEST_CASE(
    "messages stay within the size limit with 600 upstreams and 340 entries") {
  GossipOptions options = Options(340);
  options.max_message_bytes = 1024;
  Gossip gossip(options);
  for (int i = 0; i < 600; ++i) {
    gossip.Announce(Upstream("u" + std::to_string(i), 1,
                             static_cast<std::uint16_t>(1000 + i)),
                    At(0));
  }
  protocol::GossipMessage entries;
  for (int i = 1; i < 340; ++i) {
    entries.entries.push_back({ProcessId("entry-" + std::to_string(i)),
                               FailureDomain("zone-1"), 1, 1,
                               ConfigVersion{1}});
  }
  gossip.Receive(entries, At(0));
  for (int round = 1; round < 50; ++round) {
    for (const GossipPush& push : gossip.Tick(At(round)).pushes) {
      CHECK(protocol::Encode(push.message).size() <= 1024);
    }
  }
}

TEST_CASE("the rotation sends every announcement repeatedly") {
  Gossip gossip(Options(9));
  std::map<UpstreamId, int> sent;
  for (int i = 0; i < 40; ++i) {
    gossip.Announce(Upstream("u" + std::to_string(i), 1,
                             static_cast<std::uint16_t>(1000 + i)),
                    At(0));
  }
  for (int round = 1; round < 200; ++round) {
    const GossipRound result = gossip.Tick(At(round));
    for (const auto& a : result.pushes[0].message.announcements) {
      ++sent[a.instance];
    }
  }
  CHECK(sent.size() == 40);
  for (const auto& [instance, count] : sent) {
    CHECK(count > 5);
  }
}

TEST_CASE(
    "suspicions, lost entries and newer configurations are reported once") {
  Gossip gossip(Options(3));
  protocol::GossipMessage message;
  message.from = ProcessId("entry-1");
  message.entries = {{ProcessId("entry-1"), FailureDomain("zone-1"), 1, 1, {}}};
  message.suspicions = {{42, {UpstreamId("u1")}, false}};
  message.in_force = ConfigVersion{3};
  CHECK(gossip.Receive(message, At(0)).size() == 3);
  gossip.SetInForce(ConfigVersion{3});
  CHECK(gossip.Receive(message, At(1)).empty());
  CHECK(gossip.LiveEntries().size() == 1);
  const GossipRound round = gossip.Tick(At(5001));
  REQUIRE(round.events.size() == 1);
  CHECK(std::get<EntryLost>(round.events[0]).process == ProcessId("entry-1"));
  CHECK(gossip.LiveEntries().empty());
  CHECK(gossip.Receive(message, At(5002)).empty());
}

}  // namespace
TEST_CASE("crash news is passed on once, and the oldest witness is dropped") {
  CrashNews news;
  protocol::CrashesTold told;
  told.witnesses = {{1, UpstreamId("u"), 1}};
  told.suspicions = {{66, 0, 2}};
  CHECK(news.Record(told, TimePoint()) == told);
  CHECK(IsEmpty(news.Record(told, TimePoint())));
  // An entry that knows less is told what is known.
  CHECK(IsEmpty(news.Record({{}, {{66, 0, 1}}, {}}, TimePoint())));
  CHECK(news.KnownAgainst({{66, 0, 1}}).suspicions == told.suspicions);
  protocol::CrashesTold many;
  for (std::uint64_t i = 0; i < CrashNews::kMaxWitnesses; ++i) {
    many.witnesses.push_back({100 + i, UpstreamId("u"), 1});
  }
  CHECK(news.Record(many, TimePoint()).witnesses.size() ==
        CrashNews::kMaxWitnesses);
  CHECK(news.witnesses() == CrashNews::kMaxWitnesses);
  CHECK(news.All().witnesses == many.witnesses);
}

TEST_CASE("a cleared witness, or one of a planned exit, is told to no entry") {
  CrashNews news;
  const protocol::CrashWitness cleared{1, UpstreamId("u"), 1};
  const protocol::CrashWitness cut{1, UpstreamId("v"), 1};
  news.Record({{cleared, cut}, {}, {}}, TimePoint());
  const protocol::CrashesTold told{{}, {}, {cleared}};
  CHECK(news.Record(told, TimePoint()) == told);
  CHECK(IsEmpty(news.Record(told, TimePoint())));
  news.RecordPlannedExit({UpstreamId("v"), 1});
  CHECK(IsEmpty(news.Record({{cleared, cut}, {}, {}}, TimePoint())));
  CHECK(news.witnesses() == 0);
}

TEST_CASE("crash news of a build without cleared witnesses is read") {
  struct {
    std::vector<protocol::CrashWitness> witnesses{{1, UpstreamId("u"), 1}};
    std::vector<policy::PartSuspicion> suspicions;
  } older;
  msgpack::sbuffer buffer;
  protocol::detail::Packer packer(buffer);
  packer.pack_array(2);
  protocol::detail::PackValue(packer, older.witnesses);
  protocol::detail::PackValue(packer, older.suspicions);
  const auto read =
      protocol::Decode<protocol::CrashesTold>({buffer.data(), buffer.size()});
  REQUIRE(read);
  CHECK(read.value().witnesses == older.witnesses);
  CHECK(read.value().cleared.empty());
}

}  // namespace rattanward::membership
