/// @file
/// A scheduler with submissions of accounts and engines of one service.

#ifndef CAMPHORNOTCH_TESTS_BATCH_ORDER_FIXTURE_H
#define CAMPHORNOTCH_TESTS_BATCH_ORDER_FIXTURE_H

#include "core/batch/item_scheduler_base.h"
#include "core/gateway/endpoint_pool_base.h"

#include <string>
#include <utility>
#include <vector>

namespace camphornotch {

/// @return an engine of service "s" with model "m" in version 5.
inline EndpointRecord engineRecord(const std::string &Id, int64_t Slots) {
  EndpointRecord Record;
  Record.Id = EndpointId{Id};
  Record.Service = "s";
  Record.DataCentre = "dc";
  Record.Slots = Slots;
  Record.Versions["m"] = 5;
  Record.ListenAddress = Address{Id, 1};
  return Record;
}

/// A submission to add.
struct TestSubmission {
  std::string Id;
  /// Empty: none.
  std::string Account;
  /// Expected length of each item; 0: no hint.
  std::vector<int64_t> Hints;
  int64_t Priority = 0;
  int64_t WantedGroups = 0;
  size_t GroupSize = 1;
};

struct OrderFixture {
  ItemScheduler Scheduler;
  EndpointPool Pool{Geography{"dc", {}}};
  Millis Now = seconds(10);

  explicit OrderFixture(ItemOrder Order, int Engines = 1, int64_t Slots = 1)
      : Scheduler(Order) {
    for (int Index = 0; Index < Engines; ++Index)
      this->Pool.put(engineRecord("e" + std::to_string(Index), Slots));
  }

  void submit(const TestSubmission &Added) {
    SubmissionState State;
    State.Record.Id = Added.Id;
    State.Record.Model = "m";
    State.Record.MinVersion = 5;
    State.Record.WantedGroups = Added.WantedGroups;
    if (!Added.Account.empty())
      State.Record.__set_Account(Added.Account);
    for (size_t Index = 0; Index < Added.Hints.size(); ++Index) {
      wire::BatchItemField Item;
      Item.Id = "i" + std::to_string(Index);
      Item.Group = "g" + std::to_string(Index / Added.GroupSize);
      Item.LengthHint = Added.Hints[Index];
      State.Record.Items.push_back(Item);
    }
    Route Chosen;
    Chosen.Services = {{"s", 1}};
    Chosen.Priority = Added.Priority;
    this->Scheduler.add(State, Chosen);
  }

  std::vector<ItemStart> plan() {
    return this->Scheduler.plan(this->Pool, this->Now);
  }

  /// Ends a running item with its result.
  void finish(const ItemStart &Run, ItemEnd End = {}) {
    this->Pool.workEnded(Run.Endpoint, WorkOutcome::Answered, Millis{0},
                         this->Now);
    this->Scheduler.drop(Run.Key, End);
  }

  /// Starts and finishes one item.
  /// @return its submission; empty: none can start.
  std::string serveOne() {
    const std::vector<ItemStart> Starts = this->plan();
    if (Starts.empty())
      return "";
    this->finish(Starts.front());
    return Starts.front().Key.Submission.Value;
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_BATCH_ORDER_FIXTURE_H
