/// @file
/// State machine of a model engine with continuous batching, without I/O.

#ifndef CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_STATE_H
#define CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_STATE_H

#include "standins/engine/engine_type.h"

#include <deque>
#include <list>
#include <map>
#include <string_view>

namespace camphornotch::standin {

/// LRU cache of the prompts whose prefill is skipped.
class PromptCache {
public:
  /// @param Limit maximum number of prompts.
  explicit PromptCache(int64_t Limit) : Capacity(Limit) {}

  /// Inserts a prompt or marks it as most recently used.
  /// @return whether it was cached before.
  bool touch(PromptHash Hash);

private:
  int64_t Capacity;
  /// Hashes of the prompts, most recently used first.
  std::list<uint64_t> Recent;
};

/// The engine's queue, batch, weight version and run records.
class EngineState {
public:
  explicit EngineState(EngineSettings InitialSettings)
      : Settings(std::move(InitialSettings)),
        Cache(this->Settings.CachedPrompts), Version(this->Settings.Version) {}

  /// Queues a completion.
  /// @return the number of its run.
  int64_t start(const RunRequest &Request, Millis Now);

  /// Cancels the runs of a request.
  /// @return the last part of each cancelled run.
  std::vector<RunPart> cancel(std::string_view RequestId);

  /// Cancels one run without a last part, since its connection is closed.
  void abandon(int64_t Run);

  /// Generates tokens up to Now.
  /// @return the new output.
  std::vector<RunPart> advance(Millis Now);

  /// Changes the weights; generation pauses for EngineSettings::SwapMs.
  void swapTo(int64_t NewVersion, Millis Now);

  /// Ends all runs as crashed.
  void crash();

  /// @return the load as of EngineSettings::LoadLagMs before Now.
  [[nodiscard]] LoadReport load(Millis Now) const;

  /// @return the current version of the weights.
  [[nodiscard]] int64_t version() const { return this->Version; }

  /// @return identifiers of the running and queued requests.
  [[nodiscard]] std::vector<std::string> streams() const;

  /// @return the records of all runs, modifiable.
  std::vector<RunRecord> &records() { return this->Records; }

  /// @param Factor multiplies the time of a token; 1: normal speed.
  void slowDown(double Factor) { this->SlowFactor = Factor; }

  /// @return the settings, modifiable.
  EngineSettings &settings() { return this->Settings; }

private:
  /// One completion in the queue or the batch.
  struct ActiveRun {
    RunRequest Request;
    int64_t NextToken = 0;
    /// Number of tokens of the complete output.
    int64_t Length = 0;
    /// Microseconds of batch time until the next token.
    double MicrosLeft = 0;
    /// Whether it is in the batch.
    bool Running = false;
  };

  /// Moves queued runs into free slots, the highest priority first.
  void admit();
  /// Generates the tokens of a run for a period of batch time.
  /// @param Micros the period in microseconds.
  /// @return the new output.
  RunPart generate(int64_t Number, ActiveRun &Run, double Micros);
  /// Adds a token to the record of its run.
  void record(int64_t Number, int64_t Index);
  /// @return microseconds per token at the current batch size.
  [[nodiscard]] double tokenMicros() const;
  /// Stores the current load for later reports.
  void sampleLoad(Millis Now);
  /// @return the number of runs in the batch.
  [[nodiscard]] int64_t running() const;

  EngineSettings Settings;
  PromptCache Cache;
  /// The runs that have not ended, by number.
  std::map<int64_t, ActiveRun> Active;
  /// The records of all runs, by number.
  std::vector<RunRecord> Records;
  /// The load at past times, oldest first.
  std::deque<LoadReport> PastLoad;
  /// Current version of the weights.
  int64_t Version;
  /// Factor on the time of a token.
  double SlowFactor = 1.0;
  /// Time up to which tokens have been generated.
  Millis AdvancedTo;
  /// End of the last swap; no tokens are generated before it.
  Millis SwapUntil;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_STATE_H
