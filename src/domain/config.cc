#include "rattanward/domain/config.h"

#include <algorithm>

namespace rattanward {
namespace {

template <class T, class N>
const T* FindByName(const std::vector<T>& items, const N& name) {
  const auto it = std::find_if(items.begin(), items.end(), [&](const T& item) {
    return item.name == name;
  });
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

const RequestClass* FindClass(const Config& config,
                              const RequestClassName& name) {
  return FindByName(config.classes, name);
}

const ServiceDeclaration* FindService(const Config& config,
                                      const ServiceName& name) {
  return FindByName(config.services, name);
}

}  // namespace rattanward
