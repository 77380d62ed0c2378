#include "rattanward/control/routing_texts.h"

namespace rattanward::control {
namespace {

/// Number of versions whose text is retained. An entry that runs one of them
/// can be sent a difference.
constexpr std::size_t kMaxRetainedTexts = 8;

}  // namespace

void RoutingTexts::Update(ConfigVersion version, const std::string& text) {
  if (version <= newest_) {
    return;
  }
  newest_ = version;
  texts_[version] = text;
  if (texts_.size() > kMaxRetainedTexts) {
    texts_.erase(texts_.begin());
  }
  encoded_pushes_.clear();
}

const std::string& RoutingTexts::EncodedPushFrom(ConfigVersion entry_version) {
  if (texts_.count(entry_version) == 0) {
    entry_version = ConfigVersion{};
  }
  const auto [push, added] = encoded_pushes_.try_emplace(entry_version);
  if (added) {
    push->second = MakePush(entry_version);
  }
  return push->second;
}

std::string RoutingTexts::MakePush(ConfigVersion entry_version) const {
  protocol::RoutingPush full;
  full.version = newest_;
  if (const auto text = texts_.find(newest_); text != texts_.end()) {
    full.text = text->second;
  }
  std::string encoded = protocol::Encode(full);
  const auto base = texts_.find(entry_version);
  if (base == texts_.end()) {
    return encoded;
  }
  protocol::RoutingPush changed;
  changed.version = newest_;
  changed.base = entry_version;
  changed.difference = DifferenceOf(base->second, full.text);
  std::string encoded_difference = protocol::Encode(changed);
  return encoded_difference.size() < encoded.size() ? encoded_difference
                                                    : encoded;
}

}  // namespace rattanward::control
