/// @file
/// Calls any of the entries.

#include "standins/common/entry_caller.h"
#include "standins/common/json_func.h"

#include <cstdio>
#include <cstdlib>

namespace camphornotch::standin {

namespace {

/// Exit code for targets that cannot be understood.
constexpr int ExitBadTarget = 2;

} // namespace

ParsedRefusal parseRefusal(std::string_view Body) {
  const nlohmann::json Json = parseJson(Body);
  ParsedRefusal Refusal;
  Refusal.Reason = textOf(Json, "reason");
  Refusal.NotRun = textOf(Json, "run_state") == "not_run";
  Refusal.RetryAfter = Millis{intOf(Json, "retry_after_ms", 100)};
  return Refusal;
}

EntryCaller::EntryCaller(HttpClient &Http, std::string_view Targets,
                         std::string_view Caller, uint64_t Seed)
    : Http(Http), Caller(Caller), Random(Seed) {
  while (!Targets.empty()) {
    const size_t Comma = std::min(Targets.find(','), Targets.size());
    const auto Target = parseTarget(Targets.substr(0, Comma));
    if (!Target.has_value()) {
      std::fprintf(stderr, "--entries: write ip:port,ip:port\n");
      std::exit(ExitBadTarget);
    }
    this->Entries.push_back(Target.value());
    Targets.remove_prefix(std::min(Comma + 1, Targets.size()));
  }
}

void EntryCaller::send(HttpCall Call, const Handler &Tell) {
  Call.Target = this->Entries[this->Random() % this->Entries.size()];
  Call.Headers.push_back({"X-Caller", this->Caller});
  Call.Headers.push_back({"Content-Type", "application/json"});
  HttpEvents Events;
  Events.Finished = [Tell](const HttpResponse &Response) {
    Tell({Response.Status, Response.Body, false});
  };
  Events.Failed = [Tell](const HttpFailure &Failure) {
    Tell({0, "", Failure.NotSent});
  };
  this->Http.start(std::move(Call), std::move(Events));
}

HttpCall EntryCaller::post(std::string_view Path, const nlohmann::json &Body,
                           Millis Timeout) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = Path;
  Call.Body = jsonText(Body);
  Call.Timeout = Timeout;
  return Call;
}

} // namespace camphornotch::standin
