/// @file
/// The entry's HTTP front.

#include "daemon/http_front_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/refusal_func.h"
#include "base/text_func.h"
#include "net/link_settings_func.h"

namespace camphornotch {

namespace {

/// Upper bounds of the latency buckets, in milliseconds.
const prometheus::Histogram::BucketBoundaries LatencyBoundsMs{
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10'000, 60'000};

/// The type of Prometheus's text format.
constexpr const char *MetricsType = "text/plain; version=0.0.4";

} // namespace

HttpFront::HttpFront(Loop &Events, const EntrySettings &Settings,
                     const LogTask &Log, const ConfigTask &Configs,
                     Metrics &Counters, RequestSink Sink,
                     FrontQuestions Questions)
    : Events(Events), Settings(Settings), Log(Log), Configs(Configs),
      Counters(Counters), Sink(std::move(Sink)),
      Questions(std::move(Questions)),
      IdPrefix(concat(Settings.Common.Host, "-",
                      randomBootId().Value % 1'000'000'000, "-")),
      Answered(Counters.counter("requests_answered_total",
                                "Requests answered, refusals included")),
      Gone(Counters.counter("requests_gone_total",
                            "Requests whose caller went away first")),
      Latency(Counters.histogram("request_ms",
                                 "Milliseconds from receipt to answer",
                                 LatencyBoundsMs)) {}

Result<uint16_t> HttpFront::listen() {
  HttpServerConfig Config;
  Config.Address = this->Settings.Common.ListenHttp.Ip;
  Config.Port = this->Settings.Common.ListenHttp.Port;
  Config.MaxBodyBytes = static_cast<size_t>(this->Settings.Common.MaxBodyBytes);
  auto Made = HttpServer::listen(
      this->Events, Config, [this](std::shared_ptr<HttpExchange> Exchange) {
        this->take(std::move(Exchange));
      });
  if (!Made)
    return Made.error();
  this->Server = std::move(Made.value());
  return this->Server->port();
}

void HttpFront::beginStop(std::function<void()> Done) {
  this->Server->beginDrain();
  this->Events.callAfter(this->Settings.StopAccept,
                         [this, Done = std::move(Done)] {
                           logLine(LogLevel::Info, "no longer accepting");
                           this->Server->beginStop(Done);
                         });
}

bool HttpFront::idle() const {
  return this->Open == 0 && this->Server->inFlight() == 0;
}

bool HttpFront::answerProbe(HttpExchange &Exchange) {
  const std::string &Path = Exchange.request().Path;
  if (Path == "/healthz") {
    Exchange.answer(HttpResponse{200, "text/plain", {}, "ok\n"});
    return true;
  }
  if (Path == "/readyz") {
    const std::string Why = this->Questions.WhyNotReady();
    const int Status = Why.empty() ? 200 : 503;
    const std::string Text = Why.empty() ? "ready" : Why;
    Exchange.answer(HttpResponse{Status, "text/plain", {}, Text + "\n"});
    return true;
  }
  if (Path == "/metrics") {
    this->Questions.BeforeMetrics();
    Exchange.answer(HttpResponse{200, MetricsType, {}, this->Counters.text()});
    return true;
  }
  return false;
}

void HttpFront::take(std::shared_ptr<HttpExchange> Exchange) {
  if (this->answerProbe(*Exchange))
    return;
  this->filter(
      std::make_shared<CallerExchange>(std::move(Exchange), steadyNow()));
}

void HttpFront::takeForwarded(std::shared_ptr<CallerExchange> Exchange) {
  this->filter(std::move(Exchange));
}

void HttpFront::filter(std::shared_ptr<CallerExchange> Exchange) {
  ++this->Open;
  Exchange->onEnded([this](const ExchangeEnd &End) { this->note(End); });
  const std::string FreshId = concat(this->IdPrefix, ++this->LastId);
  const FilterEnvironment Environment{
      *this->Configs.inForce().Rules,
      this->Log.fold().quarantined(),
      steadyNow(),
      wallNow(),
      this->Settings.DefaultDeadline,
      static_cast<size_t>(this->Settings.Common.MaxBodyBytes),
      static_cast<size_t>(this->Settings.Common.MaxOpenRequests),
      this->Open,
      FreshId};
  const auto Refused = this->Chain.apply(Exchange->Context, Environment);
  if (Refused)
    Exchange->refuse(*Refused);
  else
    this->Sink(std::move(Exchange));
}

void HttpFront::note(const ExchangeEnd &End) {
  --this->Open;
  this->Chain.release(End.Context);
  if (End.Status == 0)
    this->Gone.Increment();
  else
    this->Answered.Increment();
  this->Latency.Observe(static_cast<double>(End.Took.Count));
  const bool Refused = End.Refused != nullptr;
  if (Refused)
    this->Counters.countRefusal(End.Refused->Reason);
  const std::string Took = std::to_string(End.Took.Count);
  const std::string Status = std::to_string(End.Status);
  logLine(
      Refused ? LogLevel::Info : LogLevel::Debug,
      Refused ? "request refused" : "request ended",
      {{"request_id", End.Context.RequestId},
       {"caller", End.Context.Caller},
       {"path", End.Context.Path},
       {"status", Status},
       {"took_ms", Took},
       {"reason", Refused ? refusalSpec(End.Refused->Reason).Name : "none"}});
}

} // namespace camphornotch
