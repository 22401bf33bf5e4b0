/// @file
/// Continuous batching, weight swaps and run records of the model engine.

#include "standins/engine/engine_state.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <unistd.h>
#include <xxhash.h>

namespace camphornotch::standin {

namespace {

constexpr double MicrosPerMilli = 1000.0;

/// Precedes a number in a prompt: the completion ends after about that many
/// tokens.
constexpr std::string_view LengthMark = "len=";

/// Width of the range around that number from which a length is drawn.
constexpr uint64_t LengthSpreadPercent = 40;

/// @return the number of tokens of the completion; the same for every run of a
/// request, since it is derived from the request's identifier.
int64_t lengthOf(const RunRequest &Request) {
  const size_t Mark = Request.Prompt.find(LengthMark);
  if (Mark == std::string::npos) {
    return Request.MaxTokens;
  }
  const std::string Rest = Request.Prompt.substr(Mark + LengthMark.size(), 12);
  int64_t Length = 0;
  if (!absl::SimpleAtoi(Rest.substr(0, Rest.find_first_not_of("0123456789")),
                        &Length)) {
    return Request.MaxTokens;
  }
  const uint64_t RequestHash =
      XXH64(Request.RequestId.data(), Request.RequestId.size(), 0);
  const auto Percent = static_cast<int64_t>(
      100 - LengthSpreadPercent / 2 + RequestHash % (LengthSpreadPercent + 1));
  return std::clamp(Length * Percent / 100, int64_t{1}, Request.MaxTokens);
}

} // namespace

bool PromptCache::touch(PromptHash Hash) {
  const auto Found =
      std::find(this->Recent.begin(), this->Recent.end(), Hash.Value);
  const bool Hit = Found != this->Recent.end();
  if (Hit) {
    this->Recent.erase(Found);
  }
  this->Recent.push_front(Hash.Value);
  if (static_cast<int64_t>(this->Recent.size()) > this->Capacity) {
    this->Recent.pop_back();
  }
  return Hit;
}

int64_t EngineState::start(const RunRequest &Request, Millis Now) {
  const auto Number = static_cast<int64_t>(this->Records.size());
  RunRecord Record;
  Record.Run = Number;
  Record.Name = absl::StrCat(this->Settings.Name, ":", Number, ":", getpid());
  Record.RequestId = Request.RequestId;
  Record.Prompt = hashPrompt(Request.Prompt);
  Record.ArrivedAt = Now;
  Record.FromToken = Request.KeptTokens;
  Record.NextToken = Request.KeptTokens;
  ActiveRun Run;
  Run.Request = Request;
  Run.NextToken = Request.KeptTokens;
  Run.Length = std::max(lengthOf(Request), Request.KeptTokens + 1);
  this->Records.push_back(std::move(Record));
  this->Active.emplace(Number, std::move(Run));
  return Number;
}

std::vector<RunPart> EngineState::cancel(std::string_view RequestId) {
  std::vector<RunPart> Ended;
  for (auto It = this->Active.begin(); It != this->Active.end();) {
    if (It->second.Request.RequestId != RequestId) {
      ++It;
      continue;
    }
    RunPart Part;
    Part.Run = It->first;
    Part.Version = this->Version;
    Part.End = RunEnd::Cancelled;
    Ended.push_back(Part);
    this->Records[It->first].End = RunEnd::Cancelled;
    It = this->Active.erase(It);
  }
  return Ended;
}

void EngineState::abandon(int64_t Run) {
  if (this->Active.erase(Run) > 0) {
    this->Records[Run].End = RunEnd::Cancelled;
  }
}

std::vector<RunPart> EngineState::advance(Millis Now) {
  std::vector<RunPart> Parts;
  const Millis Start = std::max(this->AdvancedTo, this->SwapUntil);
  this->AdvancedTo = Now;
  const double Micros =
      static_cast<double>((Now - Start).Count) * MicrosPerMilli;
  if (Micros > 0) {
    for (auto It = this->Active.begin(); It != this->Active.end();) {
      if (!It->second.Running) {
        ++It;
        continue;
      }
      RunPart Part = this->generate(It->first, It->second, Micros);
      const bool Ended = Part.End != RunEnd::Running;
      if (Part.Tokens > 0) {
        Parts.push_back(std::move(Part));
      }
      It = Ended ? this->Active.erase(It) : std::next(It);
    }
  }
  this->admit();
  this->sampleLoad(Now);
  return Parts;
}

void EngineState::swapTo(int64_t NewVersion, Millis Now) {
  this->Version = NewVersion;
  this->SwapUntil = Now + Millis{this->Settings.SwapMs};
}

void EngineState::crash() {
  for (const auto &[Number, Run] : this->Active) {
    this->Records[Number].End = RunEnd::Crashed;
  }
  this->Active.clear();
}

LoadReport EngineState::load(Millis Now) const {
  LoadReport Report;
  Report.Slots = this->Settings.Slots;
  Report.MeasuredAt = Now;
  for (const LoadReport &Past : this->PastLoad) {
    if (Past.MeasuredAt + Millis{this->Settings.LoadLagMs} > Now) {
      break;
    }
    Report = Past;
  }
  return Report;
}

std::vector<std::string> EngineState::streams() const {
  std::vector<std::string> Ids;
  Ids.reserve(this->Active.size());
  for (const auto &[Number, Run] : this->Active) {
    Ids.push_back(Run.Request.RequestId);
  }
  return Ids;
}

void EngineState::admit() {
  int64_t Free = this->Settings.Slots - this->running();
  while (Free > 0) {
    auto Best = this->Active.end();
    for (auto It = this->Active.begin(); It != this->Active.end(); ++It) {
      if (!It->second.Running &&
          (Best == this->Active.end() ||
           It->second.Request.Priority > Best->second.Request.Priority)) {
        Best = It;
      }
    }
    if (Best == this->Active.end()) {
      return;
    }
    ActiveRun &Run = Best->second;
    Run.Running = true;
    const bool Cached = this->Cache.touch(hashPrompt(Run.Request.Prompt));
    const auto Bytes = static_cast<double>(Run.Request.Prompt.size());
    const auto PerByte =
        static_cast<double>(this->Settings.PrefillMicrosPerByte);
    Run.MicrosLeft = this->tokenMicros() + (Cached ? 0 : Bytes * PerByte);
    --Free;
  }
}

RunPart EngineState::generate(int64_t Number, ActiveRun &Run, double Micros) {
  RunPart Part;
  Part.Run = Number;
  Part.Version = this->Version;
  const PromptHash Hash = this->Records[Number].Prompt;
  const double PerToken = this->tokenMicros();
  while (Run.MicrosLeft <= Micros && Part.End == RunEnd::Running) {
    Micros -= Run.MicrosLeft;
    Run.MicrosLeft = PerToken;
    TokenMark Mark;
    Mark.Version = this->Version;
    Mark.Last = Run.NextToken + 1 >= Run.Length;
    Mark.Run = this->Records[Number].Name;
    Part.Text += tokenText(Hash, Run.NextToken, Mark);
    this->record(Number, Run.NextToken);
    ++Run.NextToken;
    ++Part.Tokens;
    if (Mark.Last) {
      Part.End = RunEnd::Finished;
      this->Records[Number].End = RunEnd::Finished;
    }
  }
  Run.MicrosLeft -= Micros;
  return Part;
}

void EngineState::record(int64_t Number, int64_t Index) {
  RunRecord &Record = this->Records[Number];
  Record.NextToken = Index + 1;
  if (Record.Segments.empty() ||
      Record.Segments.back().Version != this->Version) {
    Record.Segments.push_back({Index, this->Version});
  }
}

double EngineState::tokenMicros() const {
  const auto Busy = static_cast<double>(this->running());
  const auto Slots = static_cast<double>(this->Settings.Slots);
  const auto Base = static_cast<double>(this->Settings.TokenMicros);
  return Base * (1.0 + Busy / Slots) * this->SlowFactor;
}

void EngineState::sampleLoad(Millis Now) {
  const Millis Lag{this->Settings.LoadLagMs};
  LoadReport Report;
  Report.Slots = this->Settings.Slots;
  Report.Running = this->running();
  Report.Queued = static_cast<int64_t>(this->Active.size()) - Report.Running;
  Report.MeasuredAt = Now;
  this->PastLoad.push_back(Report);
  while (this->PastLoad.size() > 1 &&
         this->PastLoad[1].MeasuredAt + Lag <= Now) {
    this->PastLoad.pop_front();
  }
}

int64_t EngineState::running() const {
  return std::count_if(this->Active.begin(), this->Active.end(),
                       [](const auto &Entry) { return Entry.second.Running; });
}

} // namespace camphornotch::standin
