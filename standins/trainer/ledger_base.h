/// @file
/// Tracks which samples a trainer submitted and received, and checks them.

#ifndef CAMPHORNOTCH_STANDINS_TRAINER_LEDGER_BASE_H
#define CAMPHORNOTCH_STANDINS_TRAINER_LEDGER_BASE_H

#include "standins/common/token_text.h"

#include <compare>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace camphornotch::standin {

/// Identifies a submitted sample.
struct SampleKey {
  int64_t Step = 0;
  std::string Group;
  /// Index in the group.
  int64_t Index = 0;

  auto operator<=>(const SampleKey &) const = default;
};

/// Counts of samples and of faults in them.
struct LedgerCounts {
  /// Submitted samples.
  int64_t Submitted = 0;
  /// Samples received for the first time.
  int64_t Delivered = 0;
  /// Samples received again, or made by a run that was received before.
  int64_t Duplicated = 0;
  /// Samples that were never submitted.
  int64_t Unknown = 0;
  /// Samples whose label differs from the versions in their text.
  int64_t Mislabelled = 0;
  /// Samples whose text is incomplete or belongs to another prompt.
  int64_t Incomplete = 0;
  /// Samples older than the maximum age.
  int64_t TooOld = 0;
  /// Samples with a failure instead of text.
  int64_t Failed = 0;
  /// Samples with a wrong or missing score.
  int64_t BadScore = 0;
};

/// Checks that each submitted sample arrives exactly once and is correct.
class Ledger {
public:
  /// @param MaxAge most versions that a sample may be behind the trainer.
  /// @param ScoreRequired whether each sample must have a score.
  Ledger(int64_t MaxAge, bool ScoreRequired)
      : MaxAge(MaxAge), ScoreRequired(ScoreRequired) {}

  /// Records the samples of a submitted group as missing.
  /// @param Samples the number of samples.
  void expectSamples(int64_t Step, const std::string &Group,
                     const std::string &Prompt, int64_t Samples);

  /// Checks and counts a received sample.
  /// @param Version the version that the trainer sent with the pull.
  void receive(const nlohmann::json &Sample, int64_t Version);

  /// @return the number of missing samples of a step.
  [[nodiscard]] int64_t missing(int64_t Step) const;

  [[nodiscard]] const LedgerCounts &counts() const { return this->Counts; }

  /// @return counts, ages, faults and received samples as JSON.
  [[nodiscard]] nlohmann::json toJson() const;

private:
  /// Checks the text, label, age and, if required, score of a sample.
  void verify(const nlohmann::json &Sample, const std::string &Prompt,
              int64_t Version);
  /// Checks the score of a sample, which the scorer derives from the hash of
  /// prompt and text.
  void verifyScore(const nlohmann::json &Sample, const std::string &Prompt);

  /// Most versions that a sample may be behind the trainer.
  int64_t MaxAge;
  bool ScoreRequired;
  /// By step and group.
  std::map<std::pair<int64_t, std::string>, std::string> Prompts;
  /// Submitted samples that were not received.
  std::set<SampleKey> Missing;
  std::set<SampleKey> Received;
  /// Runs that received samples came from.
  std::set<std::string> Runs;
  /// Number of samples of each age.
  std::map<int64_t, int64_t> Ages;
  /// All faults, each with its sample.
  nlohmann::json Faults = nlohmann::json::array();
  /// Received samples with complete text, to compare with the engines' records.
  nlohmann::json Samples = nlohmann::json::array();
  LedgerCounts Counts;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_TRAINER_LEDGER_BASE_H
