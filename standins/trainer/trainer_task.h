/// @file
/// A trainer: submits steps, pulls samples, trains, announces weights.

#ifndef CAMPHORNOTCH_STANDINS_TRAINER_TRAINER_TASK_H
#define CAMPHORNOTCH_STANDINS_TRAINER_TRAINER_TASK_H

#include "standins/common/entry_caller.h"
#include "standins/common/standin_server.h"
#include "standins/trainer/ledger_base.h"

namespace camphornotch::standin {

/// What a trainer does.
struct TrainerSettings {
  /// Its name.
  std::string Name;
  /// The model that it samples from.
  std::string Model;
  /// Steps; none are submitted beyond them.
  int64_t Steps = 3;
  /// Groups a step.
  int64_t Groups = 8;
  /// Samples a group.
  int64_t Samples = 4;
  /// Most tokens of a sample.
  int64_t MaxTokens = 256;
  /// Usual tokens of a sample.
  int64_t UsualTokens = 64;
  /// In a thousand: groups with ten times the usual tokens.
  int64_t LongGroups = 0;
  /// Bytes of a prompt.
  int64_t PromptBytes = 200;
  /// Service that scores; may be empty.
  std::string Scorer;
  /// The most versions that a sample may be behind.
  int64_t AgeBound = 4;
  /// Time to train on a whole step.
  Millis TrainTime{300};
  /// Steps submitted before the one trained on is whole.
  int64_t Ahead = 1;
  /// Whether new weights are announced after each step.
  bool Announces = false;
  /// Where the weight store is.
  HttpTarget Store;
  /// The port for control.
  uint16_t Port = 0;
};

/// The trainer.
class TrainerTask {
public:
  /// @param Events the loop to run on.
  /// @param Http sends calls to the store.
  /// @param Entries sends calls to the entries.
  /// @param Given the settings.
  TrainerTask(Loop &Events, HttpClient &Http, EntryCaller &Entries,
              TrainerSettings Given);
  TrainerTask(const TrainerTask &) = delete;
  TrainerTask &operator=(const TrainerTask &) = delete;

private:
  /// Submits the steps that are due.
  void submitDue();
  /// Submits a step, again and again until it is taken.
  /// @param Body the submission.
  void submit(const nlohmann::json &Body);
  /// Sends a pull with the present cursor.
  void pull();
  /// @param Result the answer to a pull.
  /// @param Version the version told with the pull.
  void onPulled(const CallResult &Result, int64_t Version);
  /// Trains if the next step is whole.
  void trainIfWhole();
  /// Goes on after training.
  void onTrained();
  /// Puts new weights in the store, until it has taken them; then announces
  /// them.
  /// @param Version their version.
  void storeWeights(int64_t Version);
  /// Announces weights that are in the store.
  /// @param Version their version.
  void announce(int64_t Version);
  /// Tells the entries of new weights, until one has taken it.
  /// @param Body the announcement.
  void announceToEntries(const nlohmann::json &Body);
  /// Asks the store for the newest version.
  void pollVersion();
  /// @return whether all steps are trained.
  [[nodiscard]] bool done() const;
  /// @return the record.
  nlohmann::json record();
  /// @param Step a step.
  /// @param Group the group's place in it.
  /// @return the group's prompt.
  [[nodiscard]] std::string promptOf(int64_t Step, int64_t Group) const;
  /// @return the path of the model in the store.
  [[nodiscard]] std::string modelPath() const;

  /// The loop.
  Loop &Events;
  /// Sends calls to the store.
  HttpClient &Http;
  /// Sends calls to the entries.
  EntryCaller &Entries;
  /// The settings.
  TrainerSettings Settings;
  /// The samples.
  Ledger Account;
  /// The cursor of the last answer.
  std::string Cursor;
  /// Steps submitted.
  int64_t SubmittedSteps = 0;
  /// Steps trained.
  int64_t TrainedSteps = 0;
  /// Whether it trains now.
  bool Training = false;
  /// Newest version known.
  int64_t Version = 1;
  /// Since when it has nothing to train on.
  Millis IdleSince;
  /// Time without anything to train on, in all.
  Millis Idle;
  /// When it started.
  Millis StartedAt;
  /// When the last step was trained.
  Millis FinishedAt;
  /// Refusals of any call, by reason.
  std::map<std::string, int64_t> Refusals;
  /// Calls that failed without an answer.
  int64_t Broken = 0;
  /// The HTTP side; last, since it calls the rest.
  StandinServer Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_TRAINER_TRAINER_TASK_H
