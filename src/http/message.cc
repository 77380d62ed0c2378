#include "rattanward/http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace rattanward::http {
namespace {

/// Fields that concern a single connection. Content-Length is included because
/// the body is framed anew on each connection.
constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "connection",       "keep-alive",
    "proxy-connection", "te",
    "trailer",          "transfer-encoding",
    "upgrade",          "proxy-authenticate",
    "content-length"};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// A non-negative decimal number without sign or exponent.
std::optional<double> ParseDecimal(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  const char* const end = trimmed.data() + trimmed.size();
  double number = 0;
  const auto parsed =
      std::from_chars(trimmed.data(), end, number, std::chars_format::fixed);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     std::isfinite(number) && number >= 0;
  return valid ? std::optional(number) : std::nullopt;
}

void AppendFields(const Fields& fields, std::string* out) {
  for (const Field& field : fields.all()) {
    *out += field.name;
    *out += ": ";
    *out += field.value;
    *out += "\r\n";
  }
  *out += "\r\n";
}

bool IsHopByHop(const Fields& fields, const std::string& name) {
  return std::any_of(
             kHopByHopFields.begin(), kHopByHopFields.end(),
             [&](std::string_view n) { return EqualsIgnoreCase(n, name); }) ||
         fields.HasToken("connection", name);
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

void Fields::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void Fields::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void Fields::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const Field& f) {
    return EqualsIgnoreCase(f.name, name);
  });
}

const std::string* Fields::Find(std::string_view name) const {
  const auto found = std::find_if(
      fields_.begin(), fields_.end(),
      [name](const Field& f) { return EqualsIgnoreCase(f.name, name); });
  return found == fields_.end() ? nullptr : &found->value;
}

bool Fields::HasToken(std::string_view name, std::string_view token) const {
  for (const Field& field : fields_) {
    if (!EqualsIgnoreCase(field.name, name)) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      if (EqualsIgnoreCase(Trim(rest.substr(0, comma)), token)) {
        return true;
      }
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  return false;
}

Fields EndToEndFields(const Fields& fields) {
  Fields kept;
  for (const Field& field : fields.all()) {
    if (!IsHopByHop(fields, field.name)) {
      kept.Add(field.name, field.value);
    }
  }
  return kept;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string Serialize(const RequestHead& head) {
  std::string out = head.method + ' ' + head.target + " HTTP/1.1\r\n";
  AppendFields(head.fields, &out);
  return out;
}

std::string Serialize(const ResponseHead& head) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ';
  out += head.reason.empty() ? ReasonPhrase(head.status) : head.reason;
  out += "\r\n";
  AppendFields(head.fields, &out);
  return out;
}

std::string EncodeChunk(std::string_view piece) {
  if (piece.empty()) {
    return std::string();
  }
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string out(size.data());
  out += piece;
  out += "\r\n";
  return out;
}

Duration ParseRetryAfter(std::string_view text) {
  constexpr Duration kUnreadable = std::chrono::seconds(1);
  constexpr std::chrono::duration<double> kLongest = std::chrono::hours(24);
  const std::optional<double> count = ParseDecimal(text);
  if (!count) {
    return kUnreadable;
  }
  return std::chrono::duration_cast<Duration>(
      std::min(std::chrono::duration<double>(*count), kLongest));
}

std::optional<RequestRate> ParseRequestRate(std::string_view text) {
  constexpr double kHighest = 1e9;
  const std::optional<double> count = ParseDecimal(text);
  if (!count) {
    return std::nullopt;
  }
  return RequestRate{static_cast<std::uint64_t>(
      std::ceil(std::min(*count, kHighest) * RequestRate::kMilliPerRequest))};
}

}  // namespace rattanward::http
