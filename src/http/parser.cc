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

namespace rattanward::http {
namespace {

namespace beast = boost::beast;

using beast::string_view;
using BeastError = beast::error_code;

std::string ToString(string_view text) {
  return std::string(text.data(), text.size());
}

/// Detects obsolete line folding: a field line that begins with white space
/// continues the previous line. Implementations interpret it differently.
bool HasFoldedLine(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

Error ToError(const BeastError& error) {
  if (error == beast::http::error::header_limit) {
    return MakeError(ErrorCode::kHeadersTooLarge,
                     "message header exceeds the size limit");
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
      if (!this->is_header_done() && HasFoldedLine(rest)) {
        return MakeError(ErrorCode::kMalformedHeader,
                         "folded header field is not supported");
      }
      BeastError error;
      const std::size_t count =
          this->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
      consumed += count;
      if (error == beast::http::error::need_more) {
        if (!this->is_header_done() && rest.size() > limits_.max_header_bytes) {
          return MakeError(ErrorCode::kHeadersTooLarge,
                           "message header exceeds the size limit");
        }
        break;
      }
      if (error) {
        return ToError(error);
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

  Head head;
  std::string body;

 private:
  using Verb = beast::http::verb;

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
    body.append(piece.data(), piece.size());
    return piece.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            BeastError& /*error*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*left*/, string_view piece,
                                 BeastError& /*error*/) override {
    body.append(piece.data(), piece.size());
    return piece.size();
  }

  void on_finish_impl(BeastError& /*error*/) override {}

  ParserLimits limits_;
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
RequestHead RequestParser::TakeHead() { return std::move(impl_->head); }

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
