/// @file
/// The agent's client of its endpoint: cancel, probes, version and orders.

#include "daemon/agent_endpoint_base.h"

#include "base/http_status_type.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphornotch {

namespace {

using Json = nlohmann::json;

/// Time for a probe or a question.
constexpr Millis ProbeTimeout{1000};
/// Time for a cancel.
constexpr Millis CancelTimeout{1000};

/// @param Body an answer.
/// @return the version that it names; -1 if none.
WeightVersion versionOf(const std::string &Body) {
  const Json Parsed = Json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("version") ||
      !Parsed["version"].is_number_integer())
    return WeightVersion{-1};
  return WeightVersion{Parsed["version"].get<int64_t>()};
}

/// @param Body the engine's list of streams.
/// @return the request ids in it.
std::vector<std::string> streamsOf(const std::string &Body) {
  std::vector<std::string> Streams;
  const Json Parsed = Json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("streams"))
    return Streams;
  for (const Json &Each : Parsed["streams"]) {
    if (Each.is_string())
      Streams.push_back(Each.get<std::string>());
  }
  return Streams;
}

} // namespace

HttpCall EndpointClient::cancelCall(const std::string &StreamId) const {
  const Json Body = {{"request_id", StreamId}};
  HttpCall Call =
      this->makeCall("POST", "/v1/cancel",
                     Body.dump(-1, ' ', false, Json::error_handler_t::replace));
  Call.Headers.push_back({"Content-Type", "application/json"});
  Call.Timeout = CancelTimeout;
  return Call;
}

void EndpointClient::cancelStray(const CancelStray &Action) {
  HttpCallbacks Tells;
  Tells.Finished = [](const HttpResponse &) {};
  Tells.Failed = [](const HttpFailure &) {};
  this->Http.start(this->cancelCall(Action.StreamId), std::move(Tells));
}

void EndpointClient::probe(const ProbeEndpoint &Action) {
  HttpCall Call = this->makeCall(
      "GET", this->Config.IsEngine ? "/v1/streams" : "/healthz", {});
  Call.Timeout = ProbeTimeout;
  // A kept connection may be the one that broke.
  Call.Reuse = false;
  const int64_t Probe = Action.Probe;
  HttpCallbacks Tells;
  Tells.Finished = [this, Probe](const HttpResponse &Response) {
    const bool Alive = Response.Status == StatusOk;
    this->Tell(ProbeAnswered{Probe, Alive, streamsOf(Response.Body)});
  };
  Tells.Failed = [this, Probe](const HttpFailure &) {
    this->Tell(ProbeAnswered{Probe, false, {}});
  };
  this->Http.start(std::move(Call), std::move(Tells));
}

void EndpointClient::order(const SendOrder &Action) {
  const Json Body = {{"order", "load_weights"},
                     {"model", this->Config.Model},
                     {"version", Action.Version.Value},
                     {"location", Action.Location},
                     {"fence", Action.Fence.Value}};
  HttpCall Call =
      this->makeCall("POST", "/v1/orders",
                     Body.dump(-1, ' ', false, Json::error_handler_t::replace));
  Call.Headers.push_back({"Content-Type", "application/json"});
  Call.Timeout = this->Config.OrderTimeout;
  Call.Reuse = false;
  const int64_t Order = Action.Order;
  HttpCallbacks Tells;
  Tells.Finished = [this, Order](const HttpResponse &Response) {
    if (Response.Status == StatusOk) {
      this->Tell(WeightNews{OrderDone{Order, versionOf(Response.Body)}});
      return;
    }
    const bool Stale = Response.Status == StatusConflict;
    this->Tell(WeightNews{OrderFailed{Order, Stale}});
  };
  Tells.Failed = [this, Order](const HttpFailure &Failure) {
    if (Failure.NotSent)
      this->Tell(WeightNews{OrderFailed{Order}});
    else
      this->Tell(WeightNews{OrderLost{Order}});
  };
  this->Http.start(std::move(Call), std::move(Tells));
}

void EndpointClient::ask(const AskVersion &Action) {
  HttpCall Call = this->makeCall("GET", "/v1/version", {});
  Call.Timeout = ProbeTimeout;
  Call.Reuse = false;
  const int64_t Query = Action.Query;
  HttpCallbacks Tells;
  Tells.Finished = [this, Query](const HttpResponse &Response) {
    const WeightVersion Version = versionOf(Response.Body);
    if (Response.Status == StatusOk && Version.Value >= 0)
      this->Tell(WeightNews{VersionAnswered{Query, Version}});
    else
      this->Tell(WeightNews{VersionUnanswered{Query}});
  };
  Tells.Failed = [this, Query](const HttpFailure &) {
    this->Tell(WeightNews{VersionUnanswered{Query}});
  };
  this->Http.start(std::move(Call), std::move(Tells));
}

} // namespace camphornotch
