#include "rattanward/control/routing_texts.h"

namespace rattanward::control {
namespace {

/// Versions that an entry may be behind and still get a difference.
constexpr std::size_t kKeptTexts = 8;

}  // namespace

void RoutingTexts::Note(ConfigVersion version, const std::string& text) {
  if (version <= newest_) {
    return;
  }
  newest_ = version;
  texts_[version] = text;
  if (texts_.size() > kKeptTexts) {
    texts_.erase(texts_.begin());
  }
  pushes_.clear();
}

const std::string& RoutingTexts::PushFrom(ConfigVersion runs) {
  if (texts_.count(runs) == 0) {
    runs = ConfigVersion{};
  }
  const auto [push, added] = pushes_.try_emplace(runs);
  if (added) {
    push->second = MakePush(runs);
  }
  return push->second;
}

std::string RoutingTexts::MakePush(ConfigVersion runs) const {
  protocol::RoutingPush whole;
  whole.version = newest_;
  if (const auto text = texts_.find(newest_); text != texts_.end()) {
    whole.text = text->second;
  }
  std::string encoded = protocol::Encode(whole);
  const auto base = texts_.find(runs);
  if (base == texts_.end()) {
    return encoded;
  }
  protocol::RoutingPush changed;
  changed.version = newest_;
  changed.base = runs;
  changed.difference = DifferenceOf(base->second, whole.text);
  std::string shorter = protocol::Encode(changed);
  return shorter.size() < encoded.size() ? shorter : encoded;
}

}  // namespace rattanward::control
