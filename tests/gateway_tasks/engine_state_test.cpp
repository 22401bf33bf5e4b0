/// @file
/// Tests of the message with an engine's state.

#include "gateway/engine_state_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

// Guards against a field that is lost between loader and gateway.
Test(engineState, encodedState_isDecodedUnchanged) {
  EngineReport Report;
  Report.Running = 4;
  Report.Waiting = 2;
  Report.Versions["m"] = 7;
  Report.KvUsed = 900;
  Report.KvTotal = 4'000;
  const wire::PeerMessage Message =
      encodeEngineState(Address{"10.0.0.9", 80}, Report, "m", 43);
  const auto Engine = decodeEngineState(Message.EngineStateMsg);
  cr_assert(Engine.has_value());
  const Address Expected{"10.0.0.9", 80};
  cr_assert(Engine.value().ListenAddress == Expected);
  const EngineLoad &Load = Engine.value().Load;
  cr_assert_eq(Load.Running, 4);
  cr_assert_eq(Load.Waiting, 2);
  cr_assert_eq(Load.Versions.at("m"), 7);
  cr_assert(Load.LoadingModel == "m");
  cr_assert_eq(Load.PaceMs, 43);
  cr_assert_eq(Load.KvUsed, 900);
  cr_assert_eq(Load.KvTotal, 4'000);
}

// Guards against numbers that cannot be, and against loaders of the version
// before, which do not send these fields.
Test(engineState, wrongOrMissingNumbers_areNotKnown) {
  wire::EngineStatePush State;
  State.Address = "10.0.0.9:80";
  const auto Older = decodeEngineState(State);
  cr_assert(Older.has_value());
  cr_assert_eq(Older.value().Load.PaceMs, 0);
  cr_assert_eq(Older.value().Load.KvTotal, 0);
  State.__set_PaceMs(-5);
  State.__set_KvUsed(800);
  State.__set_KvTotal(500);
  const auto Wrong = decodeEngineState(State);
  cr_assert_eq(Wrong.value().Load.PaceMs, 0);
  cr_assert_eq(Wrong.value().Load.KvUsed, 500);
  State.Address = "nowhere";
  cr_assert(decodeEngineState(State).has_error());
}
