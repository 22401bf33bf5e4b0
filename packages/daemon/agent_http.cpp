/// @file
/// The agent's HTTP side: probes, metrics and status.

#include "daemon/agent_task_base.h"

#include "base/http_status_type.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphornotch {

namespace {

/// @param Status the status.
/// @param Body the body.
/// @param ContentType its type.
/// @return a response.
HttpResponse respond(int Status, std::string Body,
                     std::string ContentType = "application/json") {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = std::move(Body);
  Response.ContentType = std::move(ContentType);
  return Response;
}

} // namespace

void AgentTask::onHttp(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/healthz") {
    Exchange->answer(respond(200, R"({"alive":true})"));
  } else if (Path == "/readyz") {
    const bool Ready = this->Controller.ready();
    Exchange->answer(respond(Ready ? 200 : StatusUnavailable, this->status()));
  } else if (Path == "/metrics") {
    this->updateGauges();
    Exchange->answer(
        respond(200, this->Counters.text(), "text/plain; version=0.0.4"));
  } else if (Path == "/v1/status") {
    Exchange->answer(respond(200, this->status()));
  } else {
    Exchange->answer(respond(
        StatusNotFound,
        R"({"reason":"unknown_path","remedy":"use /v1/status or /metrics"})"));
  }
}

std::string AgentTask::status() const {
  const wire::LoadFigure Load = this->Controller.load(this->Events.now());
  const nlohmann::json Status = {
      {"role", "agent"},
      {"host", this->Settings.Common.Host},
      {"boot", this->Boot.Value},
      {"endpoint", this->Settings.EndpointName},
      {"serves", this->Settings.Serves},
      {"ready", this->Controller.ready()},
      {"leaving", Load.Leaving},
      {"fence", this->Fence},
      {"config_offset", this->Controller.configOffset().Value},
      {"version", Load.Version},
      {"swapping", Load.Swapping},
      {"slots", Load.Slots},
      {"running", Load.Running},
      {"queued", Load.Queued},
      {"queued_tokens", Load.QueuedTokens},
      {"token_micros", Load.TokenMicros},
      {"expected_wait_ms", Load.ExpectedWaitMs},
      {"short_wait_ms", Load.ShortWaitMs}};
  return Status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void AgentTask::updateGauges() {
  const auto Set = [this](const char *Name, const char *Help, int64_t Value) {
    this->Counters.gauge(Name, Help).Set(static_cast<double>(Value));
  };
  const wire::LoadFigure Load = this->Controller.load(this->Events.now());
  Set("agent_slots", "Places at the endpoint.", Load.Slots);
  Set("agent_running", "Work running at the endpoint.", Load.Running);
  Set("agent_queued", "Work waiting in the agent.", Load.Queued);
  Set("agent_queued_tokens", "Tokens still to generate.", Load.QueuedTokens);
  Set("agent_token_micros", "Microseconds a token.", Load.TokenMicros);
  Set("agent_weight_version", "Confirmed version; -1: unknown.", Load.Version);
  Set("agent_leaving", "Whether the agent is leaving.", Load.Leaving ? 1 : 0);
  Set("config_offset", "Offset of the configuration in force.",
      this->Controller.configOffset().Value);
  const LinkCounters Links = this->Links.counters();
  Set("link_bytes_in", "Bytes received over links.",
      static_cast<int64_t>(Links.BytesIn));
  Set("link_bytes_out", "Bytes sent over links.",
      static_cast<int64_t>(Links.BytesOut));
  const AgentCounts &Counts = this->Controller.counts();
  Set("agent_work_finished", "Work finished since the boot.", Counts.Finished);
  Set("agent_late_answers", "Answers for attempts that had ended.",
      Counts.LateAnswers);
  Set("agent_endpoint_crashes", "Crashes of the endpoint.", Counts.Crashes);
  Set("agent_unknown_labels", "Outputs whose label is not known.",
      Counts.UnknownLabels);
  Set("agent_orphans", "Work dropped with its entry.", Counts.Orphans);
  Set("agent_stray_streams", "Streams of earlier boots.", Counts.Strays);
  const AdmissionCounts &Admitted = this->Controller.admissionCounts();
  Set("agent_work_started", "Work started at the endpoint.", Admitted.Started);
  Set("agent_preempted", "Runs preempted for short work.", Admitted.Preempted);
  const WeightCounts &Swaps = this->Controller.weightCounts();
  Set("agent_swaps_done", "Swaps confirmed.", Swaps.Swapped);
  Set("agent_swaps_failed", "Swaps failed.", Swaps.Failed);
  Set("agent_swaps_unanswered", "Swaps without answer.", Swaps.Unanswered);
}

} // namespace camphornotch
