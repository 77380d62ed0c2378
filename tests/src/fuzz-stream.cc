#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <string_view>
#include <vector>

#include "rattanward/entry/stream_assembler.h"

namespace rattanward::entry {
namespace {

std::string EventText(std::size_t number, std::size_t last) {
  const std::string data =
      number == last ? "[DONE]" : "event " + std::to_string(number);
  return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

/// Feeds a text in chunks of random size; stops at the first error.
bool FeedInChunks(StreamAssembler& assembler, std::string_view text,
                  std::vector<std::string>& received) {
  for (std::size_t at = 0; at < text.size();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 120);
    const auto batch = assembler.Feed(text.substr(at, size));
    if (!batch) {
      return false;
    }
    received.insert(received.end(), batch.value().events.begin(),
                    batch.value().events.end());
    at += size;
  }
  return true;
}

/// Oracle: the received events must be a gapless prefix of the stream, whatever
/// the input was.
void RequireGaplessPrefix(const std::vector<std::string>& received) {
  for (std::size_t i = 0; i < received.size(); ++i) {
    RC_ASSERT(received[i] == "event " + std::to_string(i + 1));
  }
}

}  // namespace

TEST_CASE("only a gapless prefix of a stream is delivered") {
  CHECK(rc::check("late, repeated, reordered or missing events", [] {
    const auto last = *rc::gen::inRange<std::size_t>(1, 12);
    const auto connections = *rc::gen::inRange<std::size_t>(1, 6);
    StreamAssembler assembler;
    std::vector<std::string> received;
    for (std::size_t i = 0; i < connections; ++i) {
      const auto numbers = *rc::gen::container<std::vector<std::size_t>>(
          rc::gen::inRange<std::size_t>(1, last + 1));
      std::string text;
      for (const std::size_t number : numbers) {
        text += EventText(number, last);
      }
      const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      assembler.BeginConnection();
      FeedInChunks(assembler, text.substr(0, cut), received);
      RequireGaplessPrefix(received);
      RC_ASSERT(!assembler.done() || received.size() == last - 1);
    }
  }));
}

TEST_CASE("a stream resumed from the next expected event is complete") {
  CHECK(rc::check("resuming over cut connections loses no event", [] {
    const auto last = *rc::gen::inRange<std::size_t>(1, 12);
    StreamAssembler assembler;
    std::vector<std::string> received;
    for (int round = 0; round < 100 && !assembler.done(); ++round) {
      // The upstream may start before the requested event, but never after it.
      const auto from =
          *rc::gen::inRange<std::size_t>(1, assembler.next_event() + 1);
      std::string text;
      for (std::size_t number = from; number <= last; ++number) {
        text += EventText(number, last);
      }
      const bool final_round = round == 99;
      const auto cut = final_round
                           ? text.size()
                           : *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      assembler.BeginConnection();
      RC_ASSERT(FeedInChunks(assembler, text.substr(0, cut), received));
      RequireGaplessPrefix(received);
    }
    RC_ASSERT(assembler.done());
    RC_ASSERT(received.size() == last - 1);
  }));
}

}  // namespace rattanward::entry
