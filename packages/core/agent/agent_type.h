/// @file
/// Settings, events and actions of the agent controller.

#ifndef CAMPHORNOTCH_CORE_AGENT_AGENT_TYPE_H
#define CAMPHORNOTCH_CORE_AGENT_AGENT_TYPE_H

#include "core/agent/admission_type.h"
#include "core/agent/crash_base.h"
#include "core/agent/leave_base.h"
#include "core/agent/weight_type.h"
#include "core/agent/work_store_base.h"

#include "base/retry_type.h"

#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// Settings of an agent controller.
struct AgentControllerSettings {
  /// The agent's host.
  HostId Host;
  /// This run of the agent.
  BootId Boot;
  /// The endpoint.
  EndpointId Endpoint;
  /// Whether the endpoint is a model engine; else a plain service.
  bool IsEngine = true;
  /// The engine's model or the service's name.
  std::string Serves;
  /// Places, queue bounds and policy.
  AdmissionSettings Admission;
  /// Swaps.
  WeightSettings Weights;
  /// Crash attribution.
  CrashSettings Crashes;
  /// Times of leaving.
  LeaveSettings Leaving;
  /// Bounds of unacknowledged answers.
  WorkStoreSettings Store;
  /// Calls that may run at most once, remembered after their end.
  size_t IntentMemory = 10'000;
  /// Time between probes of a healthy endpoint.
  Millis ProbeInterval = seconds(2);
  /// Time between probes of one that does not answer.
  Millis DownProbeInterval = Millis{250};
  /// Time after a broken run in which others that break belong to the same
  /// crash.
  Millis CrashWindow = Millis{60};
  /// How long the work of an entry that cannot be reached goes on.
  Millis OrphanAfter = seconds(20);
  /// Time after which a request to an entry is sent to another one.
  Millis EntryTimeout = seconds(2);
};

/// An entry's link works.
struct PeerUp {
  /// The entry's host.
  HostId Peer;
  /// Its boot.
  BootId Boot;
};

/// An entry cannot be reached.
struct PeerDown {
  /// The entry's host.
  HostId Peer;
};

/// A message of an entry.
struct PeerSaid {
  /// The entry's host.
  HostId Peer;
  /// The message.
  wire::PeerMessage Message;
};

/// The endpoint produced output.
struct EndpointOutput {
  /// The attempt.
  RunId Run;
  /// The output.
  std::string Data;
  /// Tokens in it; 0 for a service.
  int64_t Tokens = 0;
  /// The version that made them, as the endpoint says; -1: not said.
  WeightVersion Version{-1};
};

/// The endpoint answered whole.
struct EndpointFinished {
  /// The attempt.
  RunId Run;
  /// The HTTP status.
  int32_t Status = 200;
  /// The type of the output.
  std::string ContentType;
  /// Output that was not told before.
  std::string Body;
};

/// The endpoint stopped the attempt as asked.
struct EndpointStopped {
  /// The attempt.
  RunId Run;
};

/// The attempt's connection failed or the answer makes no sense.
struct EndpointBroke {
  /// The attempt.
  RunId Run;
  /// Whether the endpoint surely never saw it.
  bool NeverSent = false;
};

/// The answer to a probe.
struct ProbeAnswered {
  /// The number of the probe.
  int64_t Probe = 0;
  /// Whether the endpoint answered.
  bool Alive = false;
  /// Request ids of all streams at the endpoint; engines only.
  std::vector<std::string> Streams;
};

/// News for the weight controller.
struct WeightNews {
  /// The event.
  WeightEvent Event;
};

/// News for the leave controller.
struct LeaveNews {
  /// The event.
  LeaveEvent Event;
};

/// The clock jumped: the process was paused.
struct ClockJumped {
  /// By how much.
  Millis By;
};

/// The deadline of nextDeadline() was reached.
struct AgentTick {};

/// What the agent controller reacts to.
using AgentEvent =
    std::variant<PeerUp, PeerDown, PeerSaid, EndpointOutput, EndpointFinished,
                 EndpointStopped, EndpointBroke, ProbeAnswered, WeightNews,
                 LeaveNews, ClockJumped, AgentTick>;

/// Send a message to an entry.
struct TellPeer {
  /// The entry's host.
  HostId Peer;
  /// The message.
  wire::PeerMessage Message;
};

/// Send heartbeats now: the load figure says something new.
struct BeatAll {};

/// Send work to the endpoint.
struct StartAtEndpoint {
  /// The attempt.
  RunId Run;
  /// The request id that the endpoint sees.
  std::string StreamId;
  /// The work.
  wire::StartWork Work;
  /// Priority at the engine.
  int Priority = 0;
};

/// Cancel an attempt; EndpointStopped or EndpointFinished must follow.
struct StopAtEndpoint {
  /// The attempt.
  RunId Run;
  /// The request id that the endpoint saw.
  std::string StreamId;
};

/// Close an attempt's connection; no event is wanted any more.
struct AbandonRun {
  /// The attempt.
  RunId Run;
};

/// Cancel a stream that belongs to no attempt of this boot.
struct CancelStray {
  /// Its request id.
  std::string StreamId;
};

/// Ask the endpoint whether it is there and for its streams.
struct ProbeEndpoint {
  /// The number of the probe.
  int64_t Probe = 0;
};

/// The boot's record is in the log.
struct BootCommitted {
  /// Its offset, the fencing number.
  LogOffset Fence;
};

/// Count a refusal.
struct CountRefusal {
  /// Why.
  RefusalReason Reason = RefusalReason::Internal;
  /// The refused request's id, for the log.
  std::string RequestId;
};

/// Count a retry.
struct CountRetry {
  /// Why.
  RetryReason Reason = RetryReason::EndpointFailed;
};

/// The process may end.
struct ExitAgent {};

/// What the agent controller asks for.
using AgentAction =
    std::variant<TellPeer, BeatAll, StartAtEndpoint, StopAtEndpoint, AbandonRun,
                 CancelStray, ProbeEndpoint, SendOrder, AskVersion,
                 BootCommitted, CountRefusal, CountRetry, ExitAgent>;

/// Counts of an agent since its boot, for its metrics.
struct AgentCounts {
  /// Work finished.
  int64_t Finished = 0;
  /// Answers of the endpoint to attempts that had ended.
  int64_t LateAnswers = 0;
  /// Crashes of the endpoint.
  int64_t Crashes = 0;
  /// Samples whose label is not known.
  int64_t UnknownLabels = 0;
  /// Pieces of work whose entry went away.
  int64_t Orphans = 0;
  /// Streams of an earlier boot, cancelled.
  int64_t Strays = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_AGENT_TYPE_H
