#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/result.h"

namespace rattanward {

/// @brief A part of a text: bytes of its own, or bytes of another text.
struct TextPart {
  /// Where the copied bytes begin in the other text.
  std::uint32_t from = 0;
  /// Number of copied bytes; 0 if the part is `own`.
  std::uint32_t copied = 0;
  std::string own;

  friend bool operator==(const TextPart&, const TextPart&) = default;
};

/// @brief How a text is made from another one.
struct TextDifference {
  std::vector<TextPart> parts;
  /// Hash of the text that is made.
  std::uint64_t hash = 0;

  friend bool operator==(const TextDifference&,
                         const TextDifference&) = default;
};

/// @brief Finds how a text is made from another one.
/// @param base The text that the receiver holds.
/// @param text The text to be made.
/// @return Parts of `base` and what is new. Texts are compared by pieces that
/// end with a closing brace or a line, so a change costs about its own size
/// wherever it is, in a text of many small objects.
/// Complexity: linear in the size of both on average.
TextDifference DifferenceOf(std::string_view base, std::string_view text);

/// @brief Makes a text from another one.
/// @param base The text that DifferenceOf was given.
/// @return The text.
/// Errors: kMalformedMessage if `base` is another text.
/// Complexity: linear in the size of the result.
Result<std::string> Apply(const TextDifference& difference,
                          std::string_view base);

}  // namespace rattanward
