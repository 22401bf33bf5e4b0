/// @file
/// Second runs of items under newer weights, at engines on the loopback.

#include "gateway/fresh_run_base.h"
#include "gateway_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// An item that runs at an engine with version 3, before one with version 4.
struct FreshRunFixture {
  /// The loop.
  Loop Events;
  /// The engine with version 4.
  FakeEngine Newer{this->Events};
  /// Sends the runs.
  HttpClient Http{this->Events};
  /// The engines.
  EndpointPool Pool{Geography{"dc", {}}};
  /// What is tested.
  FreshRuns Tested{this->Http, this->Pool};
  /// The submission.
  SubmissionState State;
  /// What the scheduler knows of the item.
  ScheduledItem Item;

  FreshRunFixture() {
    this->Newer.Version = 4;
    this->add("i-old", 3, Address{"127.0.0.1", 1});
    this->add("i-new", 4, this->Newer.where());
    this->State.Record.Id = "s";
    wire::BatchItemField Field;
    Field.Id = "s-0";
    Field.Path = "/roll/x";
    this->State.Record.Items = {Field};
    this->Item.Key = ItemKey{SubmissionId{"s"}, ItemId{"s-0"}};
    this->Item.Service = "llm";
    this->Item.Model = "m";
    this->Item.MinVersion = 3;
  }

  /// @param Id the engine's id.
  /// @param Version its version.
  /// @param Where where it listens.
  void add(const std::string &Id, int64_t Version, const Address &Where) {
    EndpointRecord Record;
    Record.Id = EndpointId{Id};
    Record.Service = "llm";
    Record.DataCentre = "dc";
    Record.Slots = 8;
    Record.ListenAddress = Where;
    Record.Versions["m"] = Version;
    this->Pool.put(std::move(Record));
  }

  /// @param Oldest the oldest version in the item's own text.
  void consider(int64_t Oldest = 3) {
    this->Tested.consider(this->Item.Key, this->Item, Oldest, this->State,
                          EndpointId{"i-old"});
  }

  /// @return events that the second run made.
  size_t made() const {
    const auto Text = this->Tested.leftover(this->Item.Key);
    return Text.has_value() ? Text->Events.size() : 0;
  }

  /// @return starts of the item at the engine with version 4.
  size_t starts() { return this->Newer.Runs["s-0"].size(); }

  /// Lets answers arrive, if any come.
  void settle() {
    constexpr Millis Span{100};
    const Millis End = steadyNow() + Span;
    turnUntil(this->Events, [&] { return steadyNow() >= End; });
  }
};

} // namespace

Test(freshRuns, newerVersionWithSlotsToSpare_makesTheTextFromItsStart) {
  FreshRunFixture Each;
  Each.consider();
  cr_assert(turnUntil(Each.Events, [&] { return Each.made() == 4; }));
  Each.settle();
  const auto Text = Each.Tested.leftover(Each.Item.Key);
  cr_assert(Text->Whole);
  cr_assert_eq(Text->Events.front().Version, 4);
  cr_assert(Each.Newer.Runs["s-0"] == std::vector<int64_t>{0});
  cr_assert_eq(Each.Tested.running(), 0U);
}

Test(freshRuns, textOfTheNewestVersion_isNotMadeAgain) {
  FreshRunFixture Each;
  Each.consider(4);
  Each.consider(-1);
  Each.settle();
  cr_assert_eq(Each.starts(), 0U);
}

Test(freshRuns, itemThatBrokeAnEngine_isNotRunAgain) {
  FreshRunFixture Each;
  Each.Item.Breaks = 1;
  Each.consider();
  Each.Item.Breaks = 0;
  Each.Item.Failures = 1;
  Each.consider();
  Each.settle();
  cr_assert_eq(Each.starts(), 0U);
}

Test(freshRuns, engineAlmostFull_isLeftToOthers) {
  FreshRunFixture Each;
  for (int Count = 0; Count < 6; ++Count)
    Each.Pool.workStarted(EndpointId{"i-new"});
  Each.consider();
  Each.settle();
  cr_assert_eq(Each.starts(), 0U);
}

Test(freshRuns, stoppedRun_leavesTheEngineAndKeepsItsText) {
  FreshRunFixture Each;
  Each.Newer.Hold = true;
  Each.consider();
  cr_assert(turnUntil(Each.Events, [&] { return Each.made() == 2; }));
  Each.Tested.stop(Each.Item.Key, "test");
  cr_assert(turnUntil(Each.Events, [&] { return Each.Newer.Held[0]->gone(); }));
  cr_assert_eq(Each.made(), 2U);
  cr_assert_not(Each.Tested.leftover(Each.Item.Key)->Whole);
  Each.consider();
  Each.settle();
  cr_assert_eq(Each.starts(), 1U, "an item has one second run");
}

Test(freshRuns, moreEventsThanTokens_leaveNoText) {
  FreshRunFixture Each;
  Each.State.Record.Items[0].Tokens = 3;
  Each.consider();
  cr_assert(turnUntil(Each.Events, [&] { return Each.starts() == 1; }));
  Each.settle();
  cr_assert_eq(Each.Tested.running(), 0U);
  cr_assert_eq(Each.made(), 0U);
}

Test(freshRuns, endedSubmission_leavesNothing) {
  FreshRunFixture Each;
  Each.Newer.Hold = true;
  Each.consider();
  cr_assert(turnUntil(Each.Events, [&] { return Each.made() == 2; }));
  Each.Tested.forgetAll(SubmissionId{"s"});
  cr_assert_eq(Each.made(), 0U);
  cr_assert_eq(Each.Pool.find(EndpointId{"i-new"})->Outstanding, 0);
}
