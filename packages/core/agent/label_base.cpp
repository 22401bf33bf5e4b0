/// @file
/// Tracks which weight versions produced the tokens of one attempt.

#include "core/agent/label_base.h"

namespace camphornotch {

LabelTracker::LabelTracker(std::span<const wire::LabelSegment> Kept,
                           int64_t KeptTokens)
    : Segments(Kept.begin(), Kept.end()), Tokens(KeptTokens) {
  // Kept tokens whose versions nobody recorded cannot be labelled any more.
  const bool FirstNamed =
      !this->Segments.empty() && this->Segments.front().FirstToken == 0;
  this->Known = KeptTokens == 0 || FirstNamed;
}

void LabelTracker::add(int64_t Tokens, WeightVersion Version, bool InDoubt) {
  if (Tokens <= 0)
    return;
  const bool Reported = Version.Value >= 0;
  if (InDoubt || !Reported)
    this->Known = false;
  const bool Changed =
      this->Segments.empty() || this->Segments.back().Version != Version.Value;
  if (Reported && Changed) {
    wire::LabelSegment Segment;
    Segment.FirstToken = this->Tokens;
    Segment.Version = Version.Value;
    this->Segments.push_back(Segment);
  }
  this->Tokens += Tokens;
}

} // namespace camphornotch
