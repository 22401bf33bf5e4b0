/// @file
/// Sends calls to random ready entries.

#include "standins/common/entry_caller.h"
#include "standins/common/json_func.h"

#include <cstdio>
#include <cstdlib>

namespace camphornotch::standin {

namespace {

/// Exit code if the list of targets cannot be parsed.
constexpr int ExitBadTarget = 2;

/// Time between readiness probes of an entry.
constexpr Millis ProbeInterval{100};

/// An entry that has not answered a probe by then counts as not ready.
constexpr Millis ProbeTimeout{500};

} // namespace

ParsedRefusal parseRefusal(std::string_view Body) {
  const nlohmann::json Json = parseJson(Body);
  ParsedRefusal Refusal;
  Refusal.Reason = textOf(Json, "reason");
  Refusal.NotRun = textOf(Json, "run_state") == "not_run";
  Refusal.RetryAfter = Millis{intOf(Json, "retry_after_ms", 100)};
  return Refusal;
}

EntryCaller::EntryCaller(Loop &Events, HttpClient &Http,
                         std::string_view Targets, std::string_view Caller,
                         uint64_t Seed)
    : Events(Events), Http(Http), Caller(Caller), Random(Seed) {
  while (!Targets.empty()) {
    const size_t Comma = std::min(Targets.find(','), Targets.size());
    const auto Target = parseTarget(Targets.substr(0, Comma));
    if (!Target.has_value()) {
      std::fprintf(stderr, "--entries: write ip:port,ip:port\n");
      std::exit(ExitBadTarget);
    }
    this->Entries.push_back({Target.value(), true});
    Targets.remove_prefix(std::min(Comma + 1, Targets.size()));
  }
  for (size_t Index = 0; Index < this->Entries.size(); ++Index) {
    this->probe(Index);
  }
}

void EntryCaller::probe(size_t Index) {
  HttpCall Call;
  Call.Target = this->Entries[Index].Target;
  Call.Path = "/readyz";
  Call.Timeout = ProbeTimeout;
  Call.Reuse = false;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this, Index](const HttpResponse &Response) {
    this->onProbed(Index, Response.Status == 200);
  };
  Callbacks.Failed = [this, Index](const HttpFailure &) {
    this->onProbed(Index, false);
  };
  this->Http.start(std::move(Call), std::move(Callbacks));
}

void EntryCaller::onProbed(size_t Index, bool Ready) {
  this->Entries[Index].Ready = Ready;
  this->Events.callAfter(ProbeInterval, [this, Index] { this->probe(Index); });
}

const HttpTarget &EntryCaller::choose() {
  std::vector<size_t> Ready;
  for (size_t Index = 0; Index < this->Entries.size(); ++Index) {
    if (this->Entries[Index].Ready) {
      Ready.push_back(Index);
    }
  }
  if (Ready.empty()) {
    return this->Entries[this->Random() % this->Entries.size()].Target;
  }
  return this->Entries[Ready[this->Random() % Ready.size()]].Target;
}

void EntryCaller::send(HttpCall Call, const Handler &OnResult) {
  Call.Target = this->choose();
  Call.Headers.push_back({"X-Caller", this->Caller});
  Call.Headers.push_back({"Content-Type", "application/json"});
  HttpCallbacks Callbacks;
  Callbacks.Finished = [OnResult](const HttpResponse &Response) {
    OnResult({Response.Status, Response.Body, false});
  };
  Callbacks.Failed = [OnResult](const HttpFailure &Failure) {
    OnResult({0, "", Failure.NotSent});
  };
  this->Http.start(std::move(Call), std::move(Callbacks));
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
