/// @file
/// What a trainer submitted and received, and whether each sample is right.

#ifndef CAMPHORNOTCH_STANDINS_TRAINER_LEDGER_BASE_H
#define CAMPHORNOTCH_STANDINS_TRAINER_LEDGER_BASE_H

#include "standins/common/token_text.h"

#include <compare>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace camphornotch::standin {

/// One sample wanted.
struct Slot {
  /// The step.
  int64_t Step = 0;
  /// The group's name.
  std::string Group;
  /// The sample's index in its group.
  int64_t Index = 0;

  /// Orders by step, group, index.
  auto operator<=>(const Slot &) const = default;
};

/// Counts of what went right and wrong.
struct LedgerCounts {
  /// Samples wanted.
  int64_t Submitted = 0;
  /// Samples received for the first time.
  int64_t Delivered = 0;
  /// Samples received again, or made by a run that was received before.
  int64_t Duplicated = 0;
  /// Samples that were never wanted.
  int64_t Unknown = 0;
  /// Samples whose label differs from what their text says.
  int64_t Mislabelled = 0;
  /// Samples whose text is not whole or belongs to another prompt.
  int64_t Cut = 0;
  /// Samples over the age bound.
  int64_t Overage = 0;
  /// Samples that came with a failure in place of text.
  int64_t Failed = 0;
  /// Samples with a wrong or missing score.
  int64_t BadScore = 0;
};

/// The trainer's account of its samples.
class Ledger {
public:
  /// @param AgeBound the most versions that a sample may be behind.
  /// @param Scored whether each sample must carry a score.
  Ledger(int64_t AgeBound, bool Scored) : AgeBound(AgeBound), Scored(Scored) {}

  /// Notes samples as wanted.
  /// @param Step the step.
  /// @param Group the group's name.
  /// @param Prompt the group's prompt.
  /// @param Samples their number.
  void want(int64_t Step, const std::string &Group, const std::string &Prompt,
            int64_t Samples);

  /// Checks and counts a received sample.
  /// @param Sample the sample.
  /// @param Version the version that the trainer has reached.
  void receive(const nlohmann::json &Sample, int64_t Version);

  /// @param Step a step.
  /// @return samples of it that are missing.
  [[nodiscard]] int64_t missing(int64_t Step) const;

  /// @return the counts.
  [[nodiscard]] const LedgerCounts &counts() const { return this->Counts; }

  /// @return counts, ages and received samples as JSON.
  [[nodiscard]] nlohmann::json toJson() const;

private:
  /// Checks the text and label of a sample.
  /// @param Sample the sample.
  /// @param Prompt its prompt.
  /// @param Version the version that the trainer has reached.
  void verify(const nlohmann::json &Sample, const std::string &Prompt,
              int64_t Version);
  /// Checks the score of a sample.
  /// @param Sample the sample.
  /// @param Prompt its prompt.
  void verifyScore(const nlohmann::json &Sample, const std::string &Prompt);

  /// The most versions that a sample may be behind.
  int64_t AgeBound;
  /// Whether each sample must carry a score.
  bool Scored;
  /// Prompt of each group, by step and group.
  std::map<std::pair<int64_t, std::string>, std::string> Prompts;
  /// Samples wanted and not received.
  std::set<Slot> Missing;
  /// Samples received.
  std::set<Slot> Received;
  /// Runs that received samples came from.
  std::set<std::string> Runs;
  /// Number of samples of each age.
  std::map<int64_t, int64_t> Ages;
  /// The first faults seen, for a reader.
  nlohmann::json Faults = nlohmann::json::array();
  /// Received samples, for a check against the engines' records.
  nlohmann::json Samples = nlohmann::json::array();
  /// The counts.
  LedgerCounts Counts;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_TRAINER_LEDGER_BASE_H
