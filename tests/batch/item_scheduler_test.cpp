/// @file
/// Order of item starts, delays after failures, and the table of leftover
/// texts.

#include "core/batch/item_scheduler_base.h"
#include "core/batch/leftover_table_base.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>
#include <map>

using namespace camphornotch;

namespace {

/// A scheduler and some engines that serve model "m" in version 5.
struct SchedulerFixture {
  ItemScheduler Scheduler;
  EndpointPool Pool{Geography{"dc", {}}};
  Millis Now = seconds(10);
  /// The route of all submissions.
  Route SubmissionRoute;

  /// @param Slots number of slots of each engine.
  SchedulerFixture(int Engines, int64_t Slots) {
    this->SubmissionRoute.Services = {{"s", 1}};
    for (int Index = 0; Index < Engines; ++Index) {
      EndpointRecord Record;
      Record.Id = EndpointId{"e" + std::to_string(Index)};
      Record.Service = "s";
      Record.DataCentre = "dc";
      Record.Slots = Slots;
      Record.Versions["m"] = 5;
      this->Pool.put(std::move(Record));
    }
  }

  /// Adds a submission.
  /// @param LengthHints expected length of each item; two items are a group.
  /// @param WantedGroups number of groups that the caller waits for.
  /// @param ResubmittedItems items that an earlier submission left unfinished.
  void submit(const std::string &Id, const std::vector<int64_t> &LengthHints,
              int64_t WantedGroups = 0, int64_t MinVersion = 5,
              const std::set<ItemId> &ResubmittedItems = {}) {
    SubmissionState State;
    State.Record.Id = Id;
    State.Record.Model = "m";
    State.Record.MinVersion = MinVersion;
    State.Record.WantedGroups = WantedGroups;
    for (size_t Index = 0; Index < LengthHints.size(); ++Index) {
      wire::BatchItemField Item;
      Item.Id = "i" + std::to_string(Index);
      Item.Group = "g" + std::to_string(Index / 2);
      Item.LengthHint = LengthHints[Index];
      State.Record.Items.push_back(Item);
    }
    this->Scheduler.add(State, this->SubmissionRoute, ResubmittedItems);
  }

  /// @return the items that start now, as "submission/item" in order.
  std::vector<std::string> plan() {
    std::vector<std::string> Names;
    for (const ItemStart &Start : this->Scheduler.plan(this->Pool, this->Now))
      Names.push_back(Start.Key.Submission.Value + "/" + Start.Key.Item.Value);
    return Names;
  }

  /// Advances the time until an item starts.
  /// @return the items that start; none if no item does within the limit.
  std::vector<ItemStart> planWithin(Millis Limit) {
    constexpr Millis Step{10};
    const Millis Deadline = this->Now + Limit;
    for (; this->Now < Deadline; this->Now += Step) {
      std::vector<ItemStart> Starts =
          this->Scheduler.plan(this->Pool, this->Now);
      if (!Starts.empty())
        return Starts;
    }
    return {};
  }

  /// Breaks the connection of a running item, as a crash of its engine does.
  void breakConnection(const ItemStart &Run) {
    this->Pool.workEnded(Run.Endpoint, WorkOutcome::ConnectionBroken, Millis{0},
                         this->Now);
    this->Scheduler.requeue(Run.Key, RequeueReason::ConnectionBroken,
                            Run.Endpoint, this->Now);
  }
};

/// Longest time that the platform's rules allow an item to be on no engine
/// while engines have free slots.
constexpr Millis MaxTimeWithoutEngine = seconds(5);

} // namespace

Test(itemScheduler, enoughSlots_allStartAtOnce) {
  SchedulerFixture Each(3, 2);
  Each.submit("s", {1, 2, 3, 4, 5, 6});
  cr_assert_eq(Each.plan().size(), 6U);
  cr_assert(Each.plan().empty());
}

Test(itemScheduler, fewSlots_longestOfTheWantedGroupsFirst) {
  SchedulerFixture Each(1, 2);
  // Group lengths: g0 10, g1 90, g2 50; two are wanted, so g1 goes last.
  Each.submit("s", {10, 5, 90, 80, 50, 40}, 2);
  const std::vector<std::string> First = Each.plan();
  cr_assert_eq(First.size(), 2U);
  cr_assert(First[0] == "s/i4");
  cr_assert(First[1] == "s/i5");
}

Test(itemScheduler, longestGroupIfResubmitted_goesFirst) {
  SchedulerFixture Each(1, 2);
  // Group g0 (i0 and i1) is resubmitted and the longest; the others are new.
  Each.submit("s", {90, 10, 20, 20, 60, 60}, 2, 5, {ItemId{"i0"}});
  const std::vector<std::string> Expected{"s/i0", "s/i1"};
  cr_assert(Each.plan() == Expected);
}

Test(itemScheduler, resubmittedGroup_countsAsWantedInPlaceOfTheLongestOther) {
  SchedulerFixture Each(1, 4);
  Each.submit("s", {90, 10, 20, 20, 60, 60}, 2, 5, {ItemId{"i0"}});
  const std::vector<std::string> Expected{"s/i0", "s/i1", "s/i2", "s/i3"};
  cr_assert(Each.plan() == Expected);
}

Test(itemScheduler, arrivalOrder_startsItemsAsListed) {
  SchedulerFixture Each(1, 3);
  Each.Scheduler = ItemScheduler(parseItemOrder("arrival"));
  Each.submit("s", {1, 9, 5, 7, 3, 8}, 1);
  const std::vector<std::string> Expected{"s/i0", "s/i1", "s/i2"};
  cr_assert(Each.plan() == Expected);
}

Test(itemScheduler, olderSubmission_goesFirst) {
  SchedulerFixture Each(1, 1);
  Each.submit("old", {1});
  Each.submit("new", {99});
  cr_assert(Each.plan().at(0) == "old/i0");
}

Test(itemScheduler, noEngineWithTheVersion_waits) {
  SchedulerFixture Each(2, 2);
  Each.submit("s", {1}, 0, 6);
  cr_assert(Each.plan().empty());
  Each.Pool.versionSeen(EndpointId{"e1"}, "m", 6);
  cr_assert_eq(Each.plan().size(), 1U);
}

// Guards against lost items: a moved route left them waiting for the engines
// of its former service.
Test(itemScheduler, routeMovedToAnotherService_itemsStartThere) {
  SchedulerFixture Plan(1, 1);
  Plan.submit("a", {10, 10, 10});
  cr_assert_eq(Plan.plan().size(), 1U);
  EndpointRecord Record;
  Record.Id = EndpointId{"other"};
  Record.Service = "s2";
  Record.DataCentre = "dc";
  Record.Slots = 4;
  Record.Versions["m"] = 5;
  Plan.Pool.put(std::move(Record));
  Plan.Pool.remove(EndpointId{"e0"});
  cr_assert_eq(Plan.plan().size(), 0U);
  Route Moved = Plan.SubmissionRoute;
  Moved.Services = {{"s2", 1}};
  cr_assert(Plan.Scheduler.updateRoute(SubmissionId{"a"}, Moved));
  cr_assert_not(Plan.Scheduler.updateRoute(SubmissionId{"a"}, Moved));
  cr_assert_not(Plan.Scheduler.updateRoute(SubmissionId{"b"}, Moved));
  cr_assert_eq(Plan.plan().size(), 2U);
}

// Guards against a split route whose items all go to its first service.
Test(itemScheduler, splitRoute_itemsFollowItsShares) {
  constexpr size_t Items = 200;
  SchedulerFixture Plan(1, Items);
  EndpointRecord Record;
  Record.Id = EndpointId{"other"};
  Record.Service = "s2";
  Record.DataCentre = "dc";
  Record.Slots = Items;
  Record.Versions["m"] = 5;
  Plan.Pool.put(std::move(Record));
  Plan.SubmissionRoute.Services = {{"s", 3}, {"s2", 1}};
  Plan.submit("a", std::vector<int64_t>(Items, 10));
  std::map<ItemKey, EndpointId> Places;
  int64_t AtFirst = 0;
  for (const ItemStart &Start : Plan.Scheduler.plan(Plan.Pool, Plan.Now)) {
    Places[Start.Key] = Start.Endpoint;
    AtFirst += Start.Endpoint == EndpointId{"e0"} ? 1 : 0;
  }
  cr_assert_eq(Places.size(), Items);
  cr_assert_gt(AtFirst, 130);
  cr_assert_lt(AtFirst, 170);
  SchedulerFixture Other(1, Items);
  Other.SubmissionRoute.Services = Plan.SubmissionRoute.Services;
  Other.submit("a", std::vector<int64_t>(Items, 10));
  for (const ItemStart &Start : Other.Scheduler.plan(Other.Pool, Other.Now))
    cr_assert(Places[Start.Key] == EndpointId{"e0"});
}

Test(itemScheduler, brokenConnection_sendsItemToAnotherEngine) {
  SchedulerFixture Each(2, 2);
  Each.submit("s", {1});
  const auto First = Each.Scheduler.plan(Each.Pool, Each.Now);
  Each.Pool.workEnded(First[0].Endpoint, WorkOutcome::ConnectionBroken,
                      Millis{0}, Each.Now);
  Each.Scheduler.requeue(First[0].Key, RequeueReason::ConnectionBroken,
                         First[0].Endpoint, Each.Now);
  cr_assert(Each.Scheduler.plan(Each.Pool, Each.Now).empty());
  Each.Now += seconds(1);
  const auto Second = Each.Scheduler.plan(Each.Pool, Each.Now);
  cr_assert_eq(Second.size(), 1U);
  cr_assert(Second[0].Endpoint != First[0].Endpoint);
}

Test(itemScheduler, consecutiveBreaks_lengthenTheDelay) {
  SchedulerFixture Each(1, 1);
  Each.submit("s", {1});
  const ItemKey Key{SubmissionId{"s"}, ItemId{"i0"}};
  Millis Before{0};
  for (int Times = 0; Times < 5; ++Times) {
    Each.Scheduler.plan(Each.Pool, Each.Now);
    Each.Scheduler.requeue(Key, RequeueReason::ConnectionBroken,
                           EndpointId{"e0"}, Each.Now);
    const Millis Wait = Each.Scheduler.find(Key)->NotBefore - Each.Now;
    cr_assert(Wait > Before);
    Before = Wait;
    Each.Now += seconds(10);
  }
}

Test(itemScheduler, itemWithManyBreaks_startsSoonOnceEnginesAreStable) {
  constexpr int Engines = 3;
  constexpr int MaxBreaks = 30;
  for (int Breaks = 1; Breaks <= MaxBreaks; ++Breaks) {
    SchedulerFixture Each(Engines, 2);
    Each.submit("s", {1});
    for (int Times = 0; Times < Breaks; ++Times) {
      const auto Broken = Each.planWithin(seconds(60));
      cr_assert_eq(Broken.size(), 1U);
      Each.breakConnection(Broken[0]);
    }
    cr_assert_eq(Each.planWithin(MaxTimeWithoutEngine).size(), 1U,
                 "after %d breaks", Breaks);
  }
}

Test(itemScheduler,
     itemsWithManyCommonBreaks_allStartSoonOnceEnginesAreStable) {
  constexpr int Engines = 3;
  constexpr size_t Items = 12;
  constexpr int Breaks = 15;
  SchedulerFixture Each(Engines, 8);
  Each.submit("s", std::vector<int64_t>(Items, 1));
  for (int Times = 0; Times < Breaks; ++Times)
    for (const ItemStart &Run : Each.planWithin(seconds(60)))
      Each.breakConnection(Run);
  size_t Started = 0;
  const Millis StableSince = Each.Now;
  while (Each.Now < StableSince + MaxTimeWithoutEngine) {
    const Millis Left = StableSince + MaxTimeWithoutEngine - Each.Now;
    Started += Each.planWithin(Left).size();
  }
  cr_assert_eq(Started, Items);
}

Test(itemScheduler, droppedSubmission_leavesNoItems) {
  SchedulerFixture Each(1, 1);
  Each.submit("s", {1, 2});
  Each.plan();
  const auto Running = Each.Scheduler.dropSubmission(SubmissionId{"s"});
  cr_assert_eq(Running.size(), 1U);
  cr_assert_eq(Each.Scheduler.waiting() + Each.Scheduler.running(), 0U);
}

Test(leftovers, longestUsable_respectsVersions) {
  wire::LeftoverRecord Record;
  wire::LeftoverText Text;
  Text.Item = "i";
  wire::TextEvent Event;
  Event.Version = 4;
  Text.Events = {Event, Event};
  Text.Events[1].Version = 5;
  Record.Texts = {Text};
  LeftoverTable Table;
  cr_assert(Table.apply(encodeLeftovers(Record), seconds(1)).has_value());
  const ItemId Item{"i"};
  cr_assert(Table.contains(Item));
  cr_assert(Table.longestUsable(Item, 4, false) != nullptr);
  cr_assert(Table.longestUsable(Item, 5, false) == nullptr,
            "an event is too old");
  cr_assert(Table.longestUsable(Item, 4, true) == nullptr,
            "two versions made it");
}

Test(leftovers, shorterText_doesNotReplaceLongerOne) {
  LeftoverTable Table;
  wire::LeftoverRecord Record;
  wire::LeftoverText Text;
  Text.Item = "i";
  Text.Events.resize(3);
  Record.Texts = {Text};
  cr_assert(Table.apply(encodeLeftovers(Record), seconds(1)).has_value());
  Record.Texts[0].Events.resize(1);
  cr_assert(Table.apply(encodeLeftovers(Record), seconds(2)).has_value());
  cr_assert_eq(Table.longestUsable(ItemId{"i"}, 0, false)->Events.size(), 3U);
  Table.forget(seconds(5));
  cr_assert(Table.longestUsable(ItemId{"i"}, 0, false) == nullptr);
  cr_assert(!Table.contains(ItemId{"i"}));
}

Test(leftovers, shorterTextOfNewerVersions_isKeptAlongsideTheLongerOne) {
  LeftoverTable Table;
  wire::LeftoverRecord Record;
  wire::LeftoverText Long;
  Long.Item = "i";
  Long.Events.resize(9);
  for (wire::TextEvent &Event : Long.Events)
    Event.Version = 4;
  wire::LeftoverText Newer = Long;
  Newer.Events.resize(3);
  for (wire::TextEvent &Event : Newer.Events)
    Event.Version = 6;
  for (const auto &Texts : {std::vector{Long, Newer}, std::vector{Long}}) {
    Record.Texts = Texts;
    cr_assert(Table.apply(encodeLeftovers(Record), seconds(1)).has_value());
  }
  cr_assert_eq(Table.longestUsable(ItemId{"i"}, 4, false)->Events.size(), 9U);
  cr_assert_eq(Table.longestUsable(ItemId{"i"}, 5, false)->Events.size(), 3U);
  cr_assert(Table.longestUsable(ItemId{"i"}, 7, false) == nullptr);
}

Test(leftovers, itemWithoutText_isContained) {
  LeftoverTable Table;
  wire::LeftoverRecord Record;
  wire::LeftoverText Text;
  Text.Item = "i";
  Record.Texts = {Text};
  cr_assert(Table.apply(encodeLeftovers(Record), seconds(1)).has_value());
  cr_assert(Table.contains(ItemId{"i"}));
  cr_assert(Table.longestUsable(ItemId{"i"}, 0, false) == nullptr);
}

Test(leftovers, invalidRecord_isAnError) {
  LeftoverTable Table;
  cr_assert(Table.apply("\xff\xff\xff", seconds(1)).has_error());
}

// Guards against texts that go on at an engine of another software, and against
// items that wait for one that stays full.
Test(itemScheduler, textOfOneSoftware_waitsForItAShortTimeOnly) {
  SchedulerFixture Net(0, 1);
  for (const std::string Version : {"v1", "v2"}) {
    EndpointRecord Record;
    Record.Id = EndpointId{"engine-" + Version};
    Record.Service = "s";
    Record.DataCentre = "dc";
    Record.Software = Version;
    Record.Versions["m"] = 5;
    Net.Pool.put(std::move(Record));
  }
  Net.submit("one", {10});
  const ItemKey Key{SubmissionId{"one"}, ItemId{"i0"}};
  Net.Scheduler.setSoftware(Key, "v1", Net.Now);
  Net.Pool.workStarted(EndpointId{"engine-v1"});
  cr_expect(Net.plan().empty());
  Net.Now = Net.Now + Millis{601};
  const std::vector<ItemStart> Starts = Net.Scheduler.plan(Net.Pool, Net.Now);
  cr_assert_eq(Starts.size(), 1U);
  cr_expect_str_eq(Starts[0].Endpoint.Value.c_str(), "engine-v2");
}

Test(itemScheduler, textWhoseSoftwareIsGone_startsAtOnce) {
  SchedulerFixture Net(1, 1);
  Net.submit("one", {10});
  Net.Scheduler.setSoftware(ItemKey{SubmissionId{"one"}, ItemId{"i0"}}, "gone",
                            Net.Now);
  cr_expect_eq(Net.plan().size(), 1U);
}
