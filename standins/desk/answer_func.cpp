/// @file
/// Checks the answers to the calls of a desk.

#include "standins/desk/answer_func.h"
#include "standins/common/json_func.h"
#include "standins/common/token_text.h"

namespace camphornotch::standin {

namespace {

/// Start of each event of a stream.
constexpr std::string_view EventPrefix = "data: ";

/// End of each event of a stream.
constexpr std::string_view EventEnd = "\n\n";

/// Contents of a stream of events.
struct StreamText {
  /// Text of all events.
  std::string Text;
  /// Whether the stream has the final "[DONE]" event.
  bool Ended = false;
  /// Whether an event has no "data: " prefix, or bytes follow the final event.
  bool Malformed = false;
};

/// Parses the body of a stream; stops at the first malformed or cut-off event.
StreamText joinStream(std::string_view Body) {
  StreamText Stream;
  while (!Body.empty()) {
    const size_t End = Body.find(EventEnd);
    if (End == std::string_view::npos || !Body.starts_with(EventPrefix)) {
      Stream.Malformed = End != std::string_view::npos;
      return Stream;
    }
    const std::string_view Event =
        Body.substr(EventPrefix.size(), End - EventPrefix.size());
    Body.remove_prefix(End + EventEnd.size());
    if (Event == "[DONE]") {
      Stream.Ended = true;
      Stream.Malformed = !Body.empty();
      return Stream;
    }
    const nlohmann::json Json = parseJson(Event);
    for (const nlohmann::json &Choice : arrayOf(Json, "choices")) {
      Stream.Text += textOf(Choice, "text");
    }
  }
  return Stream;
}

/// @param Tokens the requested number of tokens.
/// @return whether the text is a complete answer to this prompt.
AnswerCheck checkText(std::string_view Text, std::string_view Prompt,
                      int64_t Tokens) {
  const VerifiedText Answer = verifyText(hashPrompt(Prompt), Text);
  const bool Correct =
      Answer.Valid && Answer.Complete && Answer.Tokens == Tokens;
  return Correct ? AnswerCheck::Complete : AnswerCheck::Wrong;
}

AnswerCheck completeIf(bool Correct) {
  return Correct ? AnswerCheck::Complete : AnswerCheck::Wrong;
}

} // namespace

const char *kindName(DeskCallKind Kind) {
  switch (Kind) {
  case DeskCallKind::Completion:
    return "completion";
  case DeskCallKind::Stream:
    return "stream";
  case DeskCallKind::Chat:
    return "chat";
  case DeskCallKind::Booking:
    return "booking";
  case DeskCallKind::Status:
    return "status";
  }
  return "";
}

AnswerCheck checkAnswer(const DeskCall &Call, const DeskSettings &Settings,
                        std::string_view Body) {
  if (Call.Kind == DeskCallKind::Stream) {
    const StreamText Stream = joinStream(Body);
    if (!Stream.Ended) {
      return Stream.Malformed ? AnswerCheck::Wrong : AnswerCheck::Interrupted;
    }
    return checkText(Stream.Text, Call.Content, Settings.Tokens);
  }
  const nlohmann::json Json = parseJson(Body);
  switch (Call.Kind) {
  case DeskCallKind::Completion:
  case DeskCallKind::Stream:
  case DeskCallKind::Chat: {
    const nlohmann::json &Choices = arrayOf(Json, "choices");
    if (Choices.size() != 1) {
      return AnswerCheck::Wrong;
    }
    const nlohmann::json &Choice = Choices[0];
    const std::string Text = Choice.contains("message")
                                 ? textOf(Choice["message"], "content")
                                 : textOf(Choice, "text");
    return checkText(Text, Call.Content, Settings.Tokens);
  }
  case DeskCallKind::Booking:
    return completeIf(textOf(Json, "body") == Call.Content &&
                      !textOf(Json, "booking").empty());
  case DeskCallKind::Status:
    return completeIf(textOf(Json, "query") == Call.Content);
  }
  return AnswerCheck::Wrong;
}

} // namespace camphornotch::standin
