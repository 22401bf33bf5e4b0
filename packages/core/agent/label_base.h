/// @file
/// Tracks which weight versions produced the tokens of one attempt.

#ifndef CAMPHORNOTCH_CORE_AGENT_LABEL_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_LABEL_BASE_H

#include "base/id_type.h"
#include "camphornotch_types.h"

#include <cstdint>
#include <span>
#include <vector>

namespace camphornotch {

/// The versions behind an output, from what the endpoint itself reports with
/// each part. Tokens kept from earlier attempts count too.
class LabelTracker {
public:
  LabelTracker() = default;

  /// @param Kept segments of the output kept from earlier attempts.
  /// @param KeptTokens length of that output.
  LabelTracker(std::span<const wire::LabelSegment> Kept, int64_t KeptTokens);

  /// Adds tokens.
  /// @param Tokens how many.
  /// @param Version the version that the endpoint says made them; negative:
  ///        it did not say.
  /// @param InDoubt whether a swap order is unanswered, so that the report
  ///        cannot be relied on.
  void add(int64_t Tokens, WeightVersion Version, bool InDoubt);

  /// @return whether every token's version is known.
  [[nodiscard]] bool known() const { return this->Known; }

  /// @return tokens so far, kept ones included.
  [[nodiscard]] int64_t tokens() const { return this->Tokens; }

  /// @return the versions, each from its first token on.
  [[nodiscard]] const std::vector<wire::LabelSegment> &segments() const {
    return this->Segments;
  }

private:
  /// The versions so far.
  std::vector<wire::LabelSegment> Segments;
  /// Tokens so far.
  int64_t Tokens = 0;
  /// Whether every token's version is known.
  bool Known = true;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_LABEL_BASE_H
