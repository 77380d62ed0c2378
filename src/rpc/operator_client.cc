#include "rattanward/rpc/operator_client.h"

#include <grpcpp/grpcpp.h>
#include <operator.grpc.pb.h>

#include "metadata.h"

namespace rattanward::rpc {
namespace {

constexpr int kMaxReplyBytes = 16 << 20;

Error ToError(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::UNAUTHENTICATED:
      return MakeError(ErrorCode::kOperatorTokenRequired,
                       status.error_message());
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      return MakeError(ErrorCode::kMalformedMessage, status.error_message());
    default:
      return MakeError(ErrorCode::kOutcomeUnknown, status.error_message(),
                       Verdict::kMayHaveRun);
  }
}

std::shared_ptr<grpc::Channel> MakeChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxReplyBytes);
  // The calls are sent again by the caller, under the same command id.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

}  // namespace

class OperatorClient::Impl {
 public:
  Impl(const std::string& address, std::string token, Duration timeout)
      : channel_(MakeChannel(address)),
        stub_(v1::Operator::NewStub(channel_)),
        token_(std::move(token)),
        timeout_(timeout) {}

  template <class Reply, class Method, class Request>
  Result<Reply> Call(Method method, const Request& request, bool forwarded) {
    const auto deadline = std::chrono::system_clock::now() + timeout_;
    if (!Connect()) {
      return MakeError(ErrorCode::kDisconnected, "no connection");
    }
    grpc::ClientContext context;
    Prepare(context, forwarded);
    context.set_deadline(deadline);
    Reply reply;
    const grpc::Status status =
        (stub_.get()->*method)(&context, request, &reply);
    if (!status.ok()) {
      return ToError(status);
    }
    return reply;
  }

  Status Watch(const std::function<bool(const v1::EventLine&)>& take) {
    if (!Connect()) {
      return MakeError(ErrorCode::kDisconnected, "no connection");
    }
    grpc::ClientContext context;
    Prepare(context, false);
    const auto reader = stub_->WatchEvents(&context, v1::WatchEventsRequest());
    v1::EventLine line;
    while (reader->Read(&line)) {
      if (!take(line)) {
        context.TryCancel();
        return outcome::success();
      }
    }
    const grpc::Status status = reader->Finish();
    return status.ok() ? Status(outcome::success()) : ToError(status);
  }

 private:
  /// Nothing is sent unless the connection is up, so a failure is not run.
  bool Connect() {
    constexpr auto kConnectTimeout = std::chrono::seconds(1);
    return channel_->WaitForConnected(
        std::chrono::system_clock::now() +
        std::min<Duration>(kConnectTimeout, timeout_));
  }

  void Prepare(grpc::ClientContext& context, bool forwarded) const {
    context.AddMetadata(kTokenKey, kTokenPrefix + token_);
    if (forwarded) {
      context.AddMetadata(kForwardedKey, "1");
    }
  }

  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<v1::Operator::Stub> stub_;
  std::string token_;
  Duration timeout_;
};

OperatorClient::OperatorClient(const std::string& address, std::string token,
                               Duration timeout)
    : impl_(std::make_unique<Impl>(address, std::move(token), timeout)) {}

OperatorClient::~OperatorClient() = default;

Result<v1::ConfigStateReply> OperatorClient::Call(
    const v1::ApplyConfigRequest& call) {
  return impl_->Call<v1::ConfigStateReply>(&v1::Operator::Stub::ApplyConfig,
                                           call, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::ValidateConfigRequest& call) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::ValidateConfig,
                                       call, forwarded_);
}

Result<v1::ShowConfigReply> OperatorClient::Call(
    const v1::ShowConfigRequest& call) {
  return impl_->Call<v1::ShowConfigReply>(&v1::Operator::Stub::ShowConfig, call,
                                          forwarded_);
}

Result<v1::ConfigHistoryReply> OperatorClient::Call(
    const v1::ConfigHistoryRequest& call) {
  return impl_->Call<v1::ConfigHistoryReply>(&v1::Operator::Stub::ConfigHistory,
                                             call, forwarded_);
}

Result<v1::ConfigStateReply> OperatorClient::Call(
    const v1::ConfigStatusRequest& call) {
  return impl_->Call<v1::ConfigStateReply>(&v1::Operator::Stub::ConfigStatus,
                                           call, forwarded_);
}

Result<v1::ListUpstreamsReply> OperatorClient::Call(
    const v1::ListUpstreamsRequest& call) {
  return impl_->Call<v1::ListUpstreamsReply>(&v1::Operator::Stub::ListUpstreams,
                                             call, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::DrainUpstreamRequest& call) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::DrainUpstream, call,
                                       forwarded_);
}

Result<v1::ListVotersReply> OperatorClient::Call(
    const v1::ListVotersRequest& call) {
  return impl_->Call<v1::ListVotersReply>(&v1::Operator::Stub::ListVoters, call,
                                          forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(const v1::AddVoterRequest& call) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::AddVoter, call,
                                       forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::RemoveVoterRequest& call) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::RemoveVoter, call,
                                       forwarded_);
}

Result<v1::RepairVoterReply> OperatorClient::Call(
    const v1::RepairVoterRequest& call) {
  return impl_->Call<v1::RepairVoterReply>(&v1::Operator::Stub::RepairVoter,
                                           call, forwarded_);
}

Result<v1::ListQuarantineReply> OperatorClient::Call(
    const v1::ListQuarantineRequest& call) {
  return impl_->Call<v1::ListQuarantineReply>(
      &v1::Operator::Stub::ListQuarantine, call, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::ClearQuarantineRequest& call) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::ClearQuarantine,
                                       call, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(const v1::ForgetVmRequest& call) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::ForgetVm, call,
                                       forwarded_);
}

Result<v1::StatusReply> OperatorClient::Call(const v1::StatusRequest& call) {
  return impl_->Call<v1::StatusReply>(&v1::Operator::Stub::Status, call,
                                      forwarded_);
}

Status OperatorClient::Watch(
    const std::function<bool(const v1::EventLine&)>& take) {
  return impl_->Watch(take);
}

}  // namespace rattanward::rpc
