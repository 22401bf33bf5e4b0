/// @file
/// Notes endpoints that say in an answer that they leave.

#include "gateway/leaving_func.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"

namespace camphornotch {

namespace {

/// @return what the directory says of a lifetime, for the log.
std::string_view directoryState(const EndpointState *State,
                                const EndpointLifetime &Lifetime) {
  if (State == nullptr)
    return "gone";
  if (State->Record.lifetime() != Lifetime)
    return "another lifetime";
  return State->Record.Draining ? "draining" : "ready";
}

/// @return why the answer says nothing about the endpoint that was asked;
///   empty: it is that endpoint's.
std::string_view whyIgnored(const platform::EngineAnswer &Answer,
                            std::string_view RequestId) {
  if (Answer.Leaving == platform::LeavingMark::Unknown)
    return "value";
  if (Answer.Misdirected)
    return "misdirected";
  return Answer.RequestId == RequestId ? "" : "other_request";
}

} // namespace

void noteLeaving(const platform::EngineAnswer &Answer,
                 const EndpointLifetime &Sender, std::string_view RequestId,
                 EndpointPool &Pool, Metrics &Counts) {
  if (Answer.Leaving == platform::LeavingMark::Absent)
    return;
  const std::string_view Ignored = whyIgnored(Answer, RequestId);
  if (!Ignored.empty()) {
    Counts
        .counter("leaving_headers_ignored_total",
                 "Answers whose header on leaving was ignored, by cause.",
                 {{"cause", std::string(Ignored)}})
        .Increment();
    return;
  }
  const Millis Now = steadyNow();
  if (!Pool.leavingSeen(Sender, Now))
    return;
  Counts
      .counter("endpoints_leaving_total",
               "Lifetimes of endpoints that said in an answer that they leave.")
      .Increment();
  const EndpointState *State = Pool.find(Sender.Id);
  const bool HasAge = State != nullptr && State->ChangedAt > Millis{0};
  logLine(LogLevel::Info, "endpoint says that it leaves",
          {{"endpoint", Sender.Id.Value},
           {"started_at_ms", concat(Sender.StartedAtMs)},
           {"request_id", RequestId},
           {"status", concat(Answer.Status)},
           {"directory", directoryState(State, Sender)},
           {"unchanged_for_ms",
            HasAge ? concat((Now - State->ChangedAt).Count) : ""}});
}

} // namespace camphornotch
