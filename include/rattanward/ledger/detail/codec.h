#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::ledger::detail {

/// @brief Thrown while decoding; never leaves Decode().
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// @brief Packs values; a struct is an array of what Fields() visits.
class Writer {
 public:
  explicit Writer(msgpack::sbuffer& buffer) : packer_(buffer) {}

  /// @brief Packs the fields of one struct.
  template <class... T>
  void operator()(const T&... fields) {
    packer_.pack_array(sizeof...(T));
    (Put(fields), ...);
  }

  template <class T>
  void Put(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      packer_.pack(static_cast<std::int64_t>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      packer_.pack(value);
    } else {
      Fields(value, *this);
    }
  }
  void Put(const std::string& value) { packer_.pack(value); }
  void Put(const Duration& value) { packer_.pack(value.count()); }
  template <class Tag>
  void Put(const Name<Tag>& value) {
    packer_.pack(value.str());
  }
  template <class Tag>
  void Put(const Number<Tag>& value) {
    packer_.pack(value.value);
  }
  template <class A, class B>
  void Put(const std::pair<A, B>& value) {
    (*this)(value.first, value.second);
  }
  template <class T>
  void Put(const std::vector<T>& values) {
    PutAll(values);
  }
  template <class T>
  void Put(const std::set<T>& values) {
    PutAll(values);
  }
  template <class K, class V>
  void Put(const std::map<K, V>& values) {
    PutAll(values);
  }
  template <class... T>
  void Put(const std::variant<T...>& value) {
    packer_.pack_array(2);
    packer_.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([this](const auto& alternative) { this->Put(alternative); },
               value);
  }

 private:
  template <class Range>
  void PutAll(const Range& values) {
    packer_.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& value : values) {
      Put(value);
    }
  }

  msgpack::packer<msgpack::sbuffer> packer_;
};

/// @brief Reads values back; throws DecodeError on anything unexpected.
class Reader {
 public:
  explicit Reader(const msgpack::object& object) : object_(object) {}

  /// @brief Reads the fields of one struct.
  template <class... T>
  void operator()(T&... fields) {
    Expect(object_, sizeof...(T));
    const msgpack::object* next = object_.via.array.ptr;
    (Take(*next++, fields), ...);
  }

  template <class T>
  static void Take(const msgpack::object& object, T& value) {
    if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(object.as<std::int64_t>());
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = object.as<T>();
    } else {
      Reader reader(object);
      Fields(value, reader);
    }
  }
  static void Take(const msgpack::object& object, std::string& value) {
    value = object.as<std::string>();
  }
  static void Take(const msgpack::object& object, Duration& value) {
    value = Duration(object.as<Duration::rep>());
  }
  template <class Tag>
  static void Take(const msgpack::object& object, Name<Tag>& value) {
    value = Name<Tag>(object.as<std::string>());
  }
  template <class Tag>
  static void Take(const msgpack::object& object, Number<Tag>& value) {
    value = Number<Tag>{object.as<std::uint64_t>()};
  }
  template <class A, class B>
  static void Take(const msgpack::object& object, std::pair<A, B>& value) {
    Reader reader(object);
    reader(value.first, value.second);
  }
  template <class T>
  static void Take(const msgpack::object& object, std::vector<T>& values) {
    TakeAll<T>(object, [&](T item) { values.push_back(std::move(item)); });
  }
  template <class T>
  static void Take(const msgpack::object& object, std::set<T>& values) {
    TakeAll<T>(object, [&](T item) { values.insert(std::move(item)); });
  }
  template <class K, class V>
  static void Take(const msgpack::object& object, std::map<K, V>& values) {
    TakeAll<std::pair<K, V>>(
        object, [&](std::pair<K, V> item) { values.insert(std::move(item)); });
  }
  template <class... T>
  static void Take(const msgpack::object& object, std::variant<T...>& value) {
    Expect(object, 2);
    const auto index = object.via.array.ptr[0].as<std::uint32_t>();
    TakeAlternative(object.via.array.ptr[1], index, value,
                    std::index_sequence_for<T...>());
  }

 private:
  static void Expect(const msgpack::object& object, std::size_t size) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size) {
      throw DecodeError("array of another length expected");
    }
  }
  template <class T, class Fn>
  static void TakeAll(const msgpack::object& object, Fn add) {
    if (object.type != msgpack::type::ARRAY) {
      throw DecodeError("array expected");
    }
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
      T item;
      Take(object.via.array.ptr[i], item);
      add(std::move(item));
    }
  }
  template <class Variant, std::size_t... I>
  static void TakeAlternative(const msgpack::object& object,
                              std::uint32_t index, Variant& value,
                              std::index_sequence<I...>) {
    const bool known =
        ((index == I ? (Take(object, value.template emplace<I>()), true)
                     : false) ||
         ...);
    if (!known) {
      throw DecodeError("unknown alternative");
    }
  }

  const msgpack::object& object_;
};

/// @brief Encodes a value whose Fields() overloads are visible.
template <class T>
std::string EncodeValue(const T& value) {
  msgpack::sbuffer buffer;
  Writer writer(buffer);
  writer.Put(value);
  return std::string(buffer.data(), buffer.size());
}

/// @brief Decodes a value within limits.
/// @param bytes The encoded value.
/// @param max_items Largest array, in items.
/// @param max_bytes Largest string, in bytes.
/// Errors: kMalformedMessage for anything that EncodeValue() does not give.
template <class T>
Result<T> DecodeValue(const std::string& bytes, std::size_t max_items,
                      std::size_t max_bytes) {
  constexpr std::size_t kMaxDepth = 32;
  try {
    const msgpack::unpack_limit limit(max_items, 0, max_bytes, 0, 0, kMaxDepth);
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      throw DecodeError("bytes left over");
    }
    T value;
    Reader::Take(handle.get(), value);
    return value;
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kMalformedMessage,
                     std::string("cannot decode: ") + error.what());
  }
}

}  // namespace rattanward::ledger::detail
