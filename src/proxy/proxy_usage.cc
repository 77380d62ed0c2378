#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {

/// The entry that a caller is connected to counts its request, wherever it ran.
/// A stream that is taken up began to run earlier.
bool Proxy::CountsUsage(const Exchange& exchange) {
  const RoutedRequest& routed = exchange.routed();
  return !routed.relayed && !routed.traits.resumes_stream &&
         routed.account != nullptr;
}

void Proxy::OnBeganToRun(const Exchange& exchange, TimePoint at) {
  if (!CountsUsage(exchange)) {
    return;
  }
  const RoutedRequest& routed = exchange.routed();
  const RoutedService* service = routed.table->FindService(routed.service);
  Duration lead(0);
  if (exchange.streams() && service != nullptr && service->engine) {
    lead = usage_.FirstTokenLead(routed.service,
                                 service->engine->tokens_per_event);
  }
  usage_.Count(routed.account->id, at - lead);
}

void Proxy::BeginUsage(const Exchange& exchange) {
  if (!exchange.streams() && CountsUsage(exchange)) {
    usage_.BeginPending(exchange.sent_at());
  }
}

void Proxy::EndUsage(const Exchange& exchange) {
  if (!exchange.streams() && CountsUsage(exchange)) {
    usage_.EndPending(exchange.sent_at());
  }
}

void Proxy::RecordEventGap(const Exchange& exchange) {
  if (const auto gap = exchange.mean_event_gap()) {
    usage_.RecordGap(exchange.routed().service, *gap);
  }
}

}  // namespace rattanward::proxy
