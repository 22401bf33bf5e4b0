/// @file
/// Parses the events of an item's text from the bytes of an answer.

#ifndef CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H
#define CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H

#include "platform/engine_func.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace camphornotch {

/// Terminator of an event.
inline constexpr std::string_view EventEnd = "\n\n";

/// Largest event: the size of the platform's largest record.
inline constexpr size_t MaxEventBytes = size_t{256} << 10;

/// Largest text, counting a line feed after each event: the platform returns
/// results in answers of 1 MB.
inline constexpr size_t MaxTextBytes = size_t{1} << 20;

/// Checks the size of a text while its events arrive.
class TextSize {
public:
  /// @param MaxTokens limit of tokens of prompt and output; 0: not known.
  explicit TextSize(int64_t MaxTokens = 0) : MaxTokens(MaxTokens) {}

  /// @param Data the next event, which holds at least one token.
  /// @return whether the text is still within its limits.
  bool add(std::string_view Data) {
    ++this->Events;
    this->Bytes += Data.size() + 1;
    const bool Limited = this->MaxTokens > 0;
    return this->Bytes <= MaxTextBytes &&
           (!Limited || this->Events <= this->MaxTokens);
  }

private:
  /// Limit of tokens; 0: not known.
  int64_t MaxTokens;
  int64_t Events = 0;
  size_t Bytes = 0;
};

/// Splits the bytes of one answer into events.
class EventStream {
public:
  /// Handles one event.
  /// @return whether it continues the text.
  using EventHandler = std::function<bool(platform::EngineEvent &Event)>;

  /// Adds bytes and passes each complete event to the handler.
  /// @param Handler handles the events; it must not change the stream.
  /// @return false if an event is malformed, too long or rejected by the
  ///   handler.
  bool add(std::string_view Part, const EventHandler &Handler);

  /// @return whether no incomplete event is buffered.
  bool atEventEnd() const { return this->Buffer.empty(); }

  /// Discards the buffered bytes, before another answer.
  void clear() { this->Buffer.clear(); }

private:
  /// Bytes of an incomplete event.
  std::string Buffer;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H
