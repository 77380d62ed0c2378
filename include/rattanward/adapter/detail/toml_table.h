#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::adapter::detail {

/// @brief Keeps the first error found in one TOML file.
class TomlErrors {
 public:
  explicit TomlErrors(std::string file) : file_(std::move(file)) {}

  /// @brief Notes an error unless there was one before.
  /// @param code The error's stable number.
  /// @param line Line of the file.
  /// @param key Full key, such as classes[1].tier.
  /// @param seen What stands there.
  /// @param allowed What may stand there.
  void Add(ErrorCode code, std::uint32_t line, std::string_view key,
           std::string_view seen, std::string_view allowed);

  /// @brief The first error noted, if any.
  const std::optional<Error>& first() const { return first_; }

 private:
  std::string file_;
  std::optional<Error> first_;
};

/// @brief Whole numbers from min to max.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::uint32_t>::max();
};

/// @brief Which texts a key takes.
struct TextRule {
  std::size_t min_size = 1;
  std::size_t max_size = 64;
  /// Tells whether a character may occur; null allows each printable one.
  bool (*allows)(char) = nullptr;
  /// The rule in words, for errors.
  std::string_view words = "a text of 1 to 64 characters";
  /// The value is never repeated in an error.
  bool secret = false;
};

/// @brief Checked reading of one TOML table.
/// @note A reader returns a default after an error; the caller looks at
/// TomlErrors once, at the end.
class TomlTable {
 public:
  TomlTable(const toml::table& table, std::string path, TomlErrors& errors)
      : table_(&table), path_(std::move(path)), errors_(&errors) {}

  bool Has(std::string_view key) const { return table_->contains(key); }

  /// @brief Reads a required text.
  std::string Text(std::string_view key, const TextRule& rule);
  /// @brief Reads a text that may be missing.
  std::string TextOr(std::string_view key, const TextRule& rule,
                     std::string fallback);
  /// @brief Reads a required whole number.
  std::int64_t Integer(std::string_view key, IntegerRange range);
  /// @brief Reads a whole number that may be missing.
  std::int64_t IntegerOr(std::string_view key, IntegerRange range,
                         std::int64_t fallback);
  /// @brief Reads a required duration in milliseconds.
  Duration Milliseconds(std::string_view key, IntegerRange range);
  /// @brief Reads true or false.
  bool BoolOr(std::string_view key, bool fallback);
  /// @brief Reads a list of texts; a missing key is an empty list.
  std::vector<std::string> TextList(std::string_view key, const TextRule& rule);
  /// @brief Reads an array of tables; a missing key is an empty array.
  std::vector<TomlTable> Tables(std::string_view key);
  /// @brief Reads a table that may be missing.
  std::optional<TomlTable> Table(std::string_view key);

  /// @brief Notes an error at each key that no reader has asked for.
  void RejectUnknown();

  /// @brief Notes an error at a key of this table.
  void Fail(ErrorCode code, std::string_view key, std::string_view seen,
            std::string_view allowed);

 private:
  const toml::node* Find(std::string_view key);
  const toml::node* Require(std::string_view key, std::string_view allowed);
  std::string FullKey(std::string_view key) const;
  std::uint32_t Line(std::string_view key) const;
  std::optional<std::string> CheckText(const toml::node& node,
                                       std::string_view key,
                                       const TextRule& rule);

  const toml::table* table_;
  std::string path_;
  TomlErrors* errors_;
  std::set<std::string, std::less<>> known_;
};

/// @brief Parses TOML text.
/// @param text The text.
/// @param file_name Name that errors give.
/// @return The root table.
/// Errors: kSettingsSyntax.
Result<toml::table> ParseToml(std::string_view text,
                              std::string_view file_name);

/// @brief Whether a character may stand in a name: letters, digits, "._-".
bool IsNameCharacter(char c);

/// @brief Rule of names of classes, accounts, services, processes and VMs.
inline constexpr TextRule kNameRule{
    1, 64, IsNameCharacter, "1 to 64 letters, digits, dots, dashes or '_'",
    false};

}  // namespace rattanward::adapter::detail
