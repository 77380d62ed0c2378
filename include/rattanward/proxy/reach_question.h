#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "rattanward/http/client_connection.h"
#include "rattanward/membership/instance_directory.h"

namespace rattanward::proxy {

/// @brief What another entry answers to the question whether it reaches a start
/// of an upstream.
enum class Reach : std::uint8_t {
  kReached,
  /// A connection could not be opened, or that start is gone.
  kNotReached,
  /// The other entry didn't answer, or can't tell since it has lost many paths.
  kUnknown,
};

/// @brief Request line of the question.
std::string ReachQuestionTarget(const membership::InstanceStart& upstream);

/// @brief Reads the start of the upstream that a request asks about.
/// @return None if the request isn't such a question.
std::optional<membership::InstanceStart> ParseReachQuestion(
    const http::RequestHead& head);

/// @brief Status of the answer.
int ReachStatus(Reach reach);

/// @brief Asks another entry whether it reaches a start of an upstream.
/// @param done Called once.
void AskReach(asio::io_context& io, const Endpoint& peer,
              const membership::InstanceStart& upstream, Duration timeout,
              std::function<void(Reach)> done);

}  // namespace rattanward::proxy
