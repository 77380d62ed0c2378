#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::proxy {

/// @brief Asks, by a new connection, whether anything listens at an endpoint.
/// @param io Runs it.
/// @param longest Time after which the endpoint counts as not reached.
/// @param done Called once, in a later turn of the loop.
void CheckReachable(asio::io_context& io, const Endpoint& endpoint,
                    Duration timeout, std::function<void(bool reached)> done);

}  // namespace rattanward::proxy
