#include <chrono>
#include <cstdio>
#include <set>
#include <string>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {
namespace {

constexpr int kEngines = 140;
constexpr int kEntries = 22;
constexpr int kPartsOfEngine = 60;
constexpr int kRounds = 20000;

UpstreamId EngineId(int number) {
  return UpstreamId("engine-" + std::to_string(number));
}

membership::InstanceRecord Engine(int number) {
  membership::InstanceRecord record;
  record.id = EngineId(number);
  record.stamp = {1, 1};
  record.service = ServiceName("s");
  record.failure_domain = FailureDomain("d" + std::to_string(number % 3));
  record.slots = 32;
  return record;
}

PlacementRequest Request(int number) {
  PlacementRequest request;
  request.service = ServiceName("s");
  const auto shared = static_cast<std::uint64_t>(number % 4000);
  request.prompt = {{shared, 13300},
                    {1'000'000 + static_cast<std::uint64_t>(number), 3700}};
  request.prompt_tokens = 17000;
  return request;
}

EntryLoad Load(int entry, int round) {
  EntryLoad load;
  load.entry = ProcessId("entry-" + std::to_string(entry));
  load.valid_for = std::chrono::hours(1);
  for (int i = 0; i < kEngines; i += 4) {
    const int engine = (i + entry + round) % kEngines;
    load.upstreams[EngineId(engine)] = {2, 9000, 30000, 1000, 0};
    const auto part =
        static_cast<std::uint64_t>((engine * kPartsOfEngine + round) % 4000);
    load.placed_parts[EngineId(engine)] = {{part, 13300}};
  }
  return load;
}

template <class Fn>
void Time(const char* name, int rounds, Fn fn) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < rounds; ++i) {
    fn(i);
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  std::printf("%-16s %8.2f us each\n", name, took.count() / rounds);
}

void Run() {
  Placer placer{FailureDomain("d0")};
  RoutedService service;
  service.name = ServiceName("s");
  service.engine = EngineDeclaration{32, 500'000, 3};
  placer.SetServices({service});
  for (int i = 0; i < kEngines; ++i) {
    placer.SetInstance(Engine(i));
  }
  const TimePoint now{std::chrono::seconds(1)};
  Time("take load", kRounds, [&](int i) {
    placer.SetEntryLoad(Load(i % kEntries, i / kEntries), now);
  });
  std::size_t chosen = 0;
  const std::set<UpstreamId> none;
  Time("choose", kRounds,
       [&](int i) { chosen += placer.Choose(Request(i), none, now) ? 1 : 0; });
  Time("own load", kRounds / 10,
       [&](int) { placer.OwnLoad(ProcessId("self"), now, now); });
  std::printf("chosen %zu\n", chosen);
}

}  // namespace
}  // namespace rattanward::policy

int main() { rattanward::policy::Run(); }
