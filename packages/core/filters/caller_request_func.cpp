/// @file
/// Parses callers' HTTP requests.

#include "core/filters/caller_request_func.h"

#include "base/text_func.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace camphornotch {

namespace {

using nlohmann::json;

/// Path prefix of calls to plain services.
constexpr std::string_view ServicesPrefix = "/services/";

Error badInput(std::string Detail) {
  return Error{ErrorKind::BadInput, std::move(Detail),
               "correct the request; docs/openapi.yaml describes it"};
}

/// Reads the fields of one JSON object and keeps the first error.
class FieldReader {
public:
  explicit FieldReader(const json &Object) : Object(Object) {
    if (!Object.is_object())
      this->note("the body is no JSON object");
  }

  /// @return the string; empty if absent.
  std::string text(const char *Name, bool Required) {
    const json *Field = this->find(Name, Required);
    if (Field == nullptr)
      return {};
    if (!Field->is_string()) {
      this->note(concat("\"", Name, "\" is no text"));
      return {};
    }
    return Field->get<std::string>();
  }

  /// @param Fallback the value of an absent field; nullopt: it is required.
  int64_t number(const char *Name, int64_t Min,
                 std::optional<int64_t> Fallback) {
    const json *Field = this->find(Name, !Fallback.has_value());
    if (Field == nullptr)
      return Fallback.value_or(Min);
    const bool IsValid = Field->is_number_integer() &&
                         (!Field->is_number_unsigned() ||
                          Field->get<uint64_t>() <= uint64_t{INT64_MAX});
    if (!IsValid || Field->get<int64_t>() < Min) {
      this->note(concat("\"", Name, "\" is no whole number of at least ", Min));
      return Min;
    }
    return Field->get<int64_t>();
  }

  /// @return whether the field is present and true.
  bool flag(const char *Name) {
    const json *Field = this->find(Name, false);
    if (Field == nullptr)
      return false;
    if (!Field->is_boolean()) {
      this->note(concat("\"", Name, "\" is neither true nor false"));
      return false;
    }
    return Field->get<bool>();
  }

  const json *find(const char *Name, bool Required) {
    if (!this->Object.is_object())
      return nullptr;
    const auto Found = this->Object.find(Name);
    if (Found != this->Object.end() && !Found->is_null())
      return &*Found;
    if (Required)
      this->note(concat("\"", Name, "\" is missing"));
    return nullptr;
  }

  void note(std::string Detail) {
    if (this->FirstError.empty())
      this->FirstError = std::move(Detail);
  }

  /// The first error; empty: none.
  std::string FirstError;

private:
  const json &Object;
};

/// @return the value; a discarded one if the text is not JSON.
json parseJson(std::string_view Text) {
  return json::parse(Text.begin(), Text.end(), nullptr, false);
}

/// @return the text of the first message of a chat completion; empty if there
///         is none.
std::string firstMessage(const json &Value) {
  const auto Messages = Value.find("messages");
  const bool IsValid = Messages != Value.end() && Messages->is_array() &&
                       !Messages->empty() && Messages->front().is_object();
  if (!IsValid)
    return {};
  const auto Content = Messages->front().find("content");
  const bool HasText =
      Content != Messages->front().end() && Content->is_string();
  return HasText ? Content->get<std::string>() : std::string();
}

/// @param Chat whether the body has messages instead of a prompt.
Result<CallerRequest> parseCompletion(std::string_view Body, bool Chat) {
  const json Value = parseJson(Body);
  FieldReader Fields(Value);
  CompletionRequest Request;
  Request.Model = Fields.text("model", true);
  Request.Stream = Fields.flag("stream");
  Request.Chat = Chat;
  Request.MaxTokens = Fields.number("max_tokens", 0, 0);
  if (Chat && Fields.find("messages", true) != nullptr)
    Request.PromptPrefix = firstMessage(Value);
  if (!Chat)
    Request.PromptPrefix = Fields.text("prompt", true);
  if (Request.PromptPrefix.size() > AffinityPrefixBytes)
    Request.PromptPrefix.resize(AffinityPrefixBytes);
  if (!Fields.FirstError.empty())
    return badInput(Fields.FirstError);
  return CallerRequest{Request};
}

/// @return the first error; empty: none.
std::string parseGroup(const json &Value, wire::GroupSpec &Group) {
  FieldReader Fields(Value);
  Group.Group = Fields.text("group", true);
  Group.Prompt = Fields.text("prompt", true);
  Group.MaxTokens = Fields.number("max_tokens", 1, std::nullopt);
  Group.Scorer = Fields.text("scorer", false);
  const int64_t Samples = Fields.number("samples", 1, std::nullopt);
  if (Samples > MaxSamplesPerGroup)
    Fields.note(concat("\"samples\" is over ", MaxSamplesPerGroup));
  Group.Samples = static_cast<int32_t>(Samples);
  const json *Parameters = Fields.find("parameters", false);
  if (Parameters != nullptr && !Parameters->is_object())
    Fields.note("\"parameters\" is no object");
  if (Parameters != nullptr)
    Group.Parameters =
        Parameters->dump(-1, ' ', false, json::error_handler_t::replace);
  if (Group.Group.empty())
    Fields.note("\"group\" is empty");
  return Fields.FirstError;
}

Result<CallerRequest> parseSubmit(std::string_view Body) {
  const json Value = parseJson(Body);
  FieldReader Fields(Value);
  SubmitRequest Request;
  Request.Trainer = TrainerId{Fields.text("trainer", true)};
  Request.Step = Fields.number("step", 0, std::nullopt);
  Request.Model = Fields.text("model", true);
  const json *Groups = Fields.find("groups", true);
  if (Groups != nullptr && !Groups->is_array())
    Fields.note("\"groups\" is no array");
  if (Request.Trainer.Value.empty())
    Fields.note("\"trainer\" is empty");
  if (!Fields.FirstError.empty())
    return badInput(Fields.FirstError);
  if (Groups->size() > MaxGroupsPerSubmit)
    return badInput(concat("over ", MaxGroupsPerSubmit, " groups"));
  for (const json &Entry : *Groups) {
    wire::GroupSpec Group;
    const std::string FirstError = parseGroup(Entry, Group);
    if (!FirstError.empty())
      return badInput(
          concat("groups[", Request.Groups.size(), "]: ", FirstError));
    Request.Groups.push_back(std::move(Group));
  }
  return CallerRequest{std::move(Request)};
}

Result<CallerRequest> parsePull(std::string_view Body) {
  const json Value = parseJson(Body);
  FieldReader Fields(Value);
  PullRequest Request;
  Request.Trainer = TrainerId{Fields.text("trainer", true)};
  Request.Cursor = Fields.text("cursor", false);
  Request.Resume = Fields.flag("resume");
  Request.Version = WeightVersion{Fields.number("version", -1, -1)};
  Request.MaxSamples = Fields.number("max_samples", 0, 0);
  Request.Wait = Millis{Fields.number("wait_ms", 0, 0)};
  if (Request.Trainer.Value.empty())
    Fields.note("\"trainer\" is empty");
  if (!Fields.FirstError.empty())
    return badInput(Fields.FirstError);
  return CallerRequest{std::move(Request)};
}

Result<CallerRequest> parseWeights(std::string_view Body) {
  const json Value = parseJson(Body);
  FieldReader Fields(Value);
  WeightsRequest Request;
  Request.Model = Fields.text("model", true);
  Request.Version = WeightVersion{Fields.number("version", 0, std::nullopt)};
  Request.Location = Fields.text("location", false);
  if (!Fields.FirstError.empty())
    return badInput(Fields.FirstError);
  return CallerRequest{std::move(Request)};
}

Result<CallerRequest> parseService(const RequestParts &Parts) {
  std::string_view Rest = Parts.Path.substr(ServicesPrefix.size());
  const size_t Slash = Rest.find('/');
  ServiceRequest Request;
  Request.Service = std::string(Rest.substr(0, Slash));
  Rest.remove_prefix(std::min(Slash, Rest.size()));
  Request.Path = Rest.empty() ? "/" : std::string(Rest);
  if (!Parts.Query.empty())
    Request.Path += concat("?", Parts.Query);
  if (Request.Service.empty())
    return badInput("the path names no service");
  return CallerRequest{std::move(Request)};
}

/// @return the value of a query parameter, not decoded; empty if absent.
std::string parameter(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    const size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    const size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return std::string(Pair.substr(Equals + 1));
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return {};
}

CallerRequest parseExplain(std::string_view Query) {
  ExplainRequest Request;
  Request.Caller = parameter(Query, "caller");
  Request.Trainer = parameter(Query, "trainer");
  Request.Service = parameter(Query, "service");
  Request.Method = parameter(Query, "method");
  Request.Path = parameter(Query, "path");
  Request.Model = parameter(Query, "model");
  return Request;
}

} // namespace

Result<CallerRequest> parseCallerRequest(const RequestParts &Parts) {
  if (Parts.Path.substr(0, ServicesPrefix.size()) == ServicesPrefix)
    return parseService(Parts);
  const bool Post = Parts.Method == "POST";
  if (Post && Parts.Path == "/v1/completions")
    return parseCompletion(Parts.Body, false);
  if (Post && Parts.Path == "/v1/chat/completions")
    return parseCompletion(Parts.Body, true);
  if (Post && Parts.Path == "/v1/steps")
    return parseSubmit(Parts.Body);
  if (Post && Parts.Path == "/v1/samples")
    return parsePull(Parts.Body);
  if (Post && Parts.Path == "/v1/weights")
    return parseWeights(Parts.Body);
  if (Parts.Method == "GET" && Parts.Path == "/admin/status")
    return CallerRequest{StatusRequest{}};
  if (Parts.Method == "GET" && Parts.Path == "/admin/explain")
    return parseExplain(Parts.Query);
  return Error{ErrorKind::NotFound,
               concat("nothing serves ", Parts.Method, " ", Parts.Path),
               "use one of the paths in docs/openapi.yaml"};
}

} // namespace camphornotch
