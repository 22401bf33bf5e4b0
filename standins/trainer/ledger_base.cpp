/// @file
/// Checks received samples against the submissions and their own text.

#include "standins/trainer/ledger_base.h"
#include "standins/common/json_func.h"

#include <algorithm>
#include <cmath>

namespace camphornotch::standin {

namespace {

/// Most faults that the record contains; the counts include the rest.
constexpr size_t MaxFaultsShown = 20;

/// Largest difference at which two scores count as equal.
constexpr double ScoreTolerance = 1e-6;

/// @return the segments of a label, with neighbours of the same version merged.
std::vector<TokenSegment> parseSegments(const nlohmann::json &List) {
  std::vector<TokenSegment> Segments;
  for (const nlohmann::json &Item : List) {
    const TokenSegment Segment{intOf(Item, "first_token", -1),
                               intOf(Item, "version", -1)};
    if (Segments.empty() || Segments.back().Version != Segment.Version) {
      Segments.push_back(Segment);
    }
  }
  return Segments;
}

/// @return the oldest version of the segments.
int64_t oldestVersion(const std::vector<TokenSegment> &Segments) {
  int64_t Oldest = INT64_MAX;
  for (const TokenSegment &Segment : Segments) {
    Oldest = std::min(Oldest, Segment.Version);
  }
  return Oldest;
}

} // namespace

void Ledger::expectSamples(int64_t Step, const std::string &Group,
                           const std::string &Prompt, int64_t Samples) {
  this->Prompts[{Step, Group}] = Prompt;
  for (int64_t Index = 0; Index < Samples; ++Index) {
    this->Missing.insert({Step, Group, Index});
  }
  this->Counts.Submitted += Samples;
}

void Ledger::receive(const nlohmann::json &Sample, int64_t Version) {
  const SampleKey Key{intOf(Sample, "step", -1), textOf(Sample, "group"),
                      intOf(Sample, "index", -1)};
  if (this->Received.contains(Key)) {
    ++this->Counts.Duplicated;
    this->Faults.push_back({{"fault", "duplicated"}, {"sample", Sample}});
    return;
  }
  if (this->Missing.erase(Key) == 0) {
    ++this->Counts.Unknown;
    this->Faults.push_back({{"fault", "unknown"}, {"sample", Sample}});
    return;
  }
  this->Received.insert(Key);
  ++this->Counts.Delivered;
  if (!textOf(Sample, "failure").empty()) {
    ++this->Counts.Failed;
    return;
  }
  this->verify(Sample, this->Prompts[{Key.Step, Key.Group}], Version);
}

void Ledger::verify(const nlohmann::json &Sample, const std::string &Prompt,
                    int64_t Version) {
  const VerifiedText Text =
      verifyText(hashPrompt(Prompt), textOf(Sample, "text"));
  if (!Text.Valid || !Text.Complete || Text.Tokens != intOf(Sample, "tokens")) {
    ++this->Counts.Incomplete;
    this->Faults.push_back({{"fault", "cut"}, {"sample", Sample}});
    return;
  }
  if (parseSegments(arrayOf(Sample, "segments")) != Text.Segments) {
    ++this->Counts.Mislabelled;
    this->Faults.push_back({{"fault", "mislabelled"}, {"sample", Sample}});
  }
  if (!this->Runs.insert(Text.Run).second) {
    ++this->Counts.Duplicated;
    this->Faults.push_back({{"fault", "run used twice"}, {"sample", Sample}});
  }
  const int64_t Age = Version - oldestVersion(Text.Segments);
  ++this->Ages[std::max<int64_t>(Age, 0)];
  if (Age > this->MaxAge) {
    ++this->Counts.TooOld;
    this->Faults.push_back({{"fault", "overage"}, {"sample", Sample}});
  }
  if (this->ScoreRequired) {
    this->verifyScore(Sample, Prompt);
  }
  this->Samples.push_back(
      {{"step", Sample["step"]}, {"run", Text.Run}, {"tokens", Text.Tokens}});
}

void Ledger::verifyScore(const nlohmann::json &Sample,
                         const std::string &Prompt) {
  const uint64_t Hash = hashPrompt(Prompt + textOf(Sample, "text")).Value;
  const double Expected = static_cast<double>(Hash % 1000) / 1000.0;
  if (std::abs(numberOf(Sample, "score", -1) - Expected) > ScoreTolerance) {
    ++this->Counts.BadScore;
    this->Faults.push_back({{"fault", "bad score"}, {"sample", Sample}});
  }
}

int64_t Ledger::missing(int64_t Step) const {
  const auto Begin = this->Missing.lower_bound({Step, "", 0});
  const auto End = this->Missing.lower_bound({Step + 1, "", 0});
  return std::distance(Begin, End);
}

nlohmann::json Ledger::toJson() const {
  nlohmann::json Ages = nlohmann::json::object();
  for (const auto &[Age, Count] : this->Ages) {
    Ages[std::to_string(Age)] = Count;
  }
  nlohmann::json Shown = nlohmann::json::array();
  for (size_t Index = 0; Index < std::min(this->Faults.size(), MaxFaultsShown);
       ++Index) {
    Shown.push_back(this->Faults[Index]);
  }
  const LedgerCounts &Counts = this->Counts;
  return {{"submitted", Counts.Submitted},
          {"delivered", Counts.Delivered},
          {"duplicated", Counts.Duplicated},
          {"unknown", Counts.Unknown},
          {"mislabelled", Counts.Mislabelled},
          {"cut", Counts.Incomplete},
          {"overage", Counts.TooOld},
          {"failed", Counts.Failed},
          {"bad_score", Counts.BadScore},
          {"ages", Ages},
          {"faults", Shown},
          {"samples", this->Samples}};
}

} // namespace camphornotch::standin
