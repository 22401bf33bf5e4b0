/// @file
/// Gateway process: answers readiness probes and metrics scrapes.

#include "base/http_status_type.h"
#include "gateway/client_limits_func.h"
#include "gateway/gateway_base.h"
#include "platform/operator_func.h"

namespace camphornotch {

std::string_view Gateway::whyNotReady() const {
  if (this->StopRequestedAt > Millis{0})
    return "stopping";
  if (this->Routes.Version == 0)
    return "no configuration yet";
  if (!this->Directory.complete())
    return "endpoints not read yet";
  return "";
}

void Gateway::onProbe(const std::shared_ptr<HttpExchange> &Exchange) {
  HttpResponse Response;
  Response.ContentType = "text/plain";
  if (platform::isReadinessProbe(Exchange->request())) {
    const std::string_view Why = this->whyNotReady();
    Response.Status = Why.empty() ? StatusOk : StatusUnavailable;
    Response.Body = Why.empty() ? "ready" : Why;
  } else if (Exchange->request().Path == "/metrics") {
    this->setGauges();
    Response.Body = this->Counts.text();
  } else {
    Response.Status = StatusNotFound;
  }
  Exchange->answer(Response);
}

void Gateway::setGauges() {
  const ItemScheduler &Items = this->Batches.scheduler();
  const auto Set = [this](const char *Name, const char *Help, double Value) {
    this->Counts.gauge(Name, Help).Set(Value);
  };
  if (this->Limits != nullptr)
    setLimitGauges(this->Counts, this->Limits->controller());
  setLogGauge(this->Counts);
  Set("items_waiting", "Items that wait for an engine.",
      static_cast<double>(Items.waiting()));
  Set("items_running", "Items at engines or being scored.",
      static_cast<double>(Items.running()));
  Set("partitions_owned", "Partitions that this gateway owns.",
      static_cast<double>(this->Batches.owned()));
  Set("requests_open", "Requests that are being forwarded.",
      static_cast<double>(this->Forward.running()));
  Set("config_version", "Version of the configuration in force.",
      static_cast<double>(this->Routes.Version));
}

} // namespace camphornotch
