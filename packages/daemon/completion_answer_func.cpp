/// @file
/// Renders an engine's output the way OpenAI's clients read it.

#include "daemon/completion_answer_func.h"

#include "base/text_func.h"

#include <nlohmann/json.hpp>

namespace camphornotch {

namespace {

using nlohmann::json;

/// @param Value a JSON value.
/// @return its text; bytes that are no UTF-8 are replaced.
std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// @param Style how.
/// @param Choice the one choice.
/// @return an answer or event around it.
json around(const CompletionStyle &Style, json Choice) {
  Choice["index"] = 0;
  return json{{"id", Style.Id},
              {"model", Style.Model},
              {"choices", json::array({std::move(Choice)})}};
}

/// @param Finished the end of an output.
/// @return which versions made which part.
json segmentsOf(const wire::WorkFinished &Finished) {
  json Segments = json::array();
  for (const wire::LabelSegment &Segment : Finished.Segments)
    Segments.push_back(
        {{"first_token", Segment.FirstToken}, {"version", Segment.Version}});
  return Segments;
}

} // namespace

std::string renderWhole(const CompletionStyle &Style,
                        const wire::WorkFinished &Finished) {
  json Choice{{"finish_reason", "stop"}};
  if (Style.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Finished.Body}};
  else
    Choice["text"] = Finished.Body;
  json Answer = around(Style, std::move(Choice));
  Answer["object"] = Style.Chat ? "chat.completion" : "text_completion";
  Answer["usage"] = {{"completion_tokens", Finished.Tokens}};
  if (Finished.LabelKnown)
    Answer["segments"] = segmentsOf(Finished);
  return dump(Answer);
}

std::string renderPart(const CompletionStyle &Style, std::string_view Text) {
  json Choice{{"finish_reason", nullptr}};
  if (Style.Chat)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["text"] = Text;
  return concat("data: ", dump(around(Style, std::move(Choice))), "\n\n");
}

std::string renderEnd(const CompletionStyle &Style,
                      const wire::WorkFinished &Finished) {
  json Choice{{"finish_reason", "stop"}};
  if (Style.Chat)
    Choice["delta"] = json::object();
  else
    Choice["text"] = "";
  json Event = around(Style, std::move(Choice));
  Event["usage"] = {{"completion_tokens", Finished.Tokens}};
  if (Finished.LabelKnown)
    Event["segments"] = segmentsOf(Finished);
  return concat("data: ", dump(Event), "\n\ndata: [DONE]\n\n");
}

} // namespace camphornotch
