/// @file
/// JSON of the trainers' answers and of the work sent for them.

#include "daemon/sample_answer_func.h"

#include "base/refusal_func.h"

#include <nlohmann/json.hpp>

namespace camphornotch {

namespace {

using nlohmann::json;

/// @param Value a JSON value.
/// @return its text; bytes that are no UTF-8 are replaced.
std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// @param One a sample.
/// @return its JSON.
json sampleJson(const Sample &One) {
  json Segments = json::array();
  for (const wire::LabelSegment &Segment : One.Segments)
    Segments.push_back(
        {{"first_token", Segment.FirstToken}, {"version", Segment.Version}});
  json Value{{"step", One.Slot.Step},   {"group", One.Group},
             {"index", One.Slot.Index}, {"text", One.Text},
             {"tokens", One.Tokens},    {"segments", std::move(Segments)},
             {"score", nullptr},        {"failure", nullptr}};
  if (One.Score)
    Value["score"] = *One.Score;
  if (One.Failure)
    Value["failure"] = refusalSpec(*One.Failure).Name;
  return Value;
}

} // namespace

std::string renderSubmit(const AnswerSubmit &Answer) {
  return dump(json{{"groups_new", Answer.GroupsNew},
                   {"groups_known", Answer.GroupsKnown}});
}

std::string renderPull(const AnswerPull &Answer) {
  json Samples = json::array();
  for (const Sample &One : Answer.Samples)
    Samples.push_back(sampleJson(One));
  return dump(json{{"samples", std::move(Samples)},
                   {"cursor", Answer.Cursor},
                   {"open_slots", Answer.OpenSlots}});
}

std::string completionBodyOf(const NeedAttempt &Need) {
  json Body = json::parse(Need.Parameters, nullptr, false);
  if (!Body.is_object())
    Body = json::object();
  Body["model"] = Need.Model;
  Body["prompt"] = Need.Prompt;
  Body["max_tokens"] = Need.MaxTokens;
  return dump(Body);
}

std::string scoreBodyOf(const NeedScore &Need) {
  return dump(json{{"prompt", Need.Prompt}, {"text", Need.Text}});
}

std::optional<double> parseScore(std::string_view Body) {
  const json Value = json::parse(Body.begin(), Body.end(), nullptr, false);
  if (!Value.is_object())
    return std::nullopt;
  const auto Found = Value.find("score");
  if (Found == Value.end() || !Found->is_number())
    return std::nullopt;
  return Found->get<double>();
}

} // namespace camphornotch
