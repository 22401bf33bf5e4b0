/// @file
/// Parses the events of an item's text from the bytes of an answer.

#include "gateway/event_stream_base.h"

namespace camphornotch {

bool EventStream::add(std::string_view Part, const EventHandler &Handler) {
  this->Buffer += Part;
  size_t Start = 0;
  for (;;) {
    const size_t End = this->Buffer.find(EventEnd, Start);
    if (End == std::string::npos)
      break;
    const std::string_view Text =
        std::string_view(this->Buffer).substr(Start, End - Start);
    Start = End + EventEnd.size();
    if (Text.size() > MaxEventBytes)
      return false;
    Result<platform::EngineEvent> Event = platform::decodeEngineEvent(Text);
    if (!Event.has_value() || !Handler(Event.value()))
      return false;
  }
  this->Buffer.erase(0, Start);
  return this->Buffer.size() <= MaxEventBytes;
}

} // namespace camphornotch
