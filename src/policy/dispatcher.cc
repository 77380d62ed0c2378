#include "rattanward/policy/dispatcher.h"

#include <utility>
#include <variant>

#include "rattanward/policy/baseline_dispatcher.h"
#include "rattanward/policy/standard_dispatcher.h"

namespace rattanward::policy {
namespace {

using ProfileDispatcher = std::variant<BaselineDispatcher, StandardDispatcher>;

ProfileDispatcher MakeProfileDispatcher(DispatcherOptions options) {
  if (options.profile == Profile::kBaseline) {
    return BaselineDispatcher(options);
  }
  return StandardDispatcher(std::move(options));
}

}  // namespace

class Dispatcher::Impl {
 public:
  explicit Impl(DispatcherOptions options)
      : dispatcher_(MakeProfileDispatcher(std::move(options))) {}

  /// Calls a function with the dispatcher of the selected profile.
  template <class Function>
  auto Call(Function function) {
    return std::visit(function, dispatcher_);
  }

  /// Returns the standard dispatcher, or null in the baseline profile.
  StandardDispatcher* Standard() {
    return std::get_if<StandardDispatcher>(&dispatcher_);
  }

 private:
  ProfileDispatcher dispatcher_;
};

Dispatcher::Dispatcher(DispatcherOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

std::vector<Decision> Dispatcher::SetConfig(const Config& config,
                                            TimePoint now) {
  return impl_->Call([&](auto& d) { return d.SetConfig(config, now); });
}

std::vector<Decision> Dispatcher::UpstreamChanged(
    const Announcement& announcement, TimePoint now) {
  return impl_->Call(
      [&](auto& d) { return d.UpstreamChanged(announcement, now); });
}

std::vector<Decision> Dispatcher::UpstreamGone(const UpstreamId& upstream,
                                               TimePoint now) {
  return impl_->Call([&](auto& d) { return d.UpstreamGone(upstream, now); });
}

std::vector<Decision> Dispatcher::Submit(const RequestInfo& request,
                                         TimePoint now) {
  return impl_->Call([&](auto& d) { return d.Submit(request, now); });
}

void Dispatcher::FirstToken(const RequestId& request, TimePoint now) {
  impl_->Call([&](auto& d) { d.FirstToken(request, now); });
}

std::vector<Decision> Dispatcher::Finish(const AttemptResult& result,
                                         TimePoint now) {
  return impl_->Call([&](auto& d) { return d.Finish(result, now); });
}

std::vector<Decision> Dispatcher::Cancel(const RequestId& request,
                                         TimePoint now) {
  return impl_->Call([&](auto& d) { return d.Cancel(request, now); });
}

std::vector<Decision> Dispatcher::Tick(TimePoint now) {
  return impl_->Call([&](auto& d) { return d.Tick(now); });
}

std::vector<Decision> Dispatcher::BeginStop(const StopPlan& plan,
                                            TimePoint now) {
  return impl_->Call([&](auto& d) { return d.BeginStop(plan, now); });
}

std::size_t Dispatcher::OpenRequests() const {
  return impl_->Call([](const auto& d) { return d.OpenRequests(); });
}

std::vector<Suspicion> Dispatcher::TakeSuspicions() {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::vector<Suspicion>()
                             : standard->quarantine().TakeUnsent();
}

std::vector<PartSuspicion> Dispatcher::TakePartSuspicions(TimePoint now) {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::vector<PartSuspicion>()
                             : standard->TakePartSuspicions(now);
}

std::vector<Decision> Dispatcher::SetPathLost(const UpstreamId& upstream,
                                              bool lost, TimePoint now) {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::vector<Decision>()
                             : standard->SetPathLost(upstream, lost, now);
}

void Dispatcher::MergePartSuspicion(const PartSuspicion& suspicion,
                                    TimePoint now) {
  if (StandardDispatcher* standard = impl_->Standard()) {
    standard->MergePartSuspicion(suspicion, now);
  }
}

void Dispatcher::ReadLimit(const UpstreamId& upstream,
                           const std::optional<RequestRate>& named,
                           TimePoint now) {
  if (StandardDispatcher* standard = impl_->Standard()) {
    standard->ReadLimit(upstream, named, now);
  }
}

std::vector<UpstreamLimit> Dispatcher::TakeLimits(TimePoint now) {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::vector<UpstreamLimit>()
                             : standard->TakeLimits(now);
}

void Dispatcher::MergeLimit(const UpstreamLimit& limit, TimePoint now) {
  if (StandardDispatcher* standard = impl_->Standard()) {
    standard->MergeLimit(limit, now);
  }
}

void Dispatcher::RecordExtraRequest(const UpstreamId& upstream, TimePoint now) {
  if (StandardDispatcher* standard = impl_->Standard()) {
    standard->RecordExtraRequest(upstream, now);
  }
}

void Dispatcher::MergeSuspicion(const Suspicion& suspicion, TimePoint now) {
  if (StandardDispatcher* standard = impl_->Standard()) {
    standard->quarantine().Merge(suspicion, now);
  }
}

std::vector<Suspicion> Dispatcher::Suspicions() const {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::vector<Suspicion>()
                             : standard->quarantine().All();
}

bool Dispatcher::ReleaseSuspicion(std::uint64_t fingerprint) {
  StandardDispatcher* standard = impl_->Standard();
  return standard != nullptr && standard->quarantine().Release(fingerprint);
}

std::vector<Event> Dispatcher::TakeEvents() {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::vector<Event>() : standard->TakeEvents();
}

void Dispatcher::SetEntryGroup(const EntryGroup& group, TimePoint now) {
  if (StandardDispatcher* standard = impl_->Standard()) {
    standard->SetEntryGroup(group, now);
  }
}

std::vector<AddressedRequest> Dispatcher::TakePortionRequests(TimePoint now) {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::vector<AddressedRequest>()
                             : standard->accounts().TakeRequests(now);
}

std::optional<PortionGrant> Dispatcher::AnswerPortion(
    const PortionRequest& request, TimePoint now) {
  StandardDispatcher* standard = impl_->Standard();
  return standard == nullptr ? std::nullopt
                             : standard->accounts().Answer(request, now);
}

void Dispatcher::ApplyPortionGrant(const PortionGrant& grant) {
  if (StandardDispatcher* standard = impl_->Standard()) {
    standard->accounts().ApplyGrant(grant);
  }
}

}  // namespace rattanward::policy
