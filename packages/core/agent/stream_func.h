/// @file
/// The engine's side of a completion: request body and streamed events.

#ifndef CAMPHORNOTCH_CORE_AGENT_STREAM_FUNC_H
#define CAMPHORNOTCH_CORE_AGENT_STREAM_FUNC_H

#include "base/error_type.h"
#include "base/id_type.h"
#include "camphornotch_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace camphornotch {

/// One event of a streamed completion.
struct StreamEvent {
  /// New output.
  std::string Text;
  /// Tokens in it.
  int64_t Tokens = 0;
  /// The version that made them; -1: not said.
  WeightVersion Version{-1};
  /// Why the output ends here; empty: it goes on.
  std::string FinishReason;
  /// Whether this is the mark after the last event.
  bool Done = false;
};

/// @param Data the data of one event.
/// @return the event, or what is wrong with it.
Result<StreamEvent> parseStreamEvent(std::string_view Data);

/// Cuts a stream of server-sent events into the data of each.
class EventSplitter {
public:
  /// @param Bytes the next part of the stream.
  void add(std::string_view Bytes);

  /// @return the data of the next whole event, if there is one.
  std::optional<std::string> next();

  /// @return bytes that belong to no whole event yet.
  [[nodiscard]] size_t pending() const {
    return this->Buffer.size() - this->Start;
  }

private:
  /// What was received.
  std::string Buffer;
  /// Where the first event not taken begins.
  size_t Start = 0;
};

/// @param Work a completion.
/// @param StreamId the request id for the engine.
/// @param Priority the priority at the engine.
/// @return the body for the engine, or what is wrong with the entry's.
Result<std::string> completionBody(const wire::StartWork &Work,
                                   std::string_view StreamId, int Priority);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_STREAM_FUNC_H
