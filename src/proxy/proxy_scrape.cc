#include <string>

#include "rattanward/http/memory_log.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

std::string UnansweredText(const http::Server& server) {
  std::string text;
  for (std::size_t i = 0; i < http::kUnansweredEndNames.size(); ++i) {
    const std::string name(http::kUnansweredEndNames.at(i));
    text += ScrapeLine("requests_unanswered_" + name + "_total",
                       server.unanswered().at(i));
  }
  return text;
}

}  // namespace

std::string Proxy::ScrapeText() const {
  return meter_.ScrapeText() + UnansweredText(server_) +
         http::ScrapeText(*memory_) +
         ScrapeLine("upstream_connections_opened_total", pool_.opened()) +
         ScrapeLine("upstream_connections", pool_.open()) +
         ScrapeLine("caller_connections", server_.connections()) +
         ScrapeLine("requests_open", exchanges_.size()) +
         ScrapeLine("requests_waiting", queue_.size()) +
         ScrapeLine("accounts_with_work", shares_.size()) +
         ScrapeLine("upstreams_known", directory_.size()) +
         ScrapeLine("upstreams_in_backoff",
                    placer_.UpstreamsInBackoff(MonotonicNow())) +
         ScrapeLine("upstream_paths_lost", paths_.lost()) +
         ScrapeLine("upstreams_failing", placer_.UpstreamsFailing()) +
         ScrapeLine("relay_connections", relay_pool_.open()) +
         ScrapeLine("upstreams_with_limit", placer_.UpstreamsWithLimit()) +
         ScrapeLine("engines_slow", placer_.EnginesSlow()) +
         ScrapeLine("upstreams_with_rejection_limit",
                    placer_.UpstreamsWithRejectionLimit()) +
         ScrapeLine("stream_versions_known", stream_versions_.size()) +
         ScrapeLine("entries_known", entries_) +
         ScrapeLine("routes_version", routing_version().value) +
         ScrapeLine("prompt_parts_suspected", part_quarantine_.size()) +
         ScrapeLine("prompt_parts_quarantined",
                    part_quarantine_.quarantined()) +
         ScrapeLine("requests_quarantined", crashes_.quarantined()) +
         ScrapeLine("ready", Ready() ? 1 : 0);
}

}  // namespace rattanward::proxy
