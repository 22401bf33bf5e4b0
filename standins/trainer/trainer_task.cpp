/// @file
/// Submits steps, pulls samples and announces weights.

#include "standins/trainer/trainer_task.h"
#include "standins/common/json_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace camphornotch::standin {

namespace {

/// How long the entry holds a pull that has no samples.
constexpr Millis PullWait{500};

constexpr Millis CallTimeout{5000};

constexpr Millis SubmitTimeout{15000};

/// Shortest wait before a failed call is retried.
constexpr Millis RetryWait{100};

/// Longest wait before a refused call is retried.
constexpr Millis MaxRetryWait{1000};

/// Interval at which the store is asked for the newest version.
constexpr Millis VersionPoll{200};

/// Most samples of one pull.
constexpr int64_t BatchSamples = 64;

/// Tokens of a long group as a multiple of the usual tokens.
constexpr int64_t LongGroupFactor = 10;

/// @param Result a call that failed or was refused.
/// @return how long to wait before the retry.
Millis retryWait(const CallResult &Result) {
  if (Result.Status == 0) {
    return RetryWait;
  }
  return std::clamp(parseRefusal(Result.Body).RetryAfter, RetryWait,
                    MaxRetryWait);
}

} // namespace

TrainerTask::TrainerTask(Loop &Events, HttpClient &Http, EntryCaller &Entries,
                         TrainerSettings InitialSettings)
    : Events(Events), Http(Http), Entries(Entries),
      Settings(std::move(InitialSettings)),
      SampleLedger(this->Settings.MaxAge, !this->Settings.Scorer.empty()),
      IdleSince(Events.now()), StartedAt(Events.now()),
      Server(Events, this->Settings.Port,
             {[](const Exchange &Waiting) {
                answerJson(Waiting, 404, {{"error", "unknown path"}});
              },
              [this](const HttpRequest &) { return this->record(); },
              [this](const nlohmann::json &Fault) {
                this->Settings.Steps = this->SubmittedSteps;
                return textOf(Fault, "kind") == "stop";
              },
              nullptr}) {
  this->submitDue();
  this->pull();
  this->pollVersion();
}

void TrainerTask::submitDue() {
  while (this->SubmittedSteps < this->Settings.Steps &&
         this->SubmittedSteps <=
             this->TrainedSteps + this->Settings.StepsAhead) {
    const int64_t Step = ++this->SubmittedSteps;
    nlohmann::json Groups = nlohmann::json::array();
    for (int64_t Index = 0; Index < this->Settings.Groups; ++Index) {
      const std::string Group = absl::StrCat("g", Index);
      const std::string Prompt = this->promptOf(Step, Index);
      this->SampleLedger.expectSamples(Step, Group, Prompt,
                                       this->Settings.Samples);
      Groups.push_back({{"group", Group},
                        {"samples", this->Settings.Samples},
                        {"prompt", Prompt},
                        {"max_tokens", this->Settings.MaxTokens},
                        {"scorer", this->Settings.Scorer},
                        {"parameters", nlohmann::json::object()}});
    }
    this->submit({{"trainer", this->Settings.Name},
                  {"step", Step},
                  {"model", this->Settings.Model},
                  {"groups", Groups}});
  }
}

void TrainerTask::submit(const nlohmann::json &Body) {
  this->Entries.send(EntryCaller::post("/v1/steps", Body, SubmitTimeout),
                     [this, Body](const CallResult &Result) {
                       if (Result.Status == 200) {
                         return;
                       }
                       if (Result.Status == 0) {
                         ++this->BrokenCalls;
                       } else {
                         ++this->Refusals[parseRefusal(Result.Body).Reason];
                       }
                       this->Events.callAfter(retryWait(Result), [this, Body] {
                         this->submit(Body);
                       });
                     });
}

void TrainerTask::pull() {
  const int64_t SentVersion = this->Version;
  this->Entries.send(EntryCaller::post("/v1/samples",
                                       {{"trainer", this->Settings.Name},
                                        {"cursor", this->Cursor},
                                        {"resume", false},
                                        {"version", SentVersion},
                                        {"max_samples", BatchSamples},
                                        {"wait_ms", PullWait.Count}},
                                       CallTimeout),
                     [this, SentVersion](const CallResult &Result) {
                       this->onPulled(Result, SentVersion);
                     });
}

void TrainerTask::onPulled(const CallResult &Result, int64_t SentVersion) {
  if (Result.Status == 200) {
    const nlohmann::json Body = parseJson(Result.Body);
    this->Cursor = textOf(Body, "cursor");
    for (const nlohmann::json &Sample : arrayOf(Body, "samples")) {
      this->SampleLedger.receive(Sample, SentVersion);
    }
    this->trainIfComplete();
    this->Events.callAfter(Millis{1}, [this] { this->pull(); });
    return;
  }
  if (Result.Status == 0) {
    ++this->BrokenCalls;
  } else {
    ++this->Refusals[parseRefusal(Result.Body).Reason];
  }
  this->Events.callAfter(retryWait(Result), [this] { this->pull(); });
}

void TrainerTask::trainIfComplete() {
  const int64_t Step = this->TrainedSteps + 1;
  if (this->Training || Step > this->SubmittedSteps ||
      this->SampleLedger.missing(Step) > 0) {
    return;
  }
  this->IdleTime += this->Events.now() - this->IdleSince;
  this->Training = true;
  this->Events.callAfter(this->Settings.TrainTime,
                         [this] { this->onTrained(); });
}

void TrainerTask::onTrained() {
  this->Training = false;
  ++this->TrainedSteps;
  this->IdleSince = this->Events.now();
  this->FinishedAt = this->Events.now();
  if (this->Settings.AnnounceWeights) {
    this->storeWeights(++this->Version);
  }
  this->submitDue();
  this->trainIfComplete();
}

void TrainerTask::announce(int64_t Version) {
  const nlohmann::json Body = {
      {"model", this->Settings.Model},
      {"version", Version},
      {"location", absl::StrCat("http://", this->Settings.Store.Address, ":",
                                this->Settings.Store.Port, "/v1/weights/",
                                this->Settings.Model, "/", Version)}};
  this->announceToEntries(Body);
}

void TrainerTask::storeWeights(int64_t Version) {
  HttpCall Call =
      EntryCaller::post(this->modelPath(), {{"newest", Version}}, CallTimeout);
  Call.Target = this->Settings.Store;
  const auto Retry = [this, Version] {
    this->Events.callAfter(RetryWait,
                           [this, Version] { this->storeWeights(Version); });
  };
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this, Version, Retry](const HttpResponse &Response) {
    if (Response.Status == 200) {
      this->announce(Version);
    } else {
      Retry();
    }
  };
  Callbacks.Failed = [Retry](const HttpFailure &) { Retry(); };
  this->Http.start(std::move(Call), std::move(Callbacks));
}

void TrainerTask::announceToEntries(const nlohmann::json &Body) {
  this->Entries.send(EntryCaller::post("/v1/weights", Body, CallTimeout),
                     [this, Body](const CallResult &Result) {
                       if (Result.Status == 200) {
                         return;
                       }
                       this->Events.callAfter(retryWait(Result), [this, Body] {
                         this->announceToEntries(Body);
                       });
                     });
}

void TrainerTask::pollVersion() {
  HttpCall Call;
  Call.Target = this->Settings.Store;
  Call.Path = this->modelPath();
  Call.Timeout = CallTimeout;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this](const HttpResponse &Response) {
    this->Version =
        std::max(this->Version, intOf(parseJson(Response.Body), "newest", 1));
    this->Events.callAfter(VersionPoll, [this] { this->pollVersion(); });
  };
  Callbacks.Failed = [this](const HttpFailure &) {
    this->Events.callAfter(VersionPoll, [this] { this->pollVersion(); });
  };
  this->Http.start(std::move(Call), std::move(Callbacks));
}

bool TrainerTask::done() const {
  return this->TrainedSteps >= this->Settings.Steps;
}

nlohmann::json TrainerTask::record() {
  nlohmann::json Record = this->SampleLedger.toJson();
  const Millis Now = this->done() ? this->FinishedAt : this->Events.now();
  const bool IsIdle = !this->done() && !this->Training;
  const Millis CurrentIdleTime = IsIdle ? Now - this->IdleSince : Millis{0};
  Record["name"] = this->Settings.Name;
  Record["done"] = this->done();
  Record["steps"] = this->TrainedSteps;
  Record["version"] = this->Version;
  Record["idle_ms"] = (this->IdleTime + CurrentIdleTime).Count;
  Record["elapsed_ms"] = (Now - this->StartedAt).Count;
  Record["refusals"] = this->Refusals;
  Record["broken_calls"] = this->BrokenCalls;
  return Record;
}

std::string TrainerTask::promptOf(int64_t Step, int64_t Group) const {
  const PromptHash Hash =
      hashPrompt(absl::StrCat(this->Settings.Name, Step, "/", Group));
  const bool Long =
      static_cast<int64_t>(Hash.Value % 1000) < this->Settings.LongGroups;
  const int64_t Tokens =
      this->Settings.UsualTokens * (Long ? LongGroupFactor : 1);
  std::string Prompt = absl::StrCat(this->Settings.Name, " step ", Step,
                                    " group ", Group, " len=", Tokens, " ");
  const auto Bytes = static_cast<size_t>(this->Settings.PromptBytes);
  Prompt.resize(std::max(Prompt.size(), Bytes), 'p');
  return Prompt;
}

std::string TrainerTask::modelPath() const {
  return absl::StrCat("/v1/models/", this->Settings.Model);
}

} // namespace camphornotch::standin
