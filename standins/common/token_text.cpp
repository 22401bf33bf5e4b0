/// @file
/// Generates and verifies deterministic tokens.

#include "standins/common/token_text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <xxhash.h>

namespace camphornotch::standin {

namespace {

/// Number of hexadecimal digits of a token derived from prompt and index.
constexpr size_t HashDigits = 4;

/// @return the digits that the token at Index must start with.
std::string hashDigits(PromptHash Hash, int64_t Index) {
  const uint64_t Value = XXH64(&Index, sizeof(Index), Hash.Value);
  return absl::StrFormat("%04x", Value & 0xffffU);
}

/// The parts of one token.
struct ParsedToken {
  /// Whether it has the form of a token.
  bool Valid = false;
  /// The digits derived from prompt and index.
  std::string_view Digits;
  TokenMark Mark;
};

/// Removes the first word from Text.
/// @return the word, without the blank after it.
std::string_view takeWord(std::string_view &Text) {
  const size_t Blank = std::min(Text.find(' '), Text.size());
  const std::string_view Word = Text.substr(0, Blank);
  Text.remove_prefix(std::min(Blank + 1, Text.size()));
  return Word;
}

/// @param Word a token's text without the blank after it.
ParsedToken parseToken(std::string_view Word) {
  ParsedToken Token;
  if (Word.ends_with('!')) {
    Token.Mark.Last = true;
    Word.remove_suffix(1);
  }
  if (const size_t Hash = Word.find('#'); Hash != std::string_view::npos) {
    Token.Mark.Run = Word.substr(Hash + 1);
    Word = Word.substr(0, Hash);
  }
  if (Word.size() < HashDigits + 2 || Word[HashDigits] != '.') {
    return Token;
  }
  Token.Digits = Word.substr(0, HashDigits);
  Token.Valid = absl::SimpleAtoi(std::string(Word.substr(HashDigits + 1)),
                                 &Token.Mark.Version);
  return Token;
}

} // namespace

PromptHash hashPrompt(std::string_view Prompt) {
  return PromptHash{XXH64(Prompt.data(), Prompt.size(), 0)};
}

std::string tokenText(PromptHash Hash, int64_t Index, const TokenMark &Mark) {
  std::string Text = absl::StrCat(hashDigits(Hash, Index), ".", Mark.Version);
  if (Index == 0 && !Mark.Run.empty()) {
    Text += '#';
    Text += Mark.Run;
  }
  if (Mark.Last) {
    Text += '!';
  }
  Text += ' ';
  return Text;
}

VerifiedText verifyText(PromptHash Hash, std::string_view Text) {
  VerifiedText Answer;
  if (!Text.ends_with(' ')) {
    return Answer;
  }
  while (!Text.empty()) {
    const std::string_view Word = takeWord(Text);
    const ParsedToken Token = parseToken(Word);
    if (!Token.Valid || Answer.Complete ||
        Token.Digits != hashDigits(Hash, Answer.Tokens)) {
      return Answer;
    }
    if (Answer.Tokens == 0) {
      Answer.Run = Token.Mark.Run;
    }
    if (Answer.Segments.empty() ||
        Answer.Segments.back().Version != Token.Mark.Version) {
      Answer.Segments.push_back({Answer.Tokens, Token.Mark.Version});
    }
    Answer.Complete = Token.Mark.Last;
    ++Answer.Tokens;
  }
  Answer.Valid = true;
  return Answer;
}

} // namespace camphornotch::standin
