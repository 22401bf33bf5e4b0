/// @file
/// Checks answers against the calls that asked for them.

#include "standins/desk/answer_func.h"
#include "standins/common/json_func.h"
#include "standins/common/token_text.h"

namespace camphornotch::standin {

namespace {

/// What each event of a stream starts with.
constexpr std::string_view EventPrefix = "data: ";

/// What ends each event of a stream.
constexpr std::string_view EventEnd = "\n\n";

/// The contents of a stream.
struct StreamText {
  /// The text of all events.
  std::string Text;
  /// Whether the end mark came.
  bool Ended = false;
  /// Whether an event could not be understood.
  bool Bad = false;
};

/// @param Body all events of a stream.
/// @return their contents.
StreamText joinStream(std::string_view Body) {
  StreamText Stream;
  while (!Body.empty()) {
    const size_t End = Body.find(EventEnd);
    if (End == std::string_view::npos || !Body.starts_with(EventPrefix)) {
      Stream.Bad = End != std::string_view::npos;
      return Stream;
    }
    const std::string_view Event =
        Body.substr(EventPrefix.size(), End - EventPrefix.size());
    Body.remove_prefix(End + EventEnd.size());
    if (Event == "[DONE]") {
      Stream.Ended = true;
      Stream.Bad = !Body.empty();
      return Stream;
    }
    const nlohmann::json Json = parseJson(Event);
    for (const nlohmann::json &Choice : arrayOf(Json, "choices")) {
      Stream.Text += textOf(Choice, "text");
    }
  }
  return Stream;
}

/// @param Text a completion's text.
/// @param Prompt the prompt.
/// @param Tokens the number of tokens asked for.
/// @return whether it is whole and its own.
AnswerCheck checkText(std::string_view Text, std::string_view Prompt,
                      int64_t Tokens) {
  const VerifiedText Answer = verifyText(hashPrompt(Prompt), Text);
  const bool Right = Answer.Valid && Answer.Complete && Answer.Tokens == Tokens;
  return Right ? AnswerCheck::Whole : AnswerCheck::Wrong;
}

/// @param Right whether an answer is right.
/// @return how it turned out.
AnswerCheck wholeIf(bool Right) {
  return Right ? AnswerCheck::Whole : AnswerCheck::Wrong;
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
      return Stream.Bad ? AnswerCheck::Wrong : AnswerCheck::BrokenOff;
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
    return wholeIf(textOf(Json, "body") == Call.Content &&
                   !textOf(Json, "booking").empty());
  case DeskCallKind::Status:
    return wholeIf(textOf(Json, "query") == Call.Content);
  }
  return AnswerCheck::Wrong;
}

} // namespace camphornotch::standin
