/// @file
/// Deterministic tokens: whoever knows the prompt can verify a whole answer
/// and read from its text which weight version made which token.

#ifndef CAMPHORNOTCH_STANDINS_COMMON_TOKEN_TEXT_H
#define CAMPHORNOTCH_STANDINS_COMMON_TOKEN_TEXT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch::standin {

/// Hash of a prompt, from which each of its tokens is derived.
struct PromptHash {
  /// The hash.
  uint64_t Value = 0;
};

/// A run of tokens made by one weight version.
struct TokenSegment {
  /// Index of the first token.
  int64_t FirstToken = 0;
  /// The version that made it and those up to the next segment.
  int64_t Version = 0;

  /// Compares index and version.
  bool operator==(const TokenSegment &) const = default;
};

/// What one token says beyond its prompt and index.
struct TokenMark {
  /// The version that made it.
  int64_t Version = 0;
  /// Whether it is the last one of its completion.
  bool Last = false;
  /// Name of the run; only the first token of a completion carries it.
  std::string_view Run;
};

/// What an answer's text turned out to be.
struct VerifiedText {
  /// Each token belongs to the prompt and stands at its own index.
  bool Valid = false;
  /// The last token carries the end mark, so nothing was cut off.
  bool Whole = false;
  /// Number of tokens.
  int64_t Tokens = 0;
  /// Which version made which tokens.
  std::vector<TokenSegment> Segments;
  /// Name of the run that made the first token.
  std::string Run;
};

/// @param Prompt a prompt.
/// @return its hash.
PromptHash hashPrompt(std::string_view Prompt);

/// @param Hash the prompt's hash.
/// @param Index the token's index in the completion.
/// @param Mark what else the token says.
/// @return the token's text, which ends with a blank.
std::string tokenText(PromptHash Hash, int64_t Index, const TokenMark &Mark);

/// @param Hash the prompt's hash.
/// @param Text a completion's text.
/// @return what it consists of.
VerifiedText verifyText(PromptHash Hash, std::string_view Text);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_TOKEN_TEXT_H
