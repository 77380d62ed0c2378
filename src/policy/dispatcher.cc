#include "rattanward/policy/dispatcher.h"

#include <utility>

#include "rattanward/policy/baseline_dispatcher.h"

namespace rattanward::policy {

class Dispatcher::Impl {
 public:
  explicit Impl(const DispatcherOptions& options) : baseline(options) {}
  BaselineDispatcher baseline;
};

Dispatcher::Dispatcher(DispatcherOptions options)
    : impl_(std::make_unique<Impl>(options)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

std::vector<Decision> Dispatcher::SetConfig(const Config& config,
                                            TimePoint now) {
  return impl_->baseline.SetConfig(config, now);
}

std::vector<Decision> Dispatcher::UpstreamChanged(
    const Announcement& announcement, TimePoint now) {
  return impl_->baseline.UpstreamChanged(announcement, now);
}

std::vector<Decision> Dispatcher::UpstreamGone(const UpstreamId& upstream,
                                               TimePoint now) {
  return impl_->baseline.UpstreamGone(upstream, now);
}

std::vector<Decision> Dispatcher::Submit(const RequestInfo& request,
                                         TimePoint now) {
  return impl_->baseline.Submit(request, now);
}

void Dispatcher::FirstToken(const RequestId& request, TimePoint now) {
  impl_->baseline.FirstToken(request, now);
}

std::vector<Decision> Dispatcher::Finish(const AttemptResult& result,
                                         TimePoint now) {
  return impl_->baseline.Finish(result, now);
}

std::vector<Decision> Dispatcher::Cancel(const RequestId& request,
                                         TimePoint now) {
  return impl_->baseline.Cancel(request, now);
}

std::vector<Decision> Dispatcher::Tick(TimePoint now) {
  return impl_->baseline.Tick(now);
}

std::vector<Suspicion> Dispatcher::TakeSuspicions() { return {}; }

void Dispatcher::MergeSuspicion(const Suspicion& /*suspicion*/,
                                TimePoint /*now*/) {}

std::size_t Dispatcher::OpenRequests() const {
  return impl_->baseline.OpenRequests();
}

}  // namespace rattanward::policy
