#pragma once

#include <msgpack.hpp>

#include "rattanward/domain/ids.h"

/// How msgpack carries the domain's names, numbers and endpoints.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Tag>
  struct pack<rattanward::Name<Tag>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const rattanward::Name<Tag>& name) const {
      return out.pack(name.str());
    }
  };

  template <class Tag>
  struct convert<rattanward::Name<Tag>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      rattanward::Name<Tag>& name) const {
      name = rattanward::Name<Tag>(in.as<std::string>());
      return in;
    }
  };

  template <class Tag>
  struct pack<rattanward::Number<Tag>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const rattanward::Number<Tag>& number) const {
      return out.pack(number.value);
    }
  };

  template <class Tag>
  struct convert<rattanward::Number<Tag>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      rattanward::Number<Tag>& number) const {
      number.value = in.as<std::uint64_t>();
      return in;
    }
  };

  template <>
  struct pack<rattanward::Endpoint> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const rattanward::Endpoint& endpoint) const {
      out.pack_array(2);
      out.pack(endpoint.address);
      return out.pack(endpoint.port);
    }
  };

  template <>
  struct convert<rattanward::Endpoint> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      rattanward::Endpoint& endpoint) const {
      if (in.type != type::ARRAY || in.via.array.size != 2) {
        throw type_error();
      }
      endpoint.address = in.via.array.ptr[0].as<std::string>();
      endpoint.port = in.via.array.ptr[1].as<std::uint16_t>();
      return in;
    }
  };

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
}  // namespace msgpack
