#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::http {

/// @brief Opens a TCP connection to check whether an endpoint is reachable.
/// @param io Event loop that runs the check.
/// @param timeout Time after which the endpoint counts as unreachable.
/// @param done Called once, in a later turn of the event loop.
void CheckReachable(asio::io_context& io, const Endpoint& endpoint,
                    Duration timeout, std::function<void(bool reached)> done);

}  // namespace rattanward::http
