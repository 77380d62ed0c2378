#include "rattanward/domain/named_limit.h"

namespace rattanward {

bool Replaces(const NamedLimit& received, const NamedLimit& known) {
  if (received.revision != known.revision) {
    return received.revision > known.revision;
  }
  return received.limited && (!known.limited || received.rate < known.rate);
}

NamedLimit AfterAnswer(const NamedLimit& known,
                       const std::optional<RequestRate>& named) {
  if (named == known.limit()) {
    return known;
  }
  return {known.revision + 1, named.has_value(), named.value_or(RequestRate())};
}

}  // namespace rattanward
