/// @file
/// Tests of the engine's batching, resumed requests, weight swaps and records.

#include "standins/engine/engine_state.h"

#include <criterion/criterion.h>

using namespace camphornotch;
using namespace camphornotch::standin;

namespace {

/// @return settings of an engine with one slot that takes 1 ms per token.
EngineSettings oneSlot() {
  EngineSettings Settings;
  Settings.Name = "e";
  Settings.Slots = 1;
  Settings.TokenMicros = 500;
  Settings.PrefillMicrosPerByte = 0;
  Settings.SwapMs = 10;
  return Settings;
}

/// Advances an engine in steps of 1 ms and joins the output of each run.
struct EngineRunner {
  EngineState Engine{oneSlot()};
  Millis Now;
  /// Output by run.
  std::map<int64_t, std::string> Texts;

  void runTo(Millis Until) {
    for (; this->Now < Until; this->Now += Millis{1}) {
      for (const RunPart &Part : this->Engine.advance(this->Now)) {
        this->Texts[Part.Run] += Part.Text;
      }
    }
  }
};

RunRequest twentyTokens(const std::string &Id, int64_t Priority) {
  RunRequest Request;
  Request.RequestId = Id;
  Request.Prompt = "teeth";
  Request.MaxTokens = 20;
  Request.Priority = Priority;
  return Request;
}

} // namespace

Test(engine_state, with_one_slot_runs_urgent_work_first) {
  EngineRunner Test;
  const int64_t Low = Test.Engine.start(twentyTokens("low", 0), Test.Now);
  const int64_t High = Test.Engine.start(twentyTokens("high", 1), Test.Now);
  Test.runTo(Millis{15});
  cr_assert(Test.Texts[Low].empty());
  cr_assert_not(Test.Texts[High].empty());
  Test.runTo(Millis{60});
  for (const int64_t Run : {Low, High}) {
    const VerifiedText Answer =
        verifyText(hashPrompt("teeth"), Test.Texts[Run]);
    cr_assert(Answer.Complete);
    cr_assert(Answer.Tokens == 20);
  }
}

Test(engine_state, swapped_within_a_run_labels_both_parts) {
  EngineRunner Test;
  const int64_t Run = Test.Engine.start(twentyTokens("r", 0), Test.Now);
  Test.runTo(Millis{10});
  Test.Engine.swapTo(2, Test.Now);
  Test.runTo(Millis{19});
  const std::string Before = Test.Texts[Run];
  Test.runTo(Millis{60});
  const VerifiedText Answer = verifyText(hashPrompt("teeth"), Test.Texts[Run]);
  cr_assert(Answer.Complete);
  cr_assert(Answer.Segments.size() == 2);
  cr_assert(Answer.Segments == Test.Engine.records()[Run].Segments);
  cr_assert(verifyText(hashPrompt("teeth"), Before).Segments.size() == 1);
}

Test(engine_state, resumed_sends_only_the_rest) {
  EngineRunner First;
  const int64_t CancelledRun =
      First.Engine.start(twentyTokens("r", 0), First.Now);
  First.runTo(Millis{10});
  cr_assert(First.Engine.cancel("r").size() == 1);
  cr_assert(First.Engine.records()[CancelledRun].End == RunEnd::Cancelled);
  const VerifiedText Kept =
      verifyText(hashPrompt("teeth"), First.Texts[CancelledRun]);
  EngineRunner Second;
  RunRequest Rest = twentyTokens("r", 0);
  Rest.KeptTokens = Kept.Tokens;
  const int64_t Run = Second.Engine.start(Rest, Second.Now);
  Second.runTo(Millis{60});
  const VerifiedText Answer = verifyText(
      hashPrompt("teeth"), First.Texts[CancelledRun] + Second.Texts[Run]);
  cr_assert(Answer.Complete);
  cr_assert(Answer.Tokens == 20);
}

Test(engine_state, crashed_records_its_runs_as_crashed) {
  EngineRunner Test;
  const int64_t Run = Test.Engine.start(twentyTokens("r", 0), Test.Now);
  Test.runTo(Millis{5});
  Test.Engine.crash();
  cr_assert(Test.Engine.streams().empty());
  cr_assert(Test.Engine.records()[Run].End == RunEnd::Crashed);
}

Test(engine_state, load_report_lags) {
  EngineRunner Test;
  Test.Engine.settings().LoadLagMs = 20;
  Test.runTo(Millis{30});
  Test.Engine.start(twentyTokens("r", 0), Test.Now);
  Test.runTo(Millis{45});
  cr_assert(Test.Engine.load(Test.Now).Running == 0);
}
