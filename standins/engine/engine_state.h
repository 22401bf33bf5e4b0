/// @file
/// A model engine that batches continuously, as a machine without sockets.

#ifndef CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_STATE_H
#define CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_STATE_H

#include "standins/engine/engine_type.h"

#include <deque>
#include <list>
#include <map>
#include <string_view>

namespace camphornotch::standin {

/// The prompts whose prefix is cached, least recently used first out.
class PromptCache {
public:
  /// @param Limit how many prompts are kept.
  explicit PromptCache(int64_t Limit) : Capacity(Limit) {}

  /// Puts a prompt in the cache or refreshes it.
  /// @param Hash the prompt's hash.
  /// @return whether it was there before.
  bool touch(PromptHash Hash);

private:
  /// How many prompts are kept.
  int64_t Capacity;
  /// Their hashes, most recently used first.
  std::list<uint64_t> Recent;
};

/// The engine's queue, batch, weights and record.
class EngineState {
public:
  /// @param Given the settings.
  explicit EngineState(EngineSettings Given)
      : Settings(std::move(Given)), Cache(this->Settings.CachedPrompts),
        Version(this->Settings.Version) {}

  /// Puts a completion in the queue.
  /// @param Request the completion.
  /// @param Now the time.
  /// @return the number of its run.
  int64_t start(const RunRequest &Request, Millis Now);

  /// Ends the runs of a request.
  /// @param RequestId the request.
  /// @return the last part of each run that was ended.
  std::vector<RunPart> cancel(std::string_view RequestId);

  /// Ends one run.
  /// @param Run the number of the run.
  void abandon(int64_t Run);

  /// Generates up to a time.
  /// @param Now the time.
  /// @return the new output.
  std::vector<RunPart> advance(Millis Now);

  /// Changes the weights: generation rests for the swap time.
  /// @param NewVersion the version loaded.
  /// @param Now the time.
  void swapTo(int64_t NewVersion, Millis Now);

  /// Ends all runs as crashed.
  void crash();

  /// @param Now the time.
  /// @return the load as the engine reports it, late.
  [[nodiscard]] LoadReport load(Millis Now) const;

  /// @return the present version of the weights.
  [[nodiscard]] int64_t version() const { return this->Version; }

  /// @return identifiers of the requests that run or wait.
  [[nodiscard]] std::vector<std::string> streams() const;

  /// @return the record of all runs, which the caller may change.
  std::vector<RunRecord> &records() { return this->Records; }

  /// @param Factor how many times slower generation is than usual.
  void slowDown(double Factor) { this->SlowFactor = Factor; }

  /// @return the settings, which the caller may change.
  EngineSettings &settings() { return this->Settings; }

private:
  /// One completion in the queue or the batch.
  struct ActiveRun {
    /// What was asked for.
    RunRequest Request;
    /// Index of the next token.
    int64_t NextToken = 0;
    /// Number of tokens of the whole completion.
    int64_t Length = 0;
    /// Microseconds of work until the next token.
    double MicrosLeft = 0;
    /// Whether it is in the batch.
    bool Running = false;
  };

  /// Moves waiting runs into free slots, the most urgent first.
  void admit();
  /// Gives a run some time in the batch.
  /// @param Number the number of the run.
  /// @param Run the run.
  /// @param Micros the time.
  /// @return its new output.
  RunPart generate(int64_t Number, ActiveRun &Run, double Micros);
  /// Notes a token in the record of its run.
  /// @param Number the number of the run.
  /// @param Index the token's index.
  void record(int64_t Number, int64_t Index);
  /// @return microseconds that one token takes now.
  [[nodiscard]] double tokenMicros() const;
  /// Keeps the load for later reports.
  /// @param Now the time.
  void sampleLoad(Millis Now);
  /// @return how many runs are in the batch.
  [[nodiscard]] int64_t running() const;

  /// The settings.
  EngineSettings Settings;
  /// The cached prompts.
  PromptCache Cache;
  /// The runs that have not ended, by number.
  std::map<int64_t, ActiveRun> Active;
  /// The record of all runs, by number.
  std::vector<RunRecord> Records;
  /// The load at past times, oldest first.
  std::deque<LoadReport> PastLoad;
  /// Present version of the weights.
  int64_t Version;
  /// How many times slower than usual.
  double SlowFactor = 1.0;
  /// Up to when tokens have been generated.
  Millis AdvancedTo;
  /// No tokens before this time.
  Millis SwapUntil;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_STATE_H
