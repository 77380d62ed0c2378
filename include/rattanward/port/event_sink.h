#pragma once

#include <functional>

#include "rattanward/domain/event.h"

namespace rattanward::port {

/// @brief Takes events from any thread; it never blocks on the disk for long.
using EventSink = std::function<void(const Event&)>;

}  // namespace rattanward::port
