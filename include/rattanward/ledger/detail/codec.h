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

/// @brief Thrown while decoding; DecodeValue() turns it into an Error.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// @brief Packs values as msgpack. A struct becomes an array of the fields that
/// VisitFields() visits.
/// @note Enums are packed as integers, and a variant as an array of its index
/// and its value.
class Writer {
 public:
  explicit Writer(msgpack::sbuffer& buffer) : packer_(buffer) {}

  /// @brief Packs the fields of one struct.
  template <class... T>
  void operator()(const T&... fields) {
    packer_.pack_array(sizeof...(T));
    (Write(fields), ...);
  }

  /// @brief Packs the fields of one struct, and a last one unless it is empty.
  /// Older builds can read it as long as it is empty.
  template <class Tail, class... T>
  void WithTail(const Tail& tail, const T&... fields) {
    if (tail.empty()) {
      (*this)(fields...);
    } else {
      (*this)(fields..., tail);
    }
  }

  template <class T>
  void Write(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      packer_.pack(static_cast<std::int64_t>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      packer_.pack(value);
    } else {
      VisitFields(value, *this);
    }
  }
  void Write(const std::string& value) { packer_.pack(value); }
  void Write(const Duration& value) { packer_.pack(value.count()); }
  template <class Tag>
  void Write(const Name<Tag>& value) {
    packer_.pack(value.str());
  }
  template <class Tag>
  void Write(const Number<Tag>& value) {
    packer_.pack(value.value);
  }
  template <class A, class B>
  void Write(const std::pair<A, B>& value) {
    (*this)(value.first, value.second);
  }
  template <class T>
  void Write(const std::vector<T>& values) {
    WriteArray(values);
  }
  template <class T>
  void Write(const std::set<T>& values) {
    WriteArray(values);
  }
  template <class K, class V>
  void Write(const std::map<K, V>& values) {
    WriteArray(values);
  }
  template <class... T>
  void Write(const std::variant<T...>& value) {
    packer_.pack_array(2);
    packer_.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([this](const auto& alternative) { this->Write(alternative); },
               value);
  }

 private:
  template <class Range>
  void WriteArray(const Range& values) {
    packer_.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& value : values) {
      Write(value);
    }
  }

  msgpack::packer<msgpack::sbuffer> packer_;
};

/// @brief Unpacks what Writer packed.
/// Errors: throws DecodeError or an exception of msgpack if the data has
/// another shape.
/// @note Enum values are not checked against their range.
class Reader {
 public:
  explicit Reader(const msgpack::object& object) : object_(object) {}

  /// @brief Unpacks the fields of one struct.
  template <class... T>
  void operator()(T&... fields) {
    CheckArraySize(object_, sizeof...(T));
    const msgpack::object* next = object_.via.array.ptr;
    (Read(*next++, fields), ...);
  }

  /// @brief Unpacks the fields of one struct, and a last one if it is there.
  template <class Tail, class... T>
  void WithTail(Tail& tail, T&... fields) {
    const bool has_tail = object_.type == msgpack::type::ARRAY &&
                          object_.via.array.size > sizeof...(T);
    if (has_tail) {
      (*this)(fields..., tail);
    } else {
      (*this)(fields...);
    }
  }

  template <class T>
  static void Read(const msgpack::object& object, T& value) {
    if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(object.as<std::int64_t>());
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = object.as<T>();
    } else {
      Reader reader(object);
      VisitFields(value, reader);
    }
  }
  static void Read(const msgpack::object& object, std::string& value) {
    value = object.as<std::string>();
  }
  static void Read(const msgpack::object& object, Duration& value) {
    value = Duration(object.as<Duration::rep>());
  }
  template <class Tag>
  static void Read(const msgpack::object& object, Name<Tag>& value) {
    value = Name<Tag>(object.as<std::string>());
  }
  template <class Tag>
  static void Read(const msgpack::object& object, Number<Tag>& value) {
    value = Number<Tag>{object.as<std::uint64_t>()};
  }
  template <class A, class B>
  static void Read(const msgpack::object& object, std::pair<A, B>& value) {
    Reader reader(object);
    reader(value.first, value.second);
  }
  template <class T>
  static void Read(const msgpack::object& object, std::vector<T>& values) {
    ReadArray<T>(object, [&](T item) { values.push_back(std::move(item)); });
  }
  template <class T>
  static void Read(const msgpack::object& object, std::set<T>& values) {
    ReadArray<T>(object, [&](T item) { values.insert(std::move(item)); });
  }
  template <class K, class V>
  static void Read(const msgpack::object& object, std::map<K, V>& values) {
    ReadArray<std::pair<K, V>>(
        object, [&](std::pair<K, V> item) { values.insert(std::move(item)); });
  }
  template <class... T>
  static void Read(const msgpack::object& object, std::variant<T...>& value) {
    CheckArraySize(object, 2);
    const auto index = object.via.array.ptr[0].as<std::uint32_t>();
    ReadAlternative(object.via.array.ptr[1], index, value,
                    std::index_sequence_for<T...>());
  }

 private:
  static void CheckArraySize(const msgpack::object& object, std::size_t size) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size) {
      throw DecodeError("array of the wrong length, or not an array");
    }
  }
  template <class T, class Fn>
  static void ReadArray(const msgpack::object& object, Fn add) {
    if (object.type != msgpack::type::ARRAY) {
      throw DecodeError("not an array");
    }
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
      T item;
      Read(object.via.array.ptr[i], item);
      add(std::move(item));
    }
  }
  template <class Variant, std::size_t... I>
  static void ReadAlternative(const msgpack::object& object,
                              std::uint32_t index, Variant& value,
                              std::index_sequence<I...>) {
    const bool index_in_range =
        ((index == I ? (Read(object, value.template emplace<I>()), true)
                     : false) ||
         ...);
    if (!index_in_range) {
      throw DecodeError("unknown alternative of a variant");
    }
  }

  const msgpack::object& object_;
};

/// @brief Encodes a value as msgpack.
/// @note A struct needs an overload of VisitFields() in its namespace.
template <class T>
std::string EncodeValue(const T& value) {
  msgpack::sbuffer buffer;
  Writer writer(buffer);
  writer.Write(value);
  return std::string(buffer.data(), buffer.size());
}

/// @brief Decodes a value, with limits against oversized input.
/// @param bytes The encoded value.
/// @param max_items Largest number of items in one array.
/// @param max_bytes Largest string, in bytes.
/// Errors: kMalformedMessage if the bytes are not one value of type T, or are
/// above a limit.
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
      throw DecodeError("unexpected bytes after the value");
    }
    T value;
    Reader::Read(handle.get(), value);
    return value;
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kMalformedMessage,
                     std::string("cannot decode: ") + error.what());
  }
}

}  // namespace rattanward::ledger::detail
