#include "rattanward/proxy/reach_question.h"

#include <asio/steady_timer.hpp>
#include <charconv>
#include <string_view>
#include <utility>

namespace rattanward::proxy {
namespace {

constexpr std::string_view kPrefix = "/reach/";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// One question under way. It owns itself until the answer or the timeout.
class Question : public http::ClientHandler,
                 public std::enable_shared_from_this<Question> {
 public:
  Question(asio::io_context& io, const Endpoint& peer,
           std::function<void(Reach)> done)
      : connection_(std::make_shared<http::ClientConnection>(io, peer)),
        timer_(io),
        done_(std::move(done)) {}

  void Start(const membership::InstanceStart& upstream, Duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& e) {
      if (!e) {
        self->End(Reach::kUnknown);
      }
    });
    http::RequestHead head;
    head.method = "GET";
    head.target = ReachQuestionTarget(upstream);
    head.fields.Set("Host", "entry");
    connection_->Send(Serialize(head), std::make_shared<const std::string>(),
                      timeout, this);
  }

  bool IsMatchingResponse(const http::ResponseHead& /*head*/) const override {
    return true;
  }
  void OnHead(const http::ResponseHead& head, http::Framing /*framing*/,
              std::uint64_t /*length*/) override {
    answer_ = head.status == kOk               ? Reach::kReached
              : head.status == kGatewayTimeout ? Reach::kNotReached
                                               : Reach::kUnknown;
  }
  void OnBody(std::string_view /*piece*/) override {}
  void OnReadEnd() override {}
  void OnComplete() override { End(answer_); }
  void OnFailure(http::ClientFailure /*failure*/) override {
    End(Reach::kUnknown);
  }

 private:
  void End(Reach reach) {
    const auto self = shared_from_this();
    connection_->Close();
    timer_.cancel();
    if (const auto done = std::exchange(done_, nullptr)) {
      done(reach);
    }
  }

  std::shared_ptr<http::ClientConnection> connection_;
  asio::steady_timer timer_;
  std::function<void(Reach)> done_;
  Reach answer_ = Reach::kUnknown;
};

}  // namespace

std::string ReachQuestionTarget(const membership::InstanceStart& upstream) {
  return std::string(kPrefix) + std::to_string(upstream.born) + '/' +
         upstream.id.str();
}

std::optional<membership::InstanceStart> ParseReachQuestion(
    const http::RequestHead& head) {
  std::string_view target = head.target;
  if (head.method != "GET" || target.substr(0, kPrefix.size()) != kPrefix) {
    return std::nullopt;
  }
  target.remove_prefix(kPrefix.size());
  std::uint64_t born = 0;
  const auto parsed =
      std::from_chars(target.data(), target.data() + target.size(), born);
  const auto length = static_cast<std::size_t>(parsed.ptr - target.data());
  if (parsed.ec != std::errc() || length >= target.size() ||
      target[length] != '/') {
    return std::nullopt;
  }
  return membership::InstanceStart{
      UpstreamId(std::string(target.substr(length + 1))), born};
}

int ReachStatus(Reach reach) {
  switch (reach) {
    case Reach::kReached:
      return kOk;
    case Reach::kNotReached:
      return kGatewayTimeout;
    case Reach::kUnknown:
      break;
  }
  return kUnavailable;
}

void AskReach(asio::io_context& io, const Endpoint& peer,
              const membership::InstanceStart& upstream, Duration timeout,
              std::function<void(Reach)> done) {
  std::make_shared<Question>(io, peer, std::move(done))
      ->Start(upstream, timeout);
}

}  // namespace rattanward::proxy
