/// @file
/// The engine's side of a completion: request body and streamed events.

#include "core/agent/stream_func.h"

#include <nlohmann/json.hpp>

namespace camphornotch {

namespace {

using Json = nlohmann::json;

/// Ends one event.
constexpr std::string_view EventEnd = "\n\n";
/// In front of the data of an event.
constexpr std::string_view DataMark = "data:";
/// The data of the event after the last one.
constexpr std::string_view DoneMark = "[DONE]";
/// Taken bytes at the front of the buffer that are worth moving the rest.
constexpr size_t CompactBytes = size_t{64} << 10;

/// @param Object a JSON object.
/// @param Name a member's name.
/// @return the member, or null if it is not there.
const Json *memberOf(const Json &Object, const char *Name) {
  if (!Object.is_object())
    return nullptr;
  const auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

/// @param Object a JSON object.
/// @param Name a member's name.
/// @return its text; empty if it is no text.
std::string textOf(const Json &Object, const char *Name) {
  const Json *Member = memberOf(Object, Name);
  const bool Text = Member != nullptr && Member->is_string();
  return Text ? Member->get<std::string>() : std::string{};
}

/// @param Object a JSON object.
/// @param Name a member's name.
/// @param Default the value if it is no number.
/// @return its value.
int64_t numberOf(const Json &Object, const char *Name, int64_t Default) {
  const Json *Member = memberOf(Object, Name);
  const bool Number = Member != nullptr && Member->is_number_integer();
  return Number ? Member->get<int64_t>() : Default;
}

/// @param Choice a choice of a completion or of a chat.
/// @return its new output.
std::string outputOf(const Json &Choice) {
  const Json *Delta = memberOf(Choice, "delta");
  return Delta == nullptr ? textOf(Choice, "text") : textOf(*Delta, "content");
}

/// @return the error of an event that cannot be understood.
Error badEvent() {
  return Error{ErrorKind::BadInput, "the engine's event is not as described",
               "compare the engine with docs/platform-interfaces.md"};
}

} // namespace

Result<StreamEvent> parseStreamEvent(std::string_view Data) {
  StreamEvent Event;
  if (Data == DoneMark) {
    Event.Done = true;
    return Event;
  }
  const Json Parsed = Json::parse(Data, nullptr, false);
  const Json *Choices = memberOf(Parsed, "choices");
  if (Choices == nullptr || !Choices->is_array() || Choices->empty())
    return badEvent();
  const Json &Choice = Choices->front();
  Event.Text = outputOf(Choice);
  Event.FinishReason = textOf(Choice, "finish_reason");
  Event.Tokens = numberOf(Parsed, "tokens", 0);
  Event.Version = WeightVersion{numberOf(Parsed, "weight_version", -1)};
  return Event;
}

void EventSplitter::add(std::string_view Bytes) {
  if (this->Start > CompactBytes) {
    this->Buffer.erase(0, this->Start);
    this->Start = 0;
  }
  this->Buffer.append(Bytes);
}

std::optional<std::string> EventSplitter::next() {
  const size_t End = this->Buffer.find(EventEnd, this->Start);
  if (End == std::string::npos)
    return std::nullopt;
  std::string_view Event = this->Buffer;
  Event = Event.substr(this->Start, End - this->Start);
  this->Start = End + EventEnd.size();
  if (Event.starts_with(DataMark))
    Event.remove_prefix(DataMark.size());
  if (Event.starts_with(' '))
    Event.remove_prefix(1);
  std::string Data(Event);
  if (this->Start == this->Buffer.size()) {
    this->Buffer.clear();
    this->Start = 0;
  }
  return Data;
}

Result<std::string> completionBody(const wire::StartWork &Work,
                                   std::string_view StreamId, int Priority) {
  Json Body = Json::parse(Work.Body, nullptr, false);
  if (!Body.is_object())
    return Error{ErrorKind::BadInput, "the body is no JSON object",
                 "send a JSON object with model, prompt and max_tokens"};
  Body["stream"] = true;
  Body["request_id"] = std::string(StreamId);
  Body["priority"] = Priority;
  if (Work.KeptTokens > 0) {
    Body["kept_text"] = Work.KeptText;
    Body["kept_tokens"] = Work.KeptTokens;
  }
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace camphornotch
