/// @file
/// Client of the platform's list of hosts.

#include "net/host_list_base.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace camphornotch {

namespace {

/// For one call.
constexpr Millis CallTimeout = seconds(2);

/// @return the string field of that name; empty if it is absent or no string.
std::string textOf(const nlohmann::json &Json, const char *Name) {
  const auto Found = Json.find(Name);
  const bool Valid = Found != Json.end() && Found->is_string();
  return Valid ? Found->get<std::string>() : std::string();
}

/// @return the host, or nothing if its fields are missing or invalid.
std::optional<HostEntry> parseHost(const nlohmann::json &Json) {
  if (!Json.is_object())
    return std::nullopt;
  HostEntry Host;
  Host.Host = HostId{textOf(Json, "host")};
  const std::string Role = textOf(Json, "role");
  Host.IsAgent = Role == "agent";
  Host.DataCentre = DataCentreId{textOf(Json, "data_centre")};
  Host.Region = RegionId{textOf(Json, "region")};
  Host.Leaving = textOf(Json, "state") == "leaving";
  Host.Endpoint = EndpointId{textOf(Json, "endpoint")};
  Host.EndpointKind = textOf(Json, "endpoint_kind");
  Host.Serves = textOf(Json, "serves");
  const auto Address = parseTarget(textOf(Json, "address"));
  const auto Http = parseTarget(textOf(Json, "http"));
  const bool Valid = !Host.Host.Value.empty() && Address && Http &&
                     (Host.IsAgent || Role == "entry");
  if (!Valid)
    return std::nullopt;
  Host.Address = Address.value();
  Host.Http = Http.value();
  return Host;
}

} // namespace

Result<HostList> parseHostList(std::string_view Json) {
  const auto Root = nlohmann::json::parse(Json, nullptr, false);
  const bool Valid =
      Root.is_object() && Root.contains("hosts") && Root["hosts"].is_array();
  if (!Valid)
    return Error{ErrorKind::BadInput,
                 "the response of the host list has no array \"hosts\"",
                 "check that the address is that of the host list"};
  HostList List;
  const auto Generation = Root.find("generation");
  if (Generation != Root.end() && Generation->is_number_integer())
    List.Generation = Generation->get<int64_t>();
  for (const nlohmann::json &Entry : Root["hosts"])
    if (auto Host = parseHost(Entry))
      List.Hosts.push_back(std::move(*Host));
  return List;
}

HostListPoller::HostListPoller(Loop &Events, HttpClient &Http,
                               HttpTarget Target, DataCentreId DataCentre,
                               Millis Interval, Handler OnList)
    : Events(Events), Http(Http), Target(std::move(Target)),
      DataCentre(std::move(DataCentre)), Interval(Interval),
      OnList(std::move(OnList)) {
  this->poll();
}

HostListPoller::~HostListPoller() {
  this->Http.cancel(this->Call);
  this->Events.cancel(this->PollTimer);
}

void HostListPoller::poll() {
  HttpCall Request;
  Request.Target = this->Target;
  Request.Path = "/v1/hosts?from=" + percentEncode(this->DataCentre.Value);
  Request.Timeout = CallTimeout;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this](const HttpResponse &Response) {
    const auto List = parseHostList(Response.Body);
    if (Response.Status == 200 && List)
      this->OnList(List.value());
    this->schedulePoll();
  };
  Callbacks.Failed = [this](const HttpFailure &) { this->schedulePoll(); };
  this->Call = this->Http.start(std::move(Request), std::move(Callbacks));
}

void HostListPoller::schedulePoll() {
  this->PollTimer =
      this->Events.callAfter(this->Interval, [this] { this->poll(); });
}

} // namespace camphornotch
