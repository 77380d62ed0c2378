// Measures the mean time of the placer's operations, in this process and
// without I/O: applying a load report of another entry, choosing an engine, and
// building the load report of this entry.

#include <chrono>
#include <cstdio>
#include <set>
#include <string>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {
namespace {

constexpr int kEngines = 140;
constexpr int kEntries = 22;
/// Offset between the shared prompt parts that successive engines report.
constexpr int kPartsPerEngine = 60;
constexpr int kRounds = 20000;

UpstreamId EngineId(int index) {
  return UpstreamId("engine-" + std::to_string(index));
}

membership::InstanceRecord MakeInstance(int index) {
  membership::InstanceRecord record;
  record.id = EngineId(index);
  record.stamp = {1, 1};
  record.service = ServiceName("s");
  record.failure_domain = FailureDomain("d" + std::to_string(index % 3));
  record.slots = 32;
  return record;
}

/// @brief Creates a request whose prompt has a part shared with other requests
/// and a part of its own.
PlacementRequest MakeRequest(int index) {
  PlacementRequest request;
  request.service = ServiceName("s");
  const auto shared_part = static_cast<std::uint64_t>(index % 4000);
  request.prompt = {{shared_part, 13300},
                    {1'000'000 + static_cast<std::uint64_t>(index), 3700}};
  request.prompt_tokens = 17000;
  return request;
}

/// @brief Creates the load report of another entry, which covers a quarter of
/// the engines. These differ by entry and round.
EntryLoad MakeEntryLoad(int entry, int round) {
  EntryLoad load;
  load.entry = ProcessId("entry-" + std::to_string(entry));
  load.valid_for = std::chrono::hours(1);
  for (int i = 0; i < kEngines; i += 4) {
    const int engine = (i + entry + round) % kEngines;
    load.upstreams[EngineId(engine)] = {2, 9000, 30000, 1000, 0};
    const auto part =
        static_cast<std::uint64_t>((engine * kPartsPerEngine + round) % 4000);
    load.placed_parts[EngineId(engine)] = {{part, 13300}};
  }
  return load;
}

/// @brief Prints the mean time of a call.
/// @param fn Called with the number of the round, from 0.
/// @note Includes the time to create the arguments of the measured call.
template <class Fn>
void MeasureMean(const char* name, int rounds, Fn fn) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < rounds; ++i) {
    fn(i);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf("%-16s %8.2f us each\n", name, elapsed.count() / rounds);
}

void RunBenchmarks() {
  Placer placer{FailureDomain("d0")};
  RoutedService service;
  service.name = ServiceName("s");
  service.engine = EngineDeclaration{32, 500'000, 3};
  placer.SetServices({service});
  for (int i = 0; i < kEngines; ++i) {
    placer.SetInstance(MakeInstance(i));
  }
  const TimePoint now{std::chrono::seconds(1)};
  MeasureMean("take load", kRounds, [&](int i) {
    placer.SetEntryLoad(MakeEntryLoad(i % kEntries, i / kEntries), now);
  });
  std::size_t chosen = 0;
  const std::set<UpstreamId> no_exclusions;
  MeasureMean("choose", kRounds, [&](int i) {
    chosen += placer.Choose(MakeRequest(i), no_exclusions, now) ? 1 : 0;
  });
  MeasureMean("own load", kRounds / 10,
              [&](int) { placer.OwnLoad(ProcessId("self"), now, now); });
  std::printf("chosen %zu\n", chosen);
}

}  // namespace
}  // namespace rattanward::policy

int main() { rattanward::policy::RunBenchmarks(); }
