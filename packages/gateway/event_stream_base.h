/// @file
/// Takes the events of an item's text out of the bytes of an answer.

#ifndef CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H
#define CAMPHORNOTCH_GATEWAY_EVENT_STREAM_BASE_H

#include "platform/engine_func.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace camphornotch {

/// What ends an event.
inline constexpr std::string_view EventEnd = "\n\n";

/// Most bytes of one event: the platform's largest record.
inline constexpr size_t MostEventBytes = size_t{256} << 10;

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
