#include "rattanward/domain/text_difference.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>

namespace rattanward {
namespace {

/// Longest piece of a text without a brace or a line's end.
constexpr std::size_t kMaxPieceBytes = 512;

std::uint64_t HashOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

/// The piece that a text begins with.
std::string_view FirstPiece(std::string_view text) {
  const std::size_t end = text.find_first_of("}\n");
  const std::size_t length =
      end == std::string_view::npos ? text.size() : end + 1;
  return text.substr(0, std::min(length, kMaxPieceBytes));
}

/// Where each piece of a text begins, by its hash.
std::unordered_map<std::uint64_t, std::size_t> PiecesOf(std::string_view text) {
  std::unordered_map<std::uint64_t, std::size_t> places;
  for (std::size_t at = 0; at < text.size();) {
    const std::string_view piece = FirstPiece(text.substr(at));
    places.emplace(HashOf(piece), at);
    at += piece.size();
  }
  return places;
}

/// Whether the base goes on with a piece where the last part ends.
bool GoesOn(const TextDifference& difference, std::string_view base,
            std::string_view piece) {
  if (difference.parts.empty() || difference.parts.back().copied == 0) {
    return false;
  }
  const TextPart& last = difference.parts.back();
  return base.substr(last.from + last.copied, piece.size()) == piece;
}

void AddCopy(std::size_t from, std::size_t length, TextDifference* difference) {
  difference->parts.push_back({static_cast<std::uint32_t>(from),
                               static_cast<std::uint32_t>(length),
                               std::string()});
}

void AddOwn(std::string_view bytes, TextDifference* difference) {
  if (difference->parts.empty() || difference->parts.back().copied > 0) {
    difference->parts.emplace_back();
  }
  difference->parts.back().own += bytes;
}

}  // namespace

TextDifference DifferenceOf(std::string_view base, std::string_view text) {
  const auto places = PiecesOf(base);
  TextDifference difference;
  difference.hash = HashOf(text);
  for (std::size_t at = 0; at < text.size();) {
    const std::string_view piece = FirstPiece(text.substr(at));
    const auto place = places.find(HashOf(piece));
    if (GoesOn(difference, base, piece)) {
      difference.parts.back().copied +=
          static_cast<std::uint32_t>(piece.size());
    } else if (place != places.end() &&
               base.substr(place->second, piece.size()) == piece) {
      AddCopy(place->second, piece.size(), &difference);
    } else {
      AddOwn(piece, &difference);
    }
    at += piece.size();
  }
  return difference;
}

Result<std::string> Apply(const TextDifference& difference,
                          std::string_view base) {
  std::string text;
  for (const TextPart& part : difference.parts) {
    if (part.copied == 0) {
      text += part.own;
    } else if (part.from <= base.size()) {
      text += base.substr(part.from, part.copied);
    }
  }
  if (HashOf(text) != difference.hash) {
    return MakeError(ErrorCode::kMalformedMessage,
                     "the difference is not one from the text held");
  }
  return text;
}

}  // namespace rattanward
