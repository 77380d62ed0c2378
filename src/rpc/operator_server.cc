#include "rattanward/rpc/operator_server.h"

#include <grpcpp/grpcpp.h>
#include <openssl/crypto.h>
#include <operator.grpc.pb.h>

#include "metadata.h"
#include "rattanward/rpc/operator_client.h"

namespace rattanward::rpc {
namespace {

constexpr int kMaxRequestBytes = 4 << 20;
/// Limit of the server's threads. Each running call, also that of an event
/// watcher, occupies one.
constexpr int kMaxThreads = 16;
/// Timeout of a request forwarded to the leader. Longer than the longest wait
/// that a handler accepts.
constexpr Duration kForwardTimeout{std::chrono::seconds(90)};

/// Compares two strings in a time that depends only on their lengths, so that
/// response times reveal nothing about the token.
bool ConstantTimeEquals(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

/// Value of a metadata key; empty if the key is absent.
std::string MetadataValue(const grpc::ServerContext& context, const char* key) {
  const auto it = context.client_metadata().find(key);
  return it == context.client_metadata().end()
             ? std::string()
             : std::string(it->second.data(), it->second.size());
}

class Service final : public v1::Operator::Service {
 public:
  Service(OperatorHandler& handler, std::string token)
      : handler_(handler), token_(std::move(token)) {}

  grpc::Status ApplyConfig(grpc::ServerContext* context,
                           const v1::ApplyConfigRequest* request,
                           v1::ConfigStateReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ValidateConfig(grpc::ServerContext* context,
                              const v1::ValidateConfigRequest* request,
                              v1::OutcomeReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ShowConfig(grpc::ServerContext* context,
                          const v1::ShowConfigRequest* request,
                          v1::ShowConfigReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ConfigHistory(grpc::ServerContext* context,
                             const v1::ConfigHistoryRequest* request,
                             v1::ConfigHistoryReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ConfigStatus(grpc::ServerContext* context,
                            const v1::ConfigStatusRequest* request,
                            v1::ConfigStateReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ListUpstreams(grpc::ServerContext* context,
                             const v1::ListUpstreamsRequest* request,
                             v1::ListUpstreamsReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status DrainUpstream(grpc::ServerContext* context,
                             const v1::DrainUpstreamRequest* request,
                             v1::OutcomeReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ListVoters(grpc::ServerContext* context,
                          const v1::ListVotersRequest* request,
                          v1::ListVotersReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status AddVoter(grpc::ServerContext* context,
                        const v1::AddVoterRequest* request,
                        v1::OutcomeReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status RemoveVoter(grpc::ServerContext* context,
                           const v1::RemoveVoterRequest* request,
                           v1::OutcomeReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status RepairVoter(grpc::ServerContext* context,
                           const v1::RepairVoterRequest* request,
                           v1::RepairVoterReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ListQuarantine(grpc::ServerContext* context,
                              const v1::ListQuarantineRequest* request,
                              v1::ListQuarantineReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ClearQuarantine(grpc::ServerContext* context,
                               const v1::ClearQuarantineRequest* request,
                               v1::OutcomeReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status ForgetVm(grpc::ServerContext* context,
                        const v1::ForgetVmRequest* request,
                        v1::OutcomeReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }
  grpc::Status Status(grpc::ServerContext* context,
                      const v1::StatusRequest* request,
                      v1::StatusReply* reply) override {
    return HandleOrForward(*context, *request, *reply);
  }

  grpc::Status WatchEvents(grpc::ServerContext* context,
                           const v1::WatchEventsRequest*,
                           grpc::ServerWriter<v1::EventLine>* writer) override {
    if (!IsAuthenticated(*context)) {
      return Unauthenticated();
    }
    handler_.Watch([&](const v1::EventLine* line) {
      return !context->IsCancelled() &&
             (line == nullptr || writer->Write(*line));
    });
    return grpc::Status::OK;
  }

 private:
  bool IsAuthenticated(const grpc::ServerContext& context) const {
    return ConstantTimeEquals(MetadataValue(context, kTokenKey),
                              kTokenPrefix + token_);
  }

  static grpc::Status Unauthenticated() {
    return {grpc::StatusCode::UNAUTHENTICATED,
            "operator token missing or wrong"};
  }

  /// Handles a request here or, if this VM is a follower that knows the leader,
  /// forwards it to the leader. A request is forwarded at most once. If
  /// forwarding fails with the verdict kNotRun, the reply remains kNotLeader
  /// and the client may try again.
  template <class Request, class Reply>
  grpc::Status HandleOrForward(const grpc::ServerContext& context,
                               const Request& request, Reply& reply) {
    if (!IsAuthenticated(context)) {
      return Unauthenticated();
    }
    reply = handler_.Handle(request);
    const v1::Outcome& outcome = reply.outcome();
    const bool should_forward =
        outcome.error() == static_cast<int>(ErrorCode::kNotLeader) &&
        !outcome.leader().empty() &&
        MetadataValue(context, kForwardedKey).empty();
    if (should_forward) {
      OperatorClient leader(outcome.leader(), token_, kForwardTimeout);
      leader.set_forwarded(context);
      const auto leader_reply = leader.Call(request);
      if (leader_reply) {
        reply = leader_reply.value();
      } else if (leader_reply.error().verdict != Verdict::kNotRun) {
        reply.mutable_outcome()->set_error(
            static_cast<int>(leader_reply.error().code));
        reply.mutable_outcome()->set_message(leader_reply.error().message);
      }
    }
    return grpc::Status::OK;
  }

  OperatorHandler& handler_;
  const std::string token_;
};

}  // namespace

class OperatorServer::Impl {
 public:
  Impl(OperatorHandler& handler, std::string token)
      : service_(handler, std::move(token)) {}

  bool Start(const std::string& address) {
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(kMaxThreads);
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(kMaxRequestBytes);
    // Without this, two processes could bind the same port and share its calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                             &port_);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    return server_ != nullptr && port_ != 0;
  }

  void Stop() {
    if (server_ != nullptr) {
      server_->Shutdown(std::chrono::system_clock::now() +
                        std::chrono::milliseconds(200));
    }
  }

  int port() const { return port_; }

 private:
  Service service_;
  std::unique_ptr<grpc::Server> server_;
  int port_ = 0;
};

OperatorServer::OperatorServer(OperatorHandler& handler, std::string token)
    : impl_(std::make_unique<Impl>(handler, std::move(token))) {}

OperatorServer::~OperatorServer() { Stop(); }

Status OperatorServer::Start(const Endpoint& endpoint) {
  if (!impl_->Start(ToString(endpoint))) {
    return MakeError(
        ErrorCode::kDisconnected,
        "cannot bind the operator RPC address " + ToString(endpoint));
  }
  return outcome::success();
}

int OperatorServer::port() const { return impl_->port(); }

void OperatorServer::Stop() { impl_->Stop(); }

}  // namespace rattanward::rpc
