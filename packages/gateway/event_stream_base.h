/// @file
/// Takes the events of an item's text out of the bytes of an answer.

#ifndef CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H
#define CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H

#include "platform/engine_func.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace camphornotch {

/// What ends an event.
inline constexpr std::string_view EventEnd = "\n\n";

/// Most bytes of one event: the platform's largest record.
inline constexpr size_t MostEventBytes = size_t{256} << 10;

/// Most bytes of a text, with a line feed after each event: the platform lists
/// results in answers of 1 MB.
inline constexpr size_t MostTextBytes = size_t{1} << 20;

/// Measures one text while its events come.
class TextSize {
public:
  /// @param MostTokens most tokens of prompt and output; 0: not known.
  explicit TextSize(int64_t MostTokens = 0) : MostTokens(MostTokens) {}

  /// @param Data one more event, which holds a token at least.
  /// @return whether the text can still be an item's.
  bool add(std::string_view Data) {
    ++this->Events;
    this->Bytes += Data.size() + 1;
    const bool Counted = this->MostTokens > 0;
    return this->Bytes <= MostTextBytes &&
           (!Counted || this->Events <= this->MostTokens);
  }

private:
  /// Most tokens; 0: not known.
  int64_t MostTokens;
  /// Events so far.
  int64_t Events = 0;
  /// Bytes so far.
  size_t Bytes = 0;
};

/// The part of one answer that is not taken yet.
class EventStream {
public:
  /// Takes one event.
  /// @return whether it follows the one before.
  using Taker = std::function<bool(platform::EngineEvent &Event)>;

  /// Adds bytes and hands on each event that is whole now.
  /// @param Part the bytes.
  /// @param Take takes the events; it does not change the stream.
  /// @return false once an event cannot be read, is too long or is not taken.
  bool add(std::string_view Part, const Taker &Take);

  /// @return whether the bytes so far end with an event.
  bool atEventEnd() const { return this->Rest.empty(); }

  /// Forgets all bytes, before another answer.
  void clear() { this->Rest.clear(); }

private:
  /// Bytes of an event that is not whole.
  std::string Rest;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H
