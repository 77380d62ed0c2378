#include "rattanward/proxy/relay_fields.h"

#include <charconv>
#include <string_view>

namespace rattanward::proxy {
namespace {

constexpr std::string_view kRoutes = "Rattanward-Routes";
constexpr std::string_view kAttempts = "Rattanward-Attempts";
constexpr std::string_view kStreamVersion = "Rattanward-Stream-Version";
constexpr std::string_view kUnable = "Rattanward-Unable";
constexpr std::string_view kUpstream = "Rattanward-Upstream";
constexpr std::string_view kUpstreamStart = "Rattanward-Upstream-Start";

template <class Number>
std::optional<Number> ReadNumber(const http::Fields& fields,
                                 std::string_view name) {
  const std::string* text = fields.Find(name);
  Number number = 0;
  if (text == nullptr) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number)
                                                       : std::nullopt;
}

}  // namespace

void AddRelayFields(const RelayedRequest& relayed, http::Fields* fields) {
  fields->Set(kRoutes, std::to_string(relayed.routes.value));
  fields->Set(kAttempts, std::to_string(relayed.attempts));
  fields->Remove(kStreamVersion);
  if (relayed.stream_version) {
    fields->Set(kStreamVersion, *relayed.stream_version);
  }
}

std::optional<RelayedRequest> TakeRelayedRequest(http::Fields* fields) {
  const auto routes = ReadNumber<std::uint64_t>(*fields, kRoutes);
  const auto attempts = ReadNumber<std::uint32_t>(*fields, kAttempts);
  if (!routes || !attempts) {
    return std::nullopt;
  }
  RelayedRequest relayed;
  relayed.routes = ConfigVersion{*routes};
  relayed.attempts = *attempts;
  if (const std::string* version = fields->Find(kStreamVersion)) {
    relayed.stream_version = *version;
  }
  for (const std::string_view name : {kRoutes, kAttempts, kStreamVersion}) {
    fields->Remove(name);
  }
  return relayed;
}

void AddRelayFields(const RelayedResponse& response, http::Fields* fields) {
  for (const std::string_view name : {kUnable, kUpstream, kUpstreamStart}) {
    fields->Remove(name);
  }
  if (response.unable) {
    fields->Set(kUnable, "1");
  }
  if (response.upstream) {
    fields->Set(kUpstream, response.upstream->id.str());
    fields->Set(kUpstreamStart, std::to_string(response.upstream->born));
  }
}

RelayedResponse TakeRelayedResponse(http::Fields* fields) {
  RelayedResponse response;
  response.unable = fields->Find(kUnable) != nullptr;
  const std::string* id = fields->Find(kUpstream);
  const auto born = ReadNumber<std::uint64_t>(*fields, kUpstreamStart);
  if (id != nullptr && born) {
    response.upstream = {UpstreamId(*id), *born};
  }
  for (const std::string_view name : {kUnable, kUpstream, kUpstreamStart}) {
    fields->Remove(name);
  }
  return response;
}

}  // namespace rattanward::proxy
