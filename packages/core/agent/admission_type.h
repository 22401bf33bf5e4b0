/// @file
/// Settings, events and actions of the admission controller.

#ifndef CAMPHORNOTCH_CORE_AGENT_ADMISSION_TYPE_H
#define CAMPHORNOTCH_CORE_AGENT_ADMISSION_TYPE_H

#include "core/agent/work_type.h"

#include <cstddef>
#include <variant>
#include <vector>

namespace camphornotch {

/// Baseline policy: work starts in the order of arrival, whatever its class
/// and caller; nothing is reserved and nothing is preempted.
struct FirstComeFirstServed {};

/// Default policy: short work first, then urgent, then rollouts; fair among
/// the callers of a class.
struct ClassedAdmission {
  /// Places that only short work may take, while there is any.
  int ShortReserve = 2;
  /// How long after the last short work the places stay reserved.
  Millis ReserveMemory = seconds(2);
  /// Places that short work leaves to long work that waits.
  int LongFloor = 1;
  /// Whether waiting short work may stop the longest rollout.
  bool Preempt = true;
  /// Rollouts with fewer tokens left than this are not preempted.
  int64_t MinPreemptTokens = 16;
  /// Runs with at most this many tokens left free their place soon enough, so
  /// that nothing is preempted for it.
  int64_t SoonTokens = 4;
  /// Rollouts tried this often are not preempted again.
  int64_t MaxPreemptAttempt = 4;
  /// Short starts in a row after which waiting long work goes first, if none
  /// runs.
  int ShortBurst = 16;
  /// Urgent starts in a row after which a waiting rollout goes first.
  int UrgentBurst = 3;
};

/// How waiting work is ordered.
using AdmissionPolicy = std::variant<ClassedAdmission, FirstComeFirstServed>;

/// Settings of an admission controller.
struct AdmissionSettings {
  /// Work that the endpoint runs at once.
  int Slots = 8;
  /// How waiting work is ordered.
  AdmissionPolicy Policy = ClassedAdmission{};
  /// Work that waits at most, of all classes.
  size_t MaxQueued = 4096;
  /// Long work expected to wait longer than this is refused.
  Millis MaxLongWait = seconds(60);
  /// Short work expected to wait longer than this is refused.
  Millis MaxShortWait = seconds(10);
  /// Microseconds a token before any were seen.
  int64_t InitialTokenMicros = 10'000;
  /// Tokens assumed of work that names none.
  int64_t DefaultTokens = 128;
  /// How long work that must run alone waits before other starts are held.
  Millis AloneGrace = seconds(2);
};

/// Work arrived.
struct SubmitWork {
  /// Which.
  WorkKey Key;
  /// What the entry sent.
  wire::StartWork Work;
  /// Whether it may only run with no other work beside it.
  bool Alone = false;
};

/// Work is no longer wanted.
struct DropWork {
  /// Which.
  WorkKey Key;
  /// Why; goes into the refusal.
  RefusalReason Reason = RefusalReason::Cancelled;
};

/// The endpoint produced tokens.
struct RunProgressed {
  /// The attempt.
  RunId Run;
  /// Tokens new since the last such event.
  int64_t Tokens = 0;
};

/// An attempt ended, for any reason.
struct RunEnded {
  /// The attempt.
  RunId Run;
  /// How.
  RunOutcome Outcome = RunOutcome::Finished;
  /// Whether the endpoint surely never saw it.
  bool NeverSent = false;
};

/// Starts are held (endpoint down, swapping) or allowed again.
struct HoldStarts {
  /// Whether to hold them.
  bool Hold = false;
};

/// New and waiting work is refused from now on, or taken again.
struct CloseAdmission {
  /// Whether to refuse.
  bool Closed = true;
  /// The reason in the refusals.
  RefusalReason Reason = RefusalReason::Leaving;
};

/// Running rollouts are stopped with their output kept, to resume elsewhere.
struct EvictRuns {
  /// The reason in the refusals.
  RefusalReason Reason = RefusalReason::Leaving;
};

/// New settings are in force.
struct ChangeAdmission {
  /// The settings.
  AdmissionSettings Settings;
};

/// The deadline of nextDeadline() was reached.
struct AdmissionTick {};

/// What the admission controller reacts to.
using AdmissionEvent =
    std::variant<SubmitWork, DropWork, RunProgressed, RunEnded, HoldStarts,
                 CloseAdmission, EvictRuns, ChangeAdmission, AdmissionTick>;

/// Send the work to the endpoint.
struct StartRun {
  /// Which work.
  WorkKey Key;
  /// The attempt that it becomes.
  RunId Run;
  /// What the entry sent.
  wire::StartWork Work;
  /// Priority at the engine; larger runs first.
  int Priority = 0;
  /// How long it waited here.
  Millis Waited;
};

/// Cancel the attempt at the endpoint; RunEnded must follow.
struct StopRun {
  /// Which work.
  WorkKey Key;
  /// The attempt.
  RunId Run;
  /// Why.
  RefusalReason Reason = RefusalReason::Preempted;
};

/// Tell the entry that work did not run, or not to its end.
struct RefuseWork {
  /// Which work.
  WorkKey Key;
  /// Why, and whether it ran.
  Refusal Why;
  /// The attempt whose output may be resumed; 0: it never started.
  RunId Run;
};

/// What the admission controller asks for.
using AdmissionAction = std::variant<StartRun, StopRun, RefuseWork>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_ADMISSION_TYPE_H
