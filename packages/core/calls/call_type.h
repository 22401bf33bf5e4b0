/// @file
/// Events and actions of the call controller.

#ifndef CAMPHORNOTCH_CORE_CALLS_CALL_TYPE_H
#define CAMPHORNOTCH_CORE_CALLS_CALL_TYPE_H

#include "base/refusal_func.h"
#include "core/samples/sample_type.h"

namespace camphornotch {

/// The agent that a new intent would name.
struct CallTarget {
  /// The endpoint.
  EndpointId Endpoint;
  /// The host of its agent.
  HostId Agent;
  /// The boot of its agent.
  BootId Boot;
};

/// Settings of the call controller.
struct CallSettings {
  /// How long an intent waits for its read-back before the call is refused.
  Millis IntentWait{5000};
  /// How long a dispatched call waits for the agent before the answer is
  /// "unknown".
  Millis AnswerWait{seconds(120)};
  /// Largest answer kept in the log.
  int64_t MaxOutcomeBytes = 16 << 10;
  /// Keys remembered with their answer; older ones are only recognised.
  size_t MaxKeys = 20000;
  /// Records of the log after which a key may be used anew; less than the log
  /// keeps, so that every process recognises the same keys.
  int64_t KeyHorizonRecords = 4000000;
};

/// Event: a caller wants a call that may run at most once.
struct CallReceived {
  /// Whom to answer.
  RequestHandle Request;
  /// The caller's Idempotency-Key, prefixed with the caller's scope.
  std::string Key;
  /// Hash of the request.
  int64_t Digest = 0;
  /// Whom fairness is counted for.
  std::string Caller;
  /// Runs through the logs.
  std::string RequestId;
  /// The caller says that it never sent this key before. Only then can a
  /// refusal before the intent is known say "not run" for the key.
  bool FirstUse = false;
  /// Where a new intent would go; nothing if no agent is there.
  std::optional<CallTarget> Target;
  /// HTTP method.
  std::string Method;
  /// Path and query.
  std::string Path;
  /// Type of the body.
  std::string ContentType;
  /// The body.
  std::string Body;
};

/// Event: the agent on a host has this boot, and its link works.
struct AgentPresent {
  /// The host.
  HostId Host;
  /// The boot.
  BootId Boot;
};

/// Event: the link to an agent is lost.
struct AgentLost {
  /// The host.
  HostId Host;
};

/// Event: an agent finished a call.
struct CallFinished {
  /// The agent's answer.
  wire::WorkFinished Answer;
};

/// Event: an agent refused a call, or it failed there.
struct CallRefused {
  /// The agent's answer.
  wire::WorkRefused Answer;
};

/// Action: start or join the intent at this agent.
struct SendIntent {
  /// The host of the agent.
  HostId Agent;
  /// The message.
  wire::StartWork Message;
};

/// Action: the agent may forget the answer.
struct AckIntent {
  /// The host of the agent.
  HostId Agent;
  /// The work.
  WorkId Work;
};

/// Action: the call's answer.
struct AnswerCall {
  /// Whom to answer.
  RequestHandle Request;
  /// The endpoint's HTTP status.
  int32_t Status = 0;
  /// Type of the body.
  std::string ContentType;
  /// The body.
  std::string Body;
  /// Whether an earlier request ran it.
  bool Repeated = false;
};

/// What the call controller is told.
using CallEvent =
    std::variant<CallReceived, AgentPresent, AgentLost, CallFinished,
                 CallRefused, RequestGone, RecordCommitted, LogStatus, Tick>;
/// What the call controller asks for.
using CallAction = std::variant<AppendRecord, SendIntent, AckIntent, AnswerCall,
                                RefuseRequest>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CALLS_CALL_TYPE_H
