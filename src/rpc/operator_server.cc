#include "rattanward/rpc/operator_server.h"

#include <grpcpp/grpcpp.h>
#include <openssl/crypto.h>
#include <operator.grpc.pb.h>

#include "metadata.h"
#include "rattanward/rpc/operator_client.h"

namespace rattanward::rpc {
namespace {

constexpr int kMaxRequestBytes = 4 << 20;
constexpr int kMaxThreads = 16;
/// Longest wait for the leader's answer to a call that was passed on.
constexpr Duration kForwardTimeout{std::chrono::seconds(90)};

/// Compares in a time that depends on the lengths only.
bool SameToken(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string Metadata(const grpc::ServerContext& context, const char* key) {
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
                           const v1::ApplyConfigRequest* call,
                           v1::ConfigStateReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ValidateConfig(grpc::ServerContext* context,
                              const v1::ValidateConfigRequest* call,
                              v1::OutcomeReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ShowConfig(grpc::ServerContext* context,
                          const v1::ShowConfigRequest* call,
                          v1::ShowConfigReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ConfigHistory(grpc::ServerContext* context,
                             const v1::ConfigHistoryRequest* call,
                             v1::ConfigHistoryReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ConfigStatus(grpc::ServerContext* context,
                            const v1::ConfigStatusRequest* call,
                            v1::ConfigStateReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ListUpstreams(grpc::ServerContext* context,
                             const v1::ListUpstreamsRequest* call,
                             v1::ListUpstreamsReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status DrainUpstream(grpc::ServerContext* context,
                             const v1::DrainUpstreamRequest* call,
                             v1::OutcomeReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ListVoters(grpc::ServerContext* context,
                          const v1::ListVotersRequest* call,
                          v1::ListVotersReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status AddVoter(grpc::ServerContext* context,
                        const v1::AddVoterRequest* call,
                        v1::OutcomeReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status RemoveVoter(grpc::ServerContext* context,
                           const v1::RemoveVoterRequest* call,
                           v1::OutcomeReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status RepairVoter(grpc::ServerContext* context,
                           const v1::RepairVoterRequest* call,
                           v1::RepairVoterReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ListQuarantine(grpc::ServerContext* context,
                              const v1::ListQuarantineRequest* call,
                              v1::ListQuarantineReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ClearQuarantine(grpc::ServerContext* context,
                               const v1::ClearQuarantineRequest* call,
                               v1::OutcomeReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status ForgetVm(grpc::ServerContext* context,
                        const v1::ForgetVmRequest* call,
                        v1::OutcomeReply* reply) override {
    return Serve(*context, *call, *reply);
  }
  grpc::Status Status(grpc::ServerContext* context,
                      const v1::StatusRequest* call,
                      v1::StatusReply* reply) override {
    return Serve(*context, *call, *reply);
  }

  grpc::Status WatchEvents(grpc::ServerContext* context,
                           const v1::WatchEventsRequest*,
                           grpc::ServerWriter<v1::EventLine>* writer) override {
    if (!Allowed(*context)) {
      return Denied();
    }
    handler_.Watch([&](const v1::EventLine* line) {
      return !context->IsCancelled() &&
             (line == nullptr || writer->Write(*line));
    });
    return grpc::Status::OK;
  }

 private:
  bool Allowed(const grpc::ServerContext& context) const {
    return SameToken(Metadata(context, kTokenKey), kTokenPrefix + token_);
  }

  static grpc::Status Denied() {
    return {grpc::StatusCode::UNAUTHENTICATED, "operator token required"};
  }

  template <class Call, class Reply>
  grpc::Status Serve(const grpc::ServerContext& context, const Call& call,
                     Reply& reply) {
    if (!Allowed(context)) {
      return Denied();
    }
    reply = handler_.Handle(call);
    const v1::Outcome& outcome = reply.outcome();
    const bool pass_on =
        outcome.error() == static_cast<int>(ErrorCode::kNotLeader) &&
        !outcome.leader().empty() && Metadata(context, kForwardedKey).empty();
    if (pass_on) {
      OperatorClient leader(outcome.leader(), token_, kForwardTimeout);
      leader.set_forwarded();
      const auto answer = leader.Call(call);
      if (answer) {
        reply = answer.value();
      } else if (answer.error().verdict != Verdict::kNotRun) {
        reply.mutable_outcome()->set_error(
            static_cast<int>(answer.error().code));
        reply.mutable_outcome()->set_message(answer.error().message);
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
    return MakeError(ErrorCode::kDisconnected,
                     "cannot listen on " + ToString(endpoint));
  }
  return outcome::success();
}

int OperatorServer::port() const { return impl_->port(); }

void OperatorServer::Stop() { impl_->Stop(); }

}  // namespace rattanward::rpc
