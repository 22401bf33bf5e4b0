/// @file
/// Second runs of items under newer weights, at engines on the loopback.

#include "gateway/second_run_base.h"
#include "gateway_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// An item that runs at an engine with version 3 while another engine has
/// version 4.
struct SecondRunFixture {
  Loop Events;
  FakeEngine Newer{this->Events};
  HttpClient Http{this->Events};
  EndpointPool Pool{Geography{"dc", {}}};
  Metrics Counts;
  SecondRuns Tested{this->Http, this->Pool, this->Counts};
  SubmissionState State;
  /// The scheduler's entry of the item.
  ScheduledItem Item;

  SecondRunFixture() {
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

  /// Registers an engine.
  void add(const std::string &Id, int64_t Version,
           const Address &ListenAddress) {
    EndpointRecord Record;
    Record.Id = EndpointId{Id};
    Record.Service = "llm";
    Record.DataCentre = "dc";
    Record.Slots = 8;
    Record.ListenAddress = ListenAddress;
    Record.Versions["m"] = Version;
    this->Pool.put(std::move(Record));
  }

  /// @param OldestVersion the oldest version in the text of the item's first
  /// run.
  void start(int64_t OldestVersion = 3) {
    this->Tested.startIfPossible(this->Item.Key, this->Item, OldestVersion,
                                 this->State, EndpointId{"i-old"});
  }

  /// @return the number of events that the second run received.
  size_t eventCount() const {
    const auto Text = this->Tested.leftover(this->Item.Key);
    return Text.has_value() ? Text->Events.size() : 0;
  }

  /// @return how often the item was started at the engine with version 4.
  size_t starts() { return this->Newer.Runs["s-0"].size(); }

  /// Runs the loop for a while, so that any answer arrives.
  void runForAWhile() {
    constexpr Millis Duration{100};
    const Millis End = steadyNow() + Duration;
    turnUntil(this->Events, [&] { return steadyNow() >= End; });
  }
};

} // namespace

Test(secondRuns, newerVersionWithEnoughFreeSlots_generatesTheWholeText) {
  SecondRunFixture Run;
  Run.start();
  cr_assert(turnUntil(Run.Events, [&] { return Run.eventCount() == 4; }));
  Run.runForAWhile();
  const auto Text = Run.Tested.leftover(Run.Item.Key);
  cr_assert(Text->Whole);
  cr_assert_eq(Text->Events.front().Version, 4);
  cr_assert(Run.Newer.Runs["s-0"] == std::vector<int64_t>{0});
  cr_assert_eq(Run.Tested.running(), 0U);
}

Test(secondRuns, textOfTheNewestVersion_isNotGeneratedAgain) {
  SecondRunFixture Run;
  Run.start(4);
  Run.start(-1);
  Run.runForAWhile();
  cr_assert_eq(Run.starts(), 0U);
}

Test(secondRuns, itemThatBrokeAnEngine_isNotRunAgain) {
  SecondRunFixture Run;
  Run.Item.Breaks = 1;
  Run.start();
  Run.Item.Breaks = 0;
  Run.Item.Failures = 1;
  Run.start();
  Run.runForAWhile();
  cr_assert_eq(Run.starts(), 0U);
}

Test(secondRuns, engineWithTooFewFreeSlots_isNotUsed) {
  SecondRunFixture Run;
  for (int Count = 0; Count < 6; ++Count)
    Run.Pool.workStarted(EndpointId{"i-new"});
  Run.start();
  Run.runForAWhile();
  cr_assert_eq(Run.starts(), 0U);
}

Test(secondRuns, stoppedRun_leavesTheEngineAndKeepsItsText) {
  SecondRunFixture Run;
  Run.Newer.Hold = true;
  Run.start();
  cr_assert(turnUntil(Run.Events, [&] { return Run.eventCount() == 2; }));
  Run.Tested.stop(Run.Item.Key, "test");
  cr_assert(turnUntil(Run.Events, [&] { return Run.Newer.Held[0]->gone(); }));
  cr_assert_eq(Run.eventCount(), 2U);
  cr_assert_not(Run.Tested.leftover(Run.Item.Key)->Whole);
  Run.start();
  Run.runForAWhile();
  cr_assert_eq(Run.starts(), 1U, "an item has one second run");
}

Test(secondRuns, moreEventsThanTokens_leaveNoText) {
  SecondRunFixture Run;
  Run.State.Record.Items[0].Tokens = 3;
  Run.start();
  cr_assert(turnUntil(Run.Events, [&] { return Run.starts() == 1; }));
  Run.runForAWhile();
  cr_assert_eq(Run.Tested.running(), 0U);
  cr_assert_eq(Run.eventCount(), 0U);
}

Test(secondRuns, endedSubmission_leavesNothing) {
  SecondRunFixture Run;
  Run.Newer.Hold = true;
  Run.start();
  cr_assert(turnUntil(Run.Events, [&] { return Run.eventCount() == 2; }));
  Run.Tested.removeSubmission(SubmissionId{"s"});
  cr_assert_eq(Run.eventCount(), 0U);
  cr_assert_eq(Run.Pool.find(EndpointId{"i-new"})->Outstanding, 0);
}

Test(secondRuns, engineThatLeaves_getsNoMore) {
  SecondRunFixture Run;
  Run.Newer.Leaving = true;
  Run.start();
  cr_assert(turnUntil(Run.Events, [&] { return Run.eventCount() == 4; }));
  cr_assert(Run.Pool.find(EndpointId{"i-new"})->Leaving);
  Run.Item.Key.Item = ItemId{"s-1"};
  Run.State.Record.Items[0].Id = "s-1";
  Run.start();
  Run.runForAWhile();
  cr_assert_not(Run.Newer.Runs.contains("s-1"));
}
