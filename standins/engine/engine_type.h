/// @file
/// Settings, runs and records of the model engine.

#ifndef CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_TYPE_H
#define CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_TYPE_H

#include "base/millis_type.h"
#include "standins/common/token_text.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// How fast an engine is and what it holds.
struct EngineSettings {
  /// Name of the engine.
  std::string Name;
  /// The model that it serves.
  std::string Model;
  /// Completions generated at once.
  int64_t Slots = 16;
  /// Microseconds a token with one completion running; all slots: twice that.
  int64_t TokenMicros = 2000;
  /// Microseconds for each byte of a prompt that is not cached.
  int64_t PrefillMicrosPerByte = 10;
  /// Prompts whose prefix is kept.
  int64_t CachedPrompts = 64;
  /// Milliseconds without generation while new weights are put in place.
  int64_t SwapMs = 100;
  /// Age of the load report.
  int64_t LoadLagMs = 1000;
  /// Whether orders with an old fencing number are obeyed.
  bool IgnoreFence = false;
  /// Version of the weights at the start.
  int64_t Version = 1;
};

/// A completion asked for.
struct RunRequest {
  /// Identifier of the caller of the engine.
  std::string RequestId;
  /// The prompt.
  std::string Prompt;
  /// Most tokens, the kept ones included.
  int64_t MaxTokens = 16;
  /// A larger one runs first.
  int64_t Priority = 0;
  /// Tokens of the output that the caller holds already.
  int64_t KeptTokens = 0;
};

/// How a run ended.
enum class RunEnd : uint8_t {
  Running,   ///< It has not.
  Finished,  ///< With its last token.
  Cancelled, ///< By an order or a closed connection.
  Crashed,   ///< With the engine.
};

/// What the engine records of one run.
struct RunRecord {
  /// Number of the run on this engine.
  int64_t Run = 0;
  /// Name of the run, as its first token carries it.
  std::string Name;
  /// Identifier given by the caller.
  std::string RequestId;
  /// The prompt's hash.
  PromptHash Prompt;
  /// When it arrived.
  Millis At;
  /// Index of the first token made here.
  int64_t FromToken = 0;
  /// Index after the last token made here.
  int64_t NextToken = 0;
  /// Versions that made the tokens.
  std::vector<TokenSegment> Segments;
  /// How it ended.
  RunEnd End = RunEnd::Running;
};

/// New output of a run.
struct RunPart {
  /// Number of the run.
  int64_t Run = 0;
  /// The new text.
  std::string Text;
  /// Tokens in it, all made by Version.
  int64_t Tokens = 0;
  /// The version that made them.
  int64_t Version = 0;
  /// How the run ended with it, if it did.
  RunEnd End = RunEnd::Running;
};

/// What the engine says of its load, some time ago.
struct LoadReport {
  /// Completions generated at once.
  int64_t Slots = 0;
  /// Completions being generated.
  int64_t Running = 0;
  /// Completions waiting.
  int64_t Queued = 0;
  /// When this was so.
  Millis At;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_TYPE_H
