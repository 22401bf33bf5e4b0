/// @file
/// Builders and a small endpoint model for tests of admission.

#ifndef CAMPHORNOTCH_TESTS_AGENT_ADMISSION_FIXTURE_H
#define CAMPHORNOTCH_TESTS_AGENT_ADMISSION_FIXTURE_H

#include "core/agent/admission_base.h"

#include <map>
#include <string>
#include <vector>

namespace camphornotch {

/// @param Class the class.
/// @param Tokens tokens expected.
/// @param Caller the caller.
/// @return a completion.
inline wire::StartWork makeWork(wire::WorkClass::type Class, int64_t Tokens,
                                const std::string &Caller = "caller") {
  wire::StartWork Work;
  Work.Kind = wire::WorkKind::Completion;
  Work.Class = Class;
  Work.ExpectedTokens = Tokens;
  Work.Caller = Caller;
  return Work;
}

/// Drives an admission controller and keeps account of what it asked for.
struct AdmissionFixture {
  /// The controller under test.
  AdmissionController Admission;
  /// The present.
  Millis Now{1000};
  /// Runs at the endpoint.
  std::map<RunId, StartRun> Running;
  /// Runs told to stop, with the reason.
  std::map<RunId, RefusalReason> Stopping;
  /// All starts, in order.
  std::vector<StartRun> Started;
  /// All refusals, in order.
  std::vector<RefuseWork> Refused;
  /// The last work id given.
  int64_t LastWork = 0;

  /// @param Settings the settings.
  explicit AdmissionFixture(AdmissionSettings Settings) : Admission(Settings) {}

  /// Takes over one action.
  void take(const StartRun &Action) {
    this->Running.emplace(Action.Run, Action);
    this->Started.push_back(Action);
  }
  /// Takes over one action.
  void take(const StopRun &Action) {
    this->Stopping.emplace(Action.Run, Action.Reason);
  }
  /// Takes over one action.
  void take(const RefuseWork &Action) { this->Refused.push_back(Action); }

  /// Hands an event in and takes the actions over.
  void handle(const AdmissionEvent &Event) {
    for (const AdmissionAction &Action :
         this->Admission.handle(Event, this->Now))
      std::visit([this](const auto &Each) { this->take(Each); }, Action);
  }

  /// Submits work.
  /// @return its key.
  WorkKey submit(const wire::StartWork &Work, bool Alone = false) {
    const WorkKey Key{BootId{7}, WorkId{++this->LastWork}};
    this->handle(SubmitWork{Key, Work, Alone});
    return Key;
  }

  /// Ends a run at the endpoint.
  void end(RunId Run, RunOutcome Outcome) {
    this->Running.erase(Run);
    this->Stopping.erase(Run);
    this->handle(RunEnded{Run, Outcome});
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_AGENT_ADMISSION_FIXTURE_H
