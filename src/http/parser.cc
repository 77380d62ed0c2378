#include "rattanward/http/parser.h"

// Beast 1.74 asserts that the last chunk has at least 5 bytes. For an empty
// body it has only 3 when the final line end arrives later.
#define BOOST_DISABLE_ASSERTS

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <limits>
#include <utility>

#include "rattanward/http/memory_budget.h"

namespace rattanward::http {
namespace {

namespace beast = boost::beast;

using beast::string_view;
using BeastError = beast::error_code;

std::string ToString(string_view text) {
  return std::string(text.data(), text.size());
}

/// Bytes of a chunk that no limit counts: its size in hexadecimal digits, and
/// two line ends.
constexpr std::uint64_t kPlainChunkFrame = 24;

Error HeaderLimitError() {
  return MakeError(ErrorCode::kHeadersTooLarge,
                   "message header exceeds the size limit");
}

Error ToError(const BeastError& error) {
  if (error == beast::http::error::header_limit) {
    return HeaderLimitError();
  }
  if (error == beast::http::error::body_limit) {
    return MakeError(ErrorCode::kBodyTooLarge,
                     "message body exceeds the size limit");
  }
  return MakeError(ErrorCode::kMalformedHeader, error.message());
}

/// Common parser of requests and responses.
template <bool kRequest, class Head>
class Parser : public beast::http::basic_parser<kRequest> {
 public:
  explicit Parser(ParserLimits limits) : limits_(limits) {
    this->eager(true);
    this->header_limit(limits.max_header_bytes);
    this->body_limit(limits.max_body_bytes);
  }

  Result<std::size_t> Feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !this->is_done()) {
      const std::string_view rest = bytes.substr(consumed);
      if (!this->is_header_done() && FindsFoldedLine(rest)) {
        return MakeError(ErrorCode::kMalformedHeader,
                         "folded header field is not supported");
      }
      BeastError error;
      const std::size_t count =
          this->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
      consumed += count;
      consumed_ += count;
      if (error && error != beast::http::error::need_more) {
        return ToError(error);
      }
      if (ExceedsHeaderLimit(rest.size() - count, error)) {
        return HeaderLimitError();
      }
      if (error) {
        break;
      }
      if (unsupported_encoding_) {
        return MakeError(ErrorCode::kMalformedHeader,
                         "unsupported transfer coding");
      }
      if (count == 0) {
        break;
      }
    }
    return consumed;
  }

  bool FeedEof() {
    if (!this->is_header_done()) {
      return false;
    }
    BeastError error;
    this->put_eof(error);
    return !error && this->is_done();
  }

  Framing framing() const {
    if (this->chunked()) {
      return Framing::kChunked;
    }
    if (this->content_length()) {
      return Framing::kLength;
    }
    return this->need_eof() ? Framing::kUntilClose : Framing::kNone;
  }

  /// Bytes of memory that the parsed parts of the message occupy.
  std::size_t held_bytes() const { return head_bytes_ + HeapBytes(body); }

  std::uint64_t scanned_bytes() const { return scanned_bytes_; }

  Head TakeHead() {
    head_bytes_ = 0;
    return std::move(head);
  }

  Head head;
  std::string body;

 private:
  using Verb = beast::http::verb;

  /// Detects obsolete line folding: a field line that begins with white space
  /// continues the previous line. Implementations interpret it differently.
  /// Reads each byte of a head once, however it is split.
  bool FindsFoldedLine(std::string_view bytes) {
    constexpr std::size_t kOverlap = 3;  // of a "\r\n\r\n" that was cut
    const std::string_view unseen =
        bytes.substr(std::min(fold_checked_, bytes.size()));
    scanned_bytes_ += unseen.size();
    fold_checked_ = bytes.size() - std::min(kOverlap, bytes.size());
    const std::string_view head_part =
        unseen.substr(0, unseen.find("\r\n\r\n"));
    return head_part.find("\r\n ") != std::string_view::npos ||
           head_part.find("\r\n\t") != std::string_view::npos;
  }

  /// Head, chunk framing and trailer count together; of each chunk, a size line
  /// of the usual length is free.
  bool ExceedsHeaderLimit(std::size_t unparsed, const BeastError& error) const {
    if (this->is_header_done() && !this->chunked()) {
      return false;
    }
    const std::uint64_t pending =
        error == beast::http::error::need_more ? unparsed : 0;
    // What earlier chunks left free is not for one line or the trailer.
    if (pending > limits_.max_header_bytes + kPlainChunkFrame) {
      return true;
    }
    // A response may be a stream without an end, from an upstream that extends
    // each chunk.
    const std::uint64_t framing =
        kRequest ? consumed_ - body_bytes_ + pending : pending;
    return framing >
           limits_.max_header_bytes + kPlainChunkFrame * (chunks_ + 1);
  }

  /// Grows in smaller steps than std::string, which doubles its memory.
  void AppendBody(string_view piece) {
    body_bytes_ += piece.size();
    const std::size_t needed = body.size() + piece.size();
    if (needed > body.capacity()) {
      constexpr std::size_t kGrowthDivisor = 4;
      std::string grown;
      grown.reserve(needed + needed / kGrowthDivisor);
      grown.append(body);
      body.swap(grown);
    }
    body.append(piece.data(), piece.size());
  }

  void on_request_impl(Verb /*method*/, string_view method, string_view target,
                       int version, BeastError& /*error*/) override {
    if constexpr (kRequest) {
      head.method = ToString(method);
      head.target = ToString(target);
      head.version = version;
    }
  }

  void on_response_impl(int status, string_view reason, int version,
                        BeastError& /*error*/) override {
    if constexpr (!kRequest) {
      head.status = status;
      head.reason = ToString(reason);
      head.version = version;
    }
  }

  void on_field_impl(beast::http::field field, string_view name,
                     string_view value, BeastError& /*error*/) override {
    if (field == beast::http::field::transfer_encoding &&
        !EqualsIgnoreCase(ToString(value), "chunked")) {
      unsupported_encoding_ = true;
    }
    if (this->is_header_done()) {
      return;  // Nothing here uses trailer fields.
    }
    head_bytes_ += sizeof(Field) + name.size() + value.size();
    head.fields.Add(ToString(name), ToString(value));
  }

  void on_header_impl(BeastError& error) override {
    if (unsupported_encoding_) {
      error = beast::http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         BeastError& /*error*/) override {}

  std::size_t on_body_impl(string_view piece, BeastError& /*error*/) override {
    AppendBody(piece);
    return piece.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            BeastError& /*error*/) override {
    ++chunks_;
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*left*/, string_view piece,
                                 BeastError& /*error*/) override {
    AppendBody(piece);
    return piece.size();
  }

  void on_finish_impl(BeastError& /*error*/) override {}

  ParserLimits limits_;
  /// Of the whole message: bytes parsed, of those in the body, and chunks.
  std::uint64_t consumed_ = 0;
  std::uint64_t body_bytes_ = 0;
  std::uint64_t chunks_ = 0;
  std::size_t head_bytes_ = 0;
  std::size_t fold_checked_ = 0;
  std::uint64_t scanned_bytes_ = 0;
  bool unsupported_encoding_ = false;
};

}  // namespace

class RequestParser::Impl : public Parser<true, RequestHead> {
 public:
  using Parser::Parser;
};

RequestParser::RequestParser(ParserLimits limits)
    : impl_(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

Result<std::size_t> RequestParser::Feed(std::string_view bytes) {
  return impl_->Feed(bytes);
}
bool RequestParser::head_done() const { return impl_->is_header_done(); }
bool RequestParser::done() const { return impl_->is_done(); }
bool RequestParser::keep_alive() const { return impl_->keep_alive(); }
const RequestHead& RequestParser::head() const { return impl_->head; }
std::size_t RequestParser::body_bytes() const { return impl_->body.size(); }
std::string RequestParser::TakeBody() {
  return std::exchange(impl_->body, std::string());
}
RequestHead RequestParser::TakeHead() { return impl_->TakeHead(); }
std::size_t RequestParser::held_bytes() const { return impl_->held_bytes(); }
std::uint64_t RequestParser::scanned_bytes() const {
  return impl_->scanned_bytes();
}

class ResponseParser::Impl : public Parser<false, ResponseHead> {
 public:
  using Parser::Parser;
};

ResponseParser::ResponseParser(ParserLimits limits, bool head_request)
    : impl_(std::make_unique<Impl>(limits)) {
  impl_->skip(head_request);
}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

Result<std::size_t> ResponseParser::Feed(std::string_view bytes) {
  return impl_->Feed(bytes);
}
bool ResponseParser::FeedEof() { return impl_->FeedEof(); }
bool ResponseParser::head_done() const { return impl_->is_header_done(); }
bool ResponseParser::done() const { return impl_->is_done(); }
bool ResponseParser::keep_alive() const { return impl_->keep_alive(); }
Framing ResponseParser::framing() const { return impl_->framing(); }
std::uint64_t ResponseParser::length() const {
  const auto length = impl_->content_length();
  return length ? *length : 0;
}
const ResponseHead& ResponseParser::head() const { return impl_->head; }
std::string ResponseParser::TakeBody() {
  return std::exchange(impl_->body, std::string());
}

}  // namespace rattanward::http
