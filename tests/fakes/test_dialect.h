#pragma once

#include <string>

#include "rattanward/proxy/dialect.h"

namespace rattanward::fakes {

/// @brief Short field names, as no platform has them.
class TestDialect : public proxy::Dialect {
 public:
  proxy::RequestTraits Read(const http::RequestHead& head) const override {
    proxy::RequestTraits traits;
    if (const std::string* id = head.fields.Find("id")) {
      traits.attempt = AttemptId(*id);
    }
    if (const std::string* key = head.fields.Find("key")) {
      traits.key = *key;
    }
    if (const std::string* wait = head.fields.Find("wait-ms")) {
      traits.deadline = std::chrono::milliseconds(std::stol(*wait));
    }
    return traits;
  }

  http::RequestHead ForUpstream(const http::RequestHead& head,
                                const proxy::UpstreamOrder& order,
                                std::size_t body_bytes) const override {
    http::RequestHead out = head;
    out.fields = http::EndToEndFields(head.fields);
    out.fields.Remove("key");
    out.fields.Set("account", order.account.str());
    out.fields.Set("expected", order.expected.str());
    if (!order.last_event_id.empty()) {
      out.fields.Set("after", order.last_event_id);
    }
    if (body_bytes > 0) {
      out.fields.Set("Content-Length", std::to_string(body_bytes));
    }
    return out;
  }

  proxy::AnswerTraits ReadAnswer(const http::ResponseHead& head,
                                 const AttemptId& attempt) const override {
    const std::string* id = head.fields.Find("id");
    return {id == nullptr || *id == attempt.str(),
            head.fields.Find("signed") != nullptr,
            head.fields.Find("not-run") != nullptr};
  }
};

}  // namespace rattanward::fakes
