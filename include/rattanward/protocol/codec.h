#pragma once

#include <concepts>
#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::protocol {

/// @brief Lists the fields of a message; specialize it for each struct with
/// `static auto Tie(auto& m) { return std::tie(m.a, m.b); }`.
/// @note Fields are sent in this order. New fields go to the end: an older
/// receiver ignores them, and an older sender leaves them at their default.
template <class T>
struct FieldsOf;

/// @brief A struct whose fields are listed by FieldsOf.
template <class T>
concept Message = requires(T& m) {
  FieldsOf<T>::Tie(m);
};

/// @brief Largest counts that a received message may hold.
struct CodecLimits {
  std::size_t max_array = 65536;
  std::size_t max_string_bytes = 16U << 20U;
  std::size_t max_depth = 16;
};

namespace detail {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <class T>
struct IsName : std::false_type {};
template <class Tag>
struct IsName<Name<Tag>> : std::true_type {};

template <class T>
struct IsNumber : std::false_type {};
template <class Tag>
struct IsNumber<Number<Tag>> : std::true_type {};

template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};

template <class T>
void PackValue(Packer& packer, const T& value) {
  if constexpr (IsName<T>::value) {
    packer.pack(value.str());
  } else if constexpr (IsNumber<T>::value) {
    packer.pack(value.value);
  } else if constexpr (std::same_as<T, Duration>) {
    packer.pack(static_cast<std::int64_t>(value.count()));
  } else if constexpr (std::is_enum_v<T>) {
    packer.pack(static_cast<std::int64_t>(value));
  } else if constexpr (IsVector<T>::value) {
    packer.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& item : value) {
      PackValue(packer, item);
    }
  } else if constexpr (Message<T>) {
    const auto fields = FieldsOf<T>::Tie(value);
    packer.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&](const auto&... f) { (PackValue(packer, f), ...); }, fields);
  } else {
    packer.pack(value);
  }
}

template <class T>
void UnpackValue(const msgpack::object& object, T& value);

template <class T>
void UnpackFields(const msgpack::object& object, T& value) {
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  std::uint32_t index = 0;
  const auto unpack_next = [&](auto& field) {
    if (index < object.via.array.size) {
      UnpackValue(object.via.array.ptr[index], field);
    }
    ++index;
  };
  std::apply([&](auto&... f) { (unpack_next(f), ...); },
             FieldsOf<T>::Tie(value));
}

template <class T>
void UnpackVector(const msgpack::object& object, std::vector<T>& value) {
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  value.clear();
  value.reserve(object.via.array.size);
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
    UnpackValue(object.via.array.ptr[i], value.emplace_back());
  }
}

template <class T>
void UnpackValue(const msgpack::object& object, T& value) {
  if constexpr (IsName<T>::value) {
    value = T(object.as<std::string>());
  } else if constexpr (IsNumber<T>::value) {
    value.value = object.as<std::uint64_t>();
  } else if constexpr (std::same_as<T, Duration>) {
    value = Duration(object.as<std::int64_t>());
  } else if constexpr (std::is_enum_v<T>) {
    value = static_cast<T>(object.as<std::underlying_type_t<T>>());
  } else if constexpr (IsVector<T>::value) {
    UnpackVector(object, value);
  } else if constexpr (Message<T>) {
    UnpackFields(object, value);
  } else {
    value = object.as<T>();
  }
}

}  // namespace detail

/// @brief Encodes a message as msgpack, its fields as one array.
/// Complexity: linear in the size of the message.
template <Message T>
std::string Encode(const T& message) {
  msgpack::sbuffer buffer;
  detail::Packer packer(buffer);
  detail::PackValue(packer, message);
  return std::string(buffer.data(), buffer.size());
}

/// @brief Decodes a message that Encode made; the bytes may be hostile.
/// @param bytes The encoded message and nothing after it.
/// @param limits Largest counts that are taken.
/// @return The message.
/// Errors: kMalformedMessage.
/// Complexity: linear in the size of the bytes.
template <Message T>
Result<T> Decode(std::string_view bytes, const CodecLimits& limits = {}) {
  const msgpack::unpack_limit unpack_limit(
      limits.max_array, 0, limits.max_string_bytes, 0, 0, limits.max_depth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, unpack_limit);
    if (offset != bytes.size()) {
      return MakeError(ErrorCode::kMalformedMessage,
                       "bytes after the end of the message");
    }
    T message;
    detail::UnpackValue(handle.get(), message);
    return message;
  } catch (const std::exception& e) {
    return MakeError(ErrorCode::kMalformedMessage, e.what());
  }
}

}  // namespace rattanward::protocol
