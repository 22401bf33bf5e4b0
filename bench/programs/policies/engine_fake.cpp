/// @file
/// A model engine on virtual time.

#include "engine_fake.h"

#include <algorithm>

namespace camphornotch::bench {

namespace {

/// How often streams report their tokens.
constexpr int64_t BeatMs = 50;

} // namespace

EngineFake::EngineFake(EventQueue &Queue, const EngineSpec &Spec,
                       std::function<void(const EngineOutput &)> OnOutput)
    : Queue(Queue), Spec(Spec), OnOutput(std::move(OnOutput)) {}

void EngineFake::start(RunId Run, int64_t Tokens, const std::string &Prompt) {
  const bool Cached = this->touchPrompt(Prompt);
  const double Credit = Cached ? 0 : -this->Spec.PrefillMs;
  this->Streams[Run] = Stream{Tokens, Credit};
  if (this->Beating)
    return;
  this->Beating = true;
  this->Queue.after(Millis{BeatMs}, [this] { this->beat(); });
}

void EngineFake::stop(RunId Run) { this->Streams.erase(Run); }

std::vector<RunId> EngineFake::crash() {
  std::vector<RunId> Lost;
  for (const auto &Row : this->Streams)
    Lost.push_back(Row.first);
  this->Streams.clear();
  this->Cache.clear();
  this->Down = true;
  this->Swapping = false;
  ++this->Life;
  return Lost;
}

void EngineFake::swap(int64_t Version, bool Fails,
                      std::function<void(bool)> OnDone) {
  this->Swapping = true;
  const int64_t Begun = this->Life;
  this->Queue.after(Millis{this->Spec.SwapMs},
                    [this, Version, Fails, Begun, Done = std::move(OnDone)] {
                      if (this->Life != Begun) {
                        Done(false);
                        return;
                      }
                      this->Swapping = false;
                      if (!Fails)
                        this->Version = Version;
                      Done(!Fails);
                    });
}

void EngineFake::beat() {
  this->Beating = false;
  if (this->Streams.empty() || this->Down)
    return;
  this->Beating = true;
  this->Queue.after(Millis{BeatMs}, [this] { this->beat(); });
  if (this->Swapping)
    return;
  const double PerToken = this->Spec.TokenMs * this->Slowness;
  std::vector<EngineOutput> Outputs;
  for (auto &[Run, Each] : this->Streams) {
    Each.Credit += static_cast<double>(BeatMs);
    const int64_t Ready = static_cast<int64_t>(Each.Credit / PerToken);
    const int64_t Tokens = std::clamp<int64_t>(Ready, 0, Each.Left);
    if (Tokens == 0)
      continue;
    Each.Credit -= static_cast<double>(Tokens) * PerToken;
    Each.Left -= Tokens;
    this->Generated += Tokens;
    Outputs.push_back({Run, Tokens, this->Version, Each.Left == 0});
  }
  for (const EngineOutput &Output : Outputs)
    if (Output.Finished)
      this->Streams.erase(Output.Run);
  for (const EngineOutput &Output : Outputs)
    this->OnOutput(Output);
}

bool EngineFake::touchPrompt(const std::string &Prompt) {
  const auto Found = std::find(this->Cache.begin(), this->Cache.end(), Prompt);
  const bool Cached = Found != this->Cache.end();
  if (Cached)
    this->Cache.erase(Found);
  this->Cache.push_back(Prompt);
  if (this->Cache.size() > this->Spec.CachedPrompts)
    this->Cache.pop_front();
  return Cached;
}

} // namespace camphornotch::bench
