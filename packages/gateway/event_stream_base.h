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
inline constexpr size_t MostEventBytes = size_t{256} << 10;

/// Largest text, counting a line feed after each event: the platform returns
/// results in answers of 1 MB.
inline constexpr size_t MostTextBytes = size_t{1} << 20;

/// Checks the size of a text while its events arrive.
class TextSize {
public:
  /// @param MostTokens limit of tokens of prompt and output; 0: not known.
  explicit TextSize(int64_t MostTokens = 0) : MostTokens(MostTokens) {}

  /// @param Data the next event, which holds at least one token.
  /// @return whether the text is still within its limits.
  bool add(std::string_view Data) {
    ++this->Events;
    this->Bytes += Data.size() + 1;
    const bool Counted = this->MostTokens > 0;
    return this->Bytes <= MostTextBytes &&
           (!Counted || this->Events <= this->MostTokens);
  }

private:
  /// Limit of tokens; 0: not known.
  int64_t MostTokens;
  int64_t Events = 0;
  size_t Bytes = 0;
};

/// Splits the bytes of one answer into events.
class EventStream {
public:
  /// Handles one event.
  /// @return whether it continues the text.
  using Taker = std::function<bool(platform::EngineEvent &Event)>;

  /// Adds bytes and passes each complete event to the handler.
  /// @param Take handles the events; it must not change the stream.
  /// @return false if an event is malformed, too long or rejected by the
  ///   handler.
  bool add(std::string_view Part, const Taker &Take);

  /// @return whether no incomplete event is buffered.
  bool atEventEnd() const { return this->Rest.empty(); }

  /// Discards the buffered bytes, before another answer.
  void clear() { this->Rest.clear(); }

private:
  /// Bytes of an incomplete event.
  std::string Rest;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H
