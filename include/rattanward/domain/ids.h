#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rattanward {

/// @brief Name of one kind of thing; names of different kinds do not mix.
/// @note An empty name stands for "none".
template <class Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  /// @brief The text of the name.
  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.value_;
  }

 private:
  std::string value_;
};

/// @brief Number of one kind of thing; numbers of different kinds do not mix.
template <class Tag>
struct Number {
  std::uint64_t value = 0;

  friend auto operator<=>(const Number&, const Number&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Number& number) {
    return out << number.value;
  }
};

using AttemptId = Name<struct AttemptIdTag>;
using ClientAccountId = Name<struct ClientAccountIdTag>;
using CommandId = Name<struct CommandIdTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
using ModelName = Name<struct ModelNameTag>;
/// @brief Identity of one daemon process, from its settings.
using ProcessId = Name<struct ProcessIdTag>;
using RequestClassName = Name<struct RequestClassNameTag>;
using RequestId = Name<struct RequestIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
/// @brief Identity of one upstream instance; a restart makes another instance.
using UpstreamId = Name<struct UpstreamIdTag>;
/// @brief Identity of a control voter: the random id of its data folder.
using VoterId = Name<struct VoterIdTag>;
using VmName = Name<struct VmNameTag>;

/// @brief Version of the declared configuration; 0 means none accepted yet.
using ConfigVersion = Number<struct ConfigVersionTag>;
/// @brief Fencing number of an order to an upstream; it only grows.
using FencingNumber = Number<struct FencingNumberTag>;

/// @brief IP address and port, such as 127.0.0.1:7101.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// @brief The endpoint as "address:port".
inline std::string ToString(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace rattanward

template <class Tag>
struct std::hash<rattanward::Name<Tag>> {
  std::size_t operator()(const rattanward::Name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.str());
  }
};
