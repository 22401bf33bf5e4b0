/// @file
/// A trainer: submits steps, pulls samples, trains, announces weights.

#ifndef CAMPHORNOTCH_STANDINS_TRAINER_TRAINER_TASK_H
#define CAMPHORNOTCH_STANDINS_TRAINER_TRAINER_TASK_H

#include "standins/common/entry_caller.h"
#include "standins/common/standin_server.h"
#include "standins/trainer/ledger_base.h"

namespace camphornotch::standin {

/// Settings of a trainer, from its flags.
struct TrainerSettings {
  std::string Name;
  /// The model to sample from.
  std::string Model;
  /// Steps to submit in all.
  int64_t Steps = 3;
  /// Groups per step.
  int64_t Groups = 8;
  /// Samples per group.
  int64_t Samples = 4;
  /// Limit on the tokens of a sample.
  int64_t MaxTokens = 256;
  /// Usual tokens of a sample.
  int64_t UsualTokens = 64;
  /// Groups with ten times the usual tokens, per thousand.
  int64_t LongGroups = 0;
  /// Least size of a prompt; shorter ones are padded.
  int64_t PromptBytes = 200;
  /// Service that scores samples; empty for none.
  std::string Scorer;
  /// Most versions that a sample may be behind the trainer.
  int64_t MaxAge = 4;
  /// Simulated time to train on a step.
  Millis TrainTime{300};
  /// Steps submitted before the current step has all its samples.
  int64_t StepsAhead = 1;
  /// Whether to store and announce new weights after each step.
  bool AnnounceWeights = false;
  /// The weight store.
  HttpTarget Store;
  /// Port of the control paths.
  uint16_t Port = 0;
};

/// Runs one trainer; starts in the constructor.
class TrainerTask {
public:
  /// @param Http for calls to the weight store.
  TrainerTask(Loop &Events, HttpClient &Http, EntryCaller &Entries,
              TrainerSettings InitialSettings);
  TrainerTask(const TrainerTask &) = delete;
  TrainerTask &operator=(const TrainerTask &) = delete;

private:
  /// Submits steps up to the limit on steps ahead.
  void submitDue();
  /// Submits a step and retries until it is accepted.
  void submit(const nlohmann::json &Body);
  /// Pulls samples from the current cursor.
  void pull();
  /// @param SentVersion the version that was sent with the pull.
  void onPulled(const CallResult &Result, int64_t SentVersion);
  /// Starts to train if the next step has all its samples.
  void trainIfComplete();
  /// Handles the end of the training of a step.
  void onTrained();
  /// Stores new weights, with retries until the store accepts them, and then
  /// announces them.
  void storeWeights(int64_t Version);
  /// Announces a version that is in the store.
  void announce(int64_t Version);
  /// Sends an announcement and retries until an entry accepts it.
  void announceToEntries(const nlohmann::json &Body);
  /// Asks the store for the newest version; runs every VersionPoll.
  void pollVersion();
  /// @return whether all steps are trained.
  [[nodiscard]] bool done() const;
  /// @return the answer to GET /control/record.
  nlohmann::json record();
  /// @param Group index of the group in the step.
  [[nodiscard]] std::string promptOf(int64_t Step, int64_t Group) const;
  /// @return the path of the model in the store.
  [[nodiscard]] std::string modelPath() const;

  Loop &Events;
  /// For calls to the weight store.
  HttpClient &Http;
  EntryCaller &Entries;
  TrainerSettings Settings;
  Ledger SampleLedger;
  /// Cursor from the last answer to a pull.
  std::string Cursor;
  int64_t SubmittedSteps = 0;
  int64_t TrainedSteps = 0;
  bool Training = false;
  /// Newest known version.
  int64_t Version = 1;
  /// When the last training ended; before the first one, the start.
  Millis IdleSince;
  /// Total time without a step to train on, up to IdleSince.
  Millis IdleTime;
  Millis StartedAt;
  /// When the last training ended; the end of the run once done.
  Millis FinishedAt;
  /// Refusals of any call, by reason.
  std::map<std::string, int64_t> Refusals;
  /// Submissions and pulls that failed without an answer.
  int64_t BrokenCalls = 0;
  /// The HTTP server; the last member, because its handlers use the others.
  StandinServer Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_TRAINER_TRAINER_TASK_H
