/// @file
/// Converts the state of an engine to and from the loader's message.

#include "gateway/engine_state_func.h"

#include "base/text_func.h"
#include "net/http_client_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// A slower pace than this is an error of the report.
constexpr int64_t MaxPaceMs = 60'000;

} // namespace

wire::PeerMessage encodeEngineState(const Address &Engine,
                                    const EngineReport &Report,
                                    const std::string &LoadingModel,
                                    int64_t PaceMs) {
  wire::EngineStatePush State;
  State.Address = concat(Engine.Ip, ":", Engine.Port);
  for (const auto &[Model, Version] : Report.Versions) {
    wire::ModelVersion Each;
    Each.Model = Model;
    Each.Version = Version;
    State.Versions.push_back(std::move(Each));
  }
  State.Running = static_cast<int32_t>(Report.Running);
  State.Waiting = static_cast<int32_t>(Report.Waiting);
  State.Loading = Report.Busy;
  State.LoadingModel = LoadingModel;
  if (PaceMs > 0)
    State.__set_PaceMs(static_cast<int32_t>(std::min(PaceMs, MaxPaceMs)));
  if (Report.KvTotal > 0) {
    State.__set_KvUsed(Report.KvUsed);
    State.__set_KvTotal(Report.KvTotal);
  }
  wire::PeerMessage Message;
  Message.__set_EngineStateMsg(State);
  return Message;
}

Result<ReportedEngine> decodeEngineState(const wire::EngineStatePush &State) {
  const auto Colon = State.Address.rfind(':');
  const Result<HttpTarget> Target = parseTarget(State.Address);
  if (Colon == std::string::npos || !Target.has_value())
    return Error{ErrorKind::BadInput, "the engine's address is invalid",
                 "send IP:PORT"};
  ReportedEngine Engine;
  Engine.ListenAddress = Address{Target.value().Address, Target.value().Port};
  Engine.Load.Running = State.Running;
  Engine.Load.Waiting = State.Waiting;
  Engine.Load.LoadingModel = State.LoadingModel;
  for (const wire::ModelVersion &Each : State.Versions)
    Engine.Load.Versions[Each.Model] = Each.Version;
  if (State.__isset.PaceMs && State.PaceMs > 0 && State.PaceMs <= MaxPaceMs)
    Engine.Load.PaceMs = State.PaceMs;
  if (State.__isset.KvTotal && State.KvTotal > 0) {
    Engine.Load.KvTotal = State.KvTotal;
    Engine.Load.KvUsed = std::clamp<int64_t>(State.KvUsed, 0, State.KvTotal);
  }
  return Engine;
}

} // namespace camphornotch
