#pragma once

#include <memory>
#include <utility>
#include <variant>

#include "rattanward/http/client_connection.h"

namespace rattanward::proxy {

/// @brief What an exchange does at present, with the connection of its attempt.
/// @note One value holds both, so that whatever is called between two stages
/// finds them in agreement: an exchange is sent exactly while it has a
/// connection.
class ExchangeStage {
 public:
  using Connection = std::shared_ptr<http::ClientConnection>;

  /// @brief Waits for an upstream.
  void Wait() { value_ = Waiting{}; }
  /// @brief Has an attempt on a connection.
  /// @param connection Not null.
  void Send(Connection connection) { value_ = std::move(connection); }
  /// @brief Ends the attempt, if there is one; what follows isn't decided yet.
  /// @return The attempt's connection, or null without an attempt.
  Connection EndAttempt() {
    const auto* sent = std::get_if<Connection>(&value_);
    if (sent == nullptr) {
      return nullptr;
    }
    Connection connection = *sent;
    value_ = BetweenAttempts{};
    return connection;
  }
  void Finish() { value_ = Finished{}; }

  bool waiting() const { return std::holds_alternative<Waiting>(value_); }
  bool sent() const { return std::holds_alternative<Connection>(value_); }
  bool finished() const { return std::holds_alternative<Finished>(value_); }
  /// @brief Connection of the attempt; null unless sent.
  http::ClientConnection* connection() const {
    const auto* sent = std::get_if<Connection>(&value_);
    return sent == nullptr ? nullptr : sent->get();
  }

 private:
  struct Waiting {};
  struct BetweenAttempts {};
  struct Finished {};

  std::variant<Waiting, Connection, BetweenAttempts, Finished> value_;
};

}  // namespace rattanward::proxy
