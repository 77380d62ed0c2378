#include "rattanward/adapter/detail/toml_table.h"

#include <algorithm>
#include <sstream>

namespace rattanward::adapter::detail {
namespace {

constexpr std::size_t kMaxShownCharacters = 60;

std::string Shown(const toml::node& node) {
  std::ostringstream out;
  node.visit([&out](const auto& value) { out << value; });
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  if (text.size() > kMaxShownCharacters) {
    text = text.substr(0, kMaxShownCharacters) + "...";
  }
  return text;
}

std::string Words(IntegerRange range) {
  return "a whole number from " + std::to_string(range.min) + " to " +
         std::to_string(range.max);
}

bool IsPrintable(char c) { return static_cast<unsigned char>(c) >= ' '; }

bool Fits(const std::string& text, const TextRule& rule) {
  const auto allows = rule.allows == nullptr ? IsPrintable : rule.allows;
  return text.size() >= rule.min_size && text.size() <= rule.max_size &&
         std::all_of(text.begin(), text.end(), allows);
}

std::string ShownText(const std::string& text, const TextRule& rule) {
  if (rule.secret) {
    return "a text of " + std::to_string(text.size()) + " characters";
  }
  return Shown(toml::value<std::string>(text));
}

}  // namespace

void TomlErrors::Add(ErrorCode code, std::uint32_t line, std::string_view key,
                     std::string_view seen, std::string_view allowed) {
  if (first_) {
    return;
  }
  std::ostringstream text;
  text << file_ << ":" << line << ": " << key << ": saw " << seen
       << "; allowed is " << allowed;
  first_ = MakeError(code, text.str());
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

std::string TomlTable::FullKey(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

std::uint32_t TomlTable::Line(std::string_view key) const {
  const toml::node* node = table_->get(key);
  const std::uint32_t line = node == nullptr ? 0 : node->source().begin.line;
  return line != 0 ? line : std::max(1U, table_->source().begin.line);
}

void TomlTable::Fail(ErrorCode code, std::string_view key,
                     std::string_view seen, std::string_view allowed) {
  errors_->Add(code, Line(key), FullKey(key), seen, allowed);
}

const toml::node* TomlTable::Find(std::string_view key) {
  known_.emplace(key);
  return table_->get(key);
}

const toml::node* TomlTable::Require(std::string_view key,
                                     std::string_view allowed) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    Fail(ErrorCode::kSettingMissing, key, "no such key", allowed);
  }
  return node;
}

std::optional<std::string> TomlTable::CheckText(const toml::node& node,
                                                std::string_view key,
                                                const TextRule& rule) {
  auto text = node.value_exact<std::string>();
  if (!text) {
    const std::string seen =
        rule.secret ? "a value that is no text" : Shown(node);
    Fail(ErrorCode::kSettingType, key, seen, rule.words);
    return std::nullopt;
  }
  if (!Fits(*text, rule)) {
    Fail(ErrorCode::kSettingRange, key, ShownText(*text, rule), rule.words);
    return std::nullopt;
  }
  return text;
}

std::string TomlTable::Text(std::string_view key, const TextRule& rule) {
  const toml::node* node = Require(key, rule.words);
  if (node == nullptr) {
    return {};
  }
  return CheckText(*node, key, rule).value_or(std::string());
}

std::string TomlTable::TextOr(std::string_view key, const TextRule& rule,
                              std::string fallback) {
  return Find(key) == nullptr ? std::move(fallback) : Text(key, rule);
}

std::int64_t TomlTable::Integer(std::string_view key, IntegerRange range) {
  const toml::node* node = Require(key, Words(range));
  if (node == nullptr) {
    return range.min;
  }
  const auto number = node->value_exact<std::int64_t>();
  if (!number) {
    Fail(ErrorCode::kSettingType, key, Shown(*node), Words(range));
    return range.min;
  }
  if (*number < range.min || *number > range.max) {
    Fail(ErrorCode::kSettingRange, key, Shown(*node), Words(range));
    return range.min;
  }
  return *number;
}

std::int64_t TomlTable::IntegerOr(std::string_view key, IntegerRange range,
                                  std::int64_t fallback) {
  return Find(key) == nullptr ? fallback : Integer(key, range);
}

Duration TomlTable::Milliseconds(std::string_view key, IntegerRange range) {
  return std::chrono::milliseconds(Integer(key, range));
}

bool TomlTable::BoolOr(std::string_view key, bool fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto flag = node->value_exact<bool>();
  if (!flag) {
    Fail(ErrorCode::kSettingType, key, Shown(*node), "true or false");
  }
  return flag.value_or(fallback);
}

std::vector<std::string> TomlTable::TextList(std::string_view key,
                                             const TextRule& rule) {
  std::vector<std::string> texts;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return texts;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Fail(ErrorCode::kSettingType, key, Shown(*node),
         "a list; each item " + std::string(rule.words));
    return texts;
  }
  for (const toml::node& item : *array) {
    if (auto text = CheckText(item, key, rule)) {
      texts.push_back(*std::move(text));
    }
  }
  return texts;
}

std::vector<TomlTable> TomlTable::Tables(std::string_view key) {
  std::vector<TomlTable> tables;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return tables;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_homogeneous(toml::node_type::table)) {
    Fail(ErrorCode::kSettingType, key, Shown(*node),
         "tables, each under [[" + FullKey(key) + "]]");
    return tables;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    tables.emplace_back(*array->get(i)->as_table(),
                        FullKey(key) + "[" + std::to_string(i) + "]", *errors_);
  }
  return tables;
}

std::optional<TomlTable> TomlTable::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->is_table()) {
    Fail(ErrorCode::kSettingType, key, Shown(*node), "a table");
    return std::nullopt;
  }
  return TomlTable(*node->as_table(), FullKey(key), *errors_);
}

void TomlTable::RejectUnknown() {
  std::string allowed;
  for (const std::string& key : known_) {
    allowed += (allowed.empty() ? "" : ", ") + key;
  }
  for (const auto& [key, node] : *table_) {
    if (known_.find(key.str()) == known_.end()) {
      Fail(ErrorCode::kUnknownSetting, key.str(), "an unknown key",
           "one of: " + allowed);
    }
  }
}

Result<toml::table> ParseToml(std::string_view text,
                              std::string_view file_name) {
  try {
    return toml::parse(text, file_name);
  } catch (const toml::parse_error& e) {
    std::ostringstream message;
    message << file_name << ":" << e.source().begin.line << ": "
            << e.description() << "; allowed is TOML 1.0";
    return MakeError(ErrorCode::kSettingsSyntax, message.str());
  }
}

}  // namespace rattanward::adapter::detail
