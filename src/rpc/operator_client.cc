#include "rattanward/rpc/operator_client.h"

#include <grpcpp/grpcpp.h>
#include <operator.grpc.pb.h>

#include "metadata.h"

namespace rattanward::rpc {
namespace {

constexpr int kMaxReplyBytes = 16 << 20;

/// Converts a failed gRPC status. A status that is not listed here may also
/// come after the request has run.
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
  // Callers send a request again themselves, with the same command id.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  // Each client opens its own connection instead of sharing one per address.
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
  Result<Reply> Call(Method method, const Request& request,
                     const grpc::ServerContext* forwarded) {
    const auto deadline = std::chrono::system_clock::now() + timeout_;
    if (!WaitUntilConnected()) {
      return MakeError(ErrorCode::kDisconnected,
                       "could not connect to the control VM");
    }
    const auto context =
        forwarded == nullptr
            ? std::make_unique<grpc::ClientContext>()
            : grpc::ClientContext::FromServerContext(*forwarded);
    SetCallMetadata(*context, forwarded != nullptr);
    context->set_deadline(deadline);
    Reply reply;
    const grpc::Status status =
        (stub_.get()->*method)(context.get(), request, &reply);
    if (!status.ok()) {
      return ToError(status);
    }
    return reply;
  }

  Status Watch(const std::function<bool(const v1::EventLine&)>& on_event) {
    if (!WaitUntilConnected()) {
      return MakeError(ErrorCode::kDisconnected,
                       "could not connect to the control VM");
    }
    grpc::ClientContext context;
    SetCallMetadata(context, false);
    const auto reader = stub_->WatchEvents(&context, v1::WatchEventsRequest());
    v1::EventLine line;
    while (reader->Read(&line)) {
      if (!on_event(line)) {
        context.TryCancel();
        return outcome::success();
      }
    }
    const grpc::Status status = reader->Finish();
    return status.ok() ? Status(outcome::success()) : ToError(status);
  }

 private:
  /// Waits for the connection before anything is sent. If this fails, the
  /// request has not run.
  bool WaitUntilConnected() {
    constexpr auto kConnectTimeout = std::chrono::seconds(1);
    return channel_->WaitForConnected(
        std::chrono::system_clock::now() +
        std::min<Duration>(kConnectTimeout, timeout_));
  }

  void SetCallMetadata(grpc::ClientContext& context, bool forwarded) const {
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
    const v1::ApplyConfigRequest& request) {
  return impl_->Call<v1::ConfigStateReply>(&v1::Operator::Stub::ApplyConfig,
                                           request, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::ValidateConfigRequest& request) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::ValidateConfig,
                                       request, forwarded_);
}

Result<v1::ShowConfigReply> OperatorClient::Call(
    const v1::ShowConfigRequest& request) {
  return impl_->Call<v1::ShowConfigReply>(&v1::Operator::Stub::ShowConfig,
                                          request, forwarded_);
}

Result<v1::ConfigHistoryReply> OperatorClient::Call(
    const v1::ConfigHistoryRequest& request) {
  return impl_->Call<v1::ConfigHistoryReply>(&v1::Operator::Stub::ConfigHistory,
                                             request, forwarded_);
}

Result<v1::ConfigStateReply> OperatorClient::Call(
    const v1::ConfigStatusRequest& request) {
  return impl_->Call<v1::ConfigStateReply>(&v1::Operator::Stub::ConfigStatus,
                                           request, forwarded_);
}

Result<v1::ListUpstreamsReply> OperatorClient::Call(
    const v1::ListUpstreamsRequest& request) {
  return impl_->Call<v1::ListUpstreamsReply>(&v1::Operator::Stub::ListUpstreams,
                                             request, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::DrainUpstreamRequest& request) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::DrainUpstream,
                                       request, forwarded_);
}

Result<v1::ListVotersReply> OperatorClient::Call(
    const v1::ListVotersRequest& request) {
  return impl_->Call<v1::ListVotersReply>(&v1::Operator::Stub::ListVoters,
                                          request, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::AddVoterRequest& request) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::AddVoter, request,
                                       forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::RemoveVoterRequest& request) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::RemoveVoter,
                                       request, forwarded_);
}

Result<v1::RepairVoterReply> OperatorClient::Call(
    const v1::RepairVoterRequest& request) {
  return impl_->Call<v1::RepairVoterReply>(&v1::Operator::Stub::RepairVoter,
                                           request, forwarded_);
}

Result<v1::ListQuarantineReply> OperatorClient::Call(
    const v1::ListQuarantineRequest& request) {
  return impl_->Call<v1::ListQuarantineReply>(
      &v1::Operator::Stub::ListQuarantine, request, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::ClearQuarantineRequest& request) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::ClearQuarantine,
                                       request, forwarded_);
}

Result<v1::OutcomeReply> OperatorClient::Call(
    const v1::ForgetVmRequest& request) {
  return impl_->Call<v1::OutcomeReply>(&v1::Operator::Stub::ForgetVm, request,
                                       forwarded_);
}

Result<v1::StatusReply> OperatorClient::Call(const v1::StatusRequest& request) {
  return impl_->Call<v1::StatusReply>(&v1::Operator::Stub::Status, request,
                                      forwarded_);
}

Status OperatorClient::Watch(
    const std::function<bool(const v1::EventLine&)>& on_event) {
  return impl_->Watch(on_event);
}

}  // namespace rattanward::rpc
