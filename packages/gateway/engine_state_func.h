/// @file
/// Converts the state of an engine to and from the loader's message.

#ifndef CAMPHORNOTCH_GATEWAY_ENGINE_STATE_FUNC_H
#define CAMPHORNOTCH_GATEWAY_ENGINE_STATE_FUNC_H

#include "base/error_type.h"
#include "camphornotch_types.h"
#include "core/gateway/endpoint_pool_type.h"
#include "core/loads/load_type.h"

#include <string>

namespace camphornotch {

/// @param Engine where the engine listens.
/// @param Report the engine's last report.
/// @param LoadingModel the model of a load in progress; empty: none.
/// @param PaceMs the engine's pace, as EnginePace gives it.
wire::PeerMessage encodeEngineState(const Address &Engine,
                                    const EngineReport &Report,
                                    const std::string &LoadingModel,
                                    int64_t PaceMs);

/// The state of an engine, as its loader reports it.
struct ReportedEngine {
  Address ListenAddress;
  EngineLoad Load;
};

/// Numbers that cannot be are read as not known: a wrong report may only cost
/// time.
/// @return the state, or an error if the address cannot be read.
Result<ReportedEngine> decodeEngineState(const wire::EngineStatePush &State);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ENGINE_STATE_FUNC_H
