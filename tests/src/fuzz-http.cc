#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "rattanward/http/parser.h"
#include "rattanward/proxy/event_splitter.h"

namespace rattanward::http {
namespace {

const ParserLimits kLimits;

/// Splits a text at random positions.
std::vector<std::string> SplitRandomly(const std::string& text) {
  std::vector<std::string> pieces;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto count = static_cast<std::size_t>(
        *rc::gen::inRange<int>(1, 1 + static_cast<int>(text.size() - at)));
    pieces.push_back(text.substr(at, count));
    at += count;
  }
  return pieces;
}

std::string GenerateBody() {
  return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

std::string EncodeChunked(const std::string& body) {
  std::string out;
  for (const std::string& piece : SplitRandomly(body)) {
    out += EncodeChunk(piece);
  }
  out += kLastChunk;
  return out;
}

}  // namespace

TEST_CASE("parsed requests don't depend on how their bytes are split") {
  CHECK(rc::check([] {
    const std::string body = GenerateBody();
    const bool chunked = *rc::gen::arbitrary<bool>();
    const std::string text =
        "POST /a/b?c HTTP/1.1\r\nHost: h\r\n" +
        (chunked ? "Transfer-Encoding: chunked\r\n\r\n" + EncodeChunked(body)
                 : "Content-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
    const std::string next = "GET / HTTP/1.1\r\n";
    RequestParser parser(kLimits);
    std::string input;
    std::string received;
    for (const std::string& piece : SplitRandomly(text + next)) {
      input += piece;
      if (parser.done()) {
        continue;
      }
      const auto consumed = parser.Feed(input);
      RC_ASSERT(consumed.has_value());
      input.erase(0, consumed.value());
      received += parser.TakeBody();
    }
    RC_ASSERT(parser.done());
    RC_ASSERT(received == body);
    RC_ASSERT(input == next);
    RC_ASSERT(parser.head().target == "/a/b?c");
    RC_ASSERT(parser.keep_alive());
  }));
}

TEST_CASE("an answer that ends early is never complete") {
  CHECK(rc::check([] {
    const std::string body = GenerateBody() + "x";
    const bool chunked = *rc::gen::arbitrary<bool>();
    const std::string text =
        "HTTP/1.1 200 OK\r\n" +
        std::string(chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                            : "Content-Length: " + std::to_string(body.size()) +
                                  "\r\n\r\n") +
        (chunked ? EncodeChunked(body) : body);
    const auto cut = static_cast<std::size_t>(
        *rc::gen::inRange<int>(0, static_cast<int>(text.size())));
    ResponseParser parser(kLimits, false);
    RC_ASSERT(parser.Feed(text.substr(0, cut)).has_value());
    RC_ASSERT(!parser.done());
    RC_ASSERT(!parser.FeedEof());
  }));
}

TEST_CASE("a response without a length ends when the connection closes") {
  ResponseParser parser(kLimits, false);
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc").has_value());
  CHECK_FALSE(parser.done());
  CHECK(parser.framing() == Framing::kUntilClose);
  CHECK(parser.FeedEof());
  CHECK(parser.TakeBody() == "abc");
}

TEST_CASE("a response to HEAD has no body") {
  ResponseParser parser(kLimits, true);
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
  CHECK(parser.Feed(text + "HTTP").value() == text.size());
  CHECK(parser.done());
  CHECK(parser.length() == 9);
}

TEST_CASE("heads and bodies over the limits give their own error codes") {
  ParserLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  RequestParser head(limits);
  const auto large =
      head.Feed("GET / HTTP/1.1\r\nlong: " + std::string(500, 'x') + "\r\n");
  REQUIRE_FALSE(large.has_value());
  CHECK(large.error().code == ErrorCode::kHeadersTooLarge);
  RequestParser body(limits);
  const auto long_body =
      body.Feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  REQUIRE_FALSE(long_body.has_value());
  CHECK(long_body.error().code == ErrorCode::kBodyTooLarge);
}

TEST_CASE("arbitrary bytes don't crash the parsers") {
  CHECK(rc::check([](const std::string& bytes) {
    RequestParser request(kLimits);
    (void)request.Feed(bytes);
    ResponseParser response(kLimits, false);
    (void)response.Feed("HTTP/1.1 200 OK\r\n" + bytes);
  }));
}

TEST_CASE("hop-by-hop fields are not forwarded") {
  Fields fields;
  fields.Add("Connection", "close, X-Hop");
  fields.Add("x-hop", "1");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("X-End", "2");
  const Fields kept = EndToEndFields(fields);
  REQUIRE(kept.all().size() == 1);
  CHECK(kept.all()[0] == Field{"X-End", "2"});
  CHECK(fields.HasToken("connection", "CLOSE"));
}

TEST_CASE(
    "the event splitter forwards only complete events and keeps the rest") {
  CHECK(rc::check([] {
    const int events = *rc::gen::inRange(0, 6);
    const std::string line_end =
        *rc::gen::element<std::string>("\n", "\r\n", "\r");
    std::string text;
    for (int i = 0; i < events; ++i) {
      text += "id: " + std::to_string(i);
      text += line_end + "data: ";
      text += GenerateBody();
      text += line_end + line_end;
    }
    const std::string rest = "id: 99" + line_end + "da";
    proxy::EventSplitter splitter;
    std::string received;
    for (const std::string& piece : SplitRandomly(text + rest)) {
      received += splitter.Consume(piece);
      RC_ASSERT(text.compare(0, received.size(), received) == 0);
    }
    RC_ASSERT(received == text);
    RC_ASSERT(splitter.events() == static_cast<std::uint64_t>(events));
    RC_ASSERT(splitter.last_id() ==
              (events == 0 ? "" : std::to_string(events - 1)));
    RC_ASSERT(splitter.inside_event());
    RC_ASSERT(splitter.TakePartialEvent() == rest);
    RC_ASSERT_FALSE(splitter.inside_event());
  }));
}

TEST_CASE("a stream cut at any byte ends inside an event or after one") {
  for (const std::string line_end : {"\n", "\r\n", "\r"}) {
    std::string event;
    for (const std::string line : {"id: 7", ": note", "data: a", ""}) {
      event += line;
      event += line_end;
    }
    const std::string stream = event + event;
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
      CAPTURE(cut);
      proxy::EventSplitter splitter;
      const std::string whole = splitter.Consume(stream.substr(0, cut));
      CHECK(whole.size() == cut / event.size() * event.size());
      CHECK(splitter.inside_event() == (cut % event.size() != 0));
      CHECK(splitter.last_id() == (cut < event.size() ? "" : "7"));
    }
  }
}

TEST_CASE("an LF that arrives after its CR ends no event of its own") {
  proxy::EventSplitter splitter;
  CHECK(splitter.Consume("id: 1\rdata: a\r").empty());
  CHECK(splitter.Consume("\ndata: b").empty());
  CHECK(splitter.inside_event());
  CHECK(splitter.Consume("\r\n\r\n") == "id: 1\rdata: a\r\ndata: b\r\n\r\n");
  CHECK_FALSE(splitter.inside_event());
  CHECK(splitter.events() == 1);
}

}  // namespace rattanward::http
