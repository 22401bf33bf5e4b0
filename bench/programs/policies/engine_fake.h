/// @file
/// A model engine on virtual time: slots, token rate, prefix cache, swaps.

#ifndef CAMPHORNOTCH_BENCH_POLICIES_ENGINE_FAKE_H
#define CAMPHORNOTCH_BENCH_POLICIES_ENGINE_FAKE_H

#include "core/agent/work_type.h"
#include "event_queue.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphornotch::bench {

/// Speed of an engine.
struct EngineSpec {
  /// Milliseconds a token.
  double TokenMs = 10;
  /// Milliseconds to read a prompt that is not cached.
  double PrefillMs = 100;
  /// Prompts cached at most.
  size_t CachedPrompts = 16;
  /// Milliseconds to swap weights; streams stand still meanwhile.
  int64_t SwapMs = 2000;
};

/// What an engine has produced of one stream since the last report.
struct EngineOutput {
  /// The stream.
  RunId Run;
  /// New tokens.
  int64_t Tokens = 0;
  /// The version that made them.
  int64_t Version = 0;
  /// Whether the stream is at its end.
  bool Finished = false;
};

/// One engine. Its agent is told of output by a callback.
class EngineFake {
public:
  /// @param Queue virtual time.
  /// @param Spec the speed.
  /// @param OnOutput told of every piece of output.
  EngineFake(EventQueue &Queue, const EngineSpec &Spec,
             std::function<void(const EngineOutput &)> OnOutput);

  /// Starts a stream.
  /// @param Run the stream.
  /// @param Tokens that it will have.
  /// @param Prompt key of the prompt.
  void start(RunId Run, int64_t Tokens, const std::string &Prompt);

  /// Stops a stream.
  /// @param Run the stream; unknown ones are ignored.
  void stop(RunId Run);

  /// Loses all streams and the cache, and stands still.
  /// @return the streams that were lost.
  std::vector<RunId> crash();

  /// Comes back from a crash.
  void restart() { this->Down = false; }

  /// Begins to load a version; streams stand still meanwhile.
  /// @param Version the version.
  /// @param Fails whether the old version stays.
  /// @param OnDone told whether it was loaded.
  void swap(int64_t Version, bool Fails, std::function<void(bool)> OnDone);

  /// @param Factor how much slower than its spec it runs from now on.
  void setSlowness(double Factor) { this->Slowness = Factor; }

  /// @return whether it is crashed.
  bool down() const { return this->Down; }

  /// @return tokens generated since the start.
  int64_t generated() const { return this->Generated; }

  /// @return the version that it runs.
  int64_t version() const { return this->Version; }

private:
  /// One running stream.
  struct Stream {
    /// Tokens left.
    int64_t Left = 0;
    /// Milliseconds of work done towards the next token; below 0: reading
    /// the prompt.
    double Credit = 0;
  };

  /// Advances all streams by one beat.
  void beat();

  /// Keeps a prompt in the cache.
  /// @param Prompt its key.
  /// @return whether it was there already.
  bool touchPrompt(const std::string &Prompt);

  /// Virtual time.
  EventQueue &Queue;
  /// The speed.
  EngineSpec Spec;
  /// Told of every piece of output.
  std::function<void(const EngineOutput &)> OnOutput;
  /// Running streams.
  std::map<RunId, Stream> Streams;
  /// Cached prompts, the newest last.
  std::deque<std::string> Cache;
  /// How much slower than its spec it runs.
  double Slowness = 1;
  /// Whether it is crashed.
  bool Down = false;
  /// Whether it is loading a version.
  bool Swapping = false;
  /// Whether a beat is planned.
  bool Beating = false;
  /// Counts crashes, so that a swap begun before one is dropped.
  int64_t Life = 0;
  /// The version that it runs.
  int64_t Version = 1;
  /// Tokens generated since the start.
  int64_t Generated = 0;
};

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_POLICIES_ENGINE_FAKE_H
