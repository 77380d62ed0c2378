#include "rattanward/adapter/announcement_json.h"

#include <nlohmann/json.hpp>

namespace rattanward::adapter {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxListItems = 64;

template <class Tag>
Name<Tag> ReadName(const Json& json, const char* key) {
  auto text = json.at(key).get<std::string>();
  if (text.size() > kMaxNameBytes) {
    throw std::length_error(std::string(key) + " is too long");
  }
  return Name<Tag>(std::move(text));
}

template <class T>
std::vector<T> ReadList(const Json& json, const char* key) {
  auto list = json.value(key, std::vector<T>{});
  if (list.size() > kMaxListItems) {
    throw std::length_error(std::string(key) + " has too many items");
  }
  return list;
}

LoadReport ReadLoad(const Json& json) {
  const Json load = json.value("load", Json::object());
  return LoadReport{load.value("running", 0U), load.value("waiting", 0U),
                    load.value("cache_used_permille", 0U),
                    load.value("accepted_total", std::uint64_t{0})};
}

Announcement Read(const Json& json) {
  Announcement result;
  result.instance = ReadName<struct UpstreamIdTag>(json, "instance");
  result.sequence = json.at("sequence").get<std::uint64_t>();
  result.kind = json.at("kind") == "service" ? UpstreamKind::kService
                                             : UpstreamKind::kModelEngine;
  result.endpoint.address = json.at("address").get<std::string>();
  result.endpoint.port = json.at("port").get<std::uint16_t>();
  result.failure_domain =
      ReadName<struct FailureDomainTag>(json, "failure_domain");
  for (auto& model : ReadList<std::string>(json, "models")) {
    result.models.emplace_back(std::move(model));
  }
  result.service = ServiceName(json.value("service", std::string()));
  result.adapters = ReadList<std::string>(json, "adapters");
  result.version = json.value("version", std::string());
  result.role = json.value("role", std::string());
  result.capacity = json.at("capacity").get<std::uint32_t>();
  result.load = ReadLoad(json);
  result.draining = json.value("draining", false);
  result.not_run_statuses = ReadList<std::uint16_t>(json, "not_run_statuses");
  return result;
}

std::string Problem(const Announcement& announcement) {
  if (announcement.instance.empty()) {
    return "instance is empty";
  }
  if (announcement.endpoint.address.empty() ||
      announcement.endpoint.port == 0) {
    return "address and port must be set";
  }
  if (announcement.capacity == 0) {
    return "capacity must be 1 or more";
  }
  if (announcement.kind == UpstreamKind::kService &&
      announcement.service.empty()) {
    return "service is empty";
  }
  return "";
}

}  // namespace

std::string AnnouncementToJson(const Announcement& announcement) {
  Json models = Json::array();
  for (const ModelName& model : announcement.models) {
    models.push_back(model.str());
  }
  const bool service = announcement.kind == UpstreamKind::kService;
  const Json json = {
      {"instance", announcement.instance.str()},
      {"sequence", announcement.sequence},
      {"kind", service ? "service" : "model-engine"},
      {"address", announcement.endpoint.address},
      {"port", announcement.endpoint.port},
      {"failure_domain", announcement.failure_domain.str()},
      {"models", models},
      {"service", announcement.service.str()},
      {"adapters", announcement.adapters},
      {"version", announcement.version},
      {"role", announcement.role},
      {"capacity", announcement.capacity},
      {"load",
       {{"running", announcement.load.running},
        {"waiting", announcement.load.waiting},
        {"cache_used_permille", announcement.load.cache_used_permille},
        {"accepted_total", announcement.load.accepted_total}}},
      {"draining", announcement.draining},
      {"not_run_statuses", announcement.not_run_statuses}};
  return json.dump();
}

Result<Announcement> AnnouncementFromJson(std::string_view body) {
  try {
    Announcement announcement = Read(Json::parse(body));
    if (const std::string problem = Problem(announcement); !problem.empty()) {
      return MakeError(ErrorCode::kMalformedBody, "announcement: " + problem);
    }
    return announcement;
  } catch (const std::exception& e) {
    return MakeError(ErrorCode::kMalformedBody,
                     std::string("announcement: ") + e.what());
  }
}

}  // namespace rattanward::adapter
