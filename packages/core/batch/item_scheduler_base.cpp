/// @file
/// Decides which waiting items start next, and on which endpoints.

#include "core/batch/item_scheduler_base.h"

#include "base/hash_func.h"
#include "core/batch/partition_fold_base.h"
#include "core/gateway/route_func.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphornotch {

namespace {

/// Delay after an engine did not run the item: an engine's queue advances
/// within a few events.
constexpr Millis NotRunDelay{40};
/// Delay after a broken connection; doubles with each consecutive one, so that
/// restarting engines do not get requests all the time.
constexpr Millis BreakDelay{50};
/// Longest delay after a broken connection: an item is never what makes engines
/// fail, and it must be on one again within 5 s while engines have free slots.
/// The endpoint pool avoids engines that failed.
constexpr Millis MaxBreakDelay{1'000};
/// Delay after an answer with status 500.
constexpr Millis FailureDelay{100};
/// Delay in which an engine may load newer weights.
constexpr Millis VersionTooOldDelay{60};
/// Delay of an item whose submission may have ended.
constexpr Millis HeldDelay{200};

/// @return each group's expected length: that of its longest item, in tokens.
std::map<std::string, int64_t> groupLengths(const SubmissionState &State) {
  std::map<std::string, int64_t> Lengths;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    int64_t &Length = Lengths[Item.Group];
    Length = std::max(Length, Item.LengthHint);
  }
  return Lengths;
}

/// @return the groups with an item that an earlier submission left unfinished.
std::set<std::string>
resubmittedGroups(const SubmissionState &State,
                  const std::set<ItemId> &ResubmittedItems) {
  std::set<std::string> Groups;
  for (const wire::BatchItemField &Item : State.Record.Items)
    if (ResubmittedItems.contains(ItemId{Item.Id}))
      Groups.insert(Item.Group);
  return Groups;
}

/// @return each group's rank: first the resubmitted groups, which the caller
///   waits for in any case, then the others by expected length, the shortest
///   first.
std::map<std::string, int64_t>
rankGroups(const SubmissionState &State,
           const std::set<std::string> &ResubmittedGroups) {
  std::vector<std::tuple<bool, int64_t, std::string>> Order;
  for (const auto &[Group, Length] : groupLengths(State))
    Order.emplace_back(!ResubmittedGroups.contains(Group), Length, Group);
  std::ranges::sort(Order);
  std::map<std::string, int64_t> Ranks;
  for (size_t Rank = 0; Rank < Order.size(); ++Rank)
    Ranks[std::get<std::string>(Order[Rank])] = static_cast<int64_t>(Rank);
  return Ranks;
}

/// Bytes of a prompt in a token, for its estimate.
constexpr int64_t BytesPerToken = 4;

/// Sort key of waiting items; the smallest starts first.
using ItemRank = std::tuple<bool, int64_t, int64_t, bool, int64_t, int64_t>;

ItemRank rankOf(const WantedGroupsFirst & /*Order*/,
                const ScheduledItem &Item) {
  const bool BeyondWanted =
      Item.WantedGroups > 0 && Item.GroupRank >= Item.WantedGroups;
  return ItemRank{BeyondWanted,      Item.Priority,    Item.Arrival,
                  !Item.Resubmitted, -Item.LengthHint, Item.GroupRank};
}

ItemRank rankOf(const ArrivalOrder & /*Order*/, const ScheduledItem &Item) {
  return ItemRank{false, 0, Item.Arrival, false, Item.IndexInSubmission, 0};
}

/// Sets what an item takes from its submission's route. The items of a split
/// route follow its shares; each owner draws the same service for an item.
void applyRoute(const Route &SubmissionRoute, ScheduledItem &Item) {
  Item.RouteName = SubmissionRoute.Name;
  Item.Service = drawService(SubmissionRoute, hashBytes(Item.Key.Item.Value));
  Item.SingleVersion = SubmissionRoute.SingleVersion;
  Item.Priority = SubmissionRoute.Priority;
  Item.Attempts = std::max(Item.Attempts, SubmissionRoute.Attempts);
}

} // namespace

ItemOrder parseItemOrder(std::string_view Name) {
  if (Name == "arrival")
    return ArrivalOrder{};
  assert(Name == "wanted_groups");
  return WantedGroupsFirst{};
}

void ItemScheduler::add(const SubmissionState &State,
                        const Route &SubmissionRoute,
                        const std::set<ItemId> &ResubmittedItems) {
  if (State.Ended)
    return;
  const int64_t Arrival = ++this->Arrivals;
  const std::set<std::string> ResubmittedGroups =
      resubmittedGroups(State, ResubmittedItems);
  const std::map<std::string, int64_t> Ranks =
      rankGroups(State, ResubmittedGroups);
  const SubmissionId Id{State.Record.Id};
  int64_t Index = 0;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    const ItemKey Key{Id, ItemId{Item.Id}};
    if (State.Positions.contains(Key.Item) || this->Items.contains(Key))
      continue;
    ScheduledItem Added;
    Added.Key = Key;
    applyRoute(SubmissionRoute, Added);
    Added.Model = State.Record.Model;
    Added.MinVersion = State.Record.MinVersion;
    Added.Arrival = Arrival;
    Added.IndexInSubmission = ++Index;
    Added.LengthHint = Item.LengthHint;
    Added.PromptTokens = static_cast<int64_t>(Item.Body.size()) / BytesPerToken;
    Added.Resubmitted = ResubmittedGroups.contains(Item.Group);
    Added.GroupRank = Ranks.at(Item.Group);
    Added.WantedGroups = State.Record.WantedGroups;
    this->Items.emplace(Key, std::move(Added));
  }
}

std::set<SubmissionId> ItemScheduler::submissions() const {
  std::set<SubmissionId> Ids;
  for (const auto &[Key, Item] : this->Items)
    Ids.insert(Ids.end(), Key.Submission);
  return Ids;
}

bool ItemScheduler::updateRoute(const SubmissionId &Id,
                                const Route &SubmissionRoute) {
  bool Moved = false;
  for (auto Each = this->Items.lower_bound(ItemKey{Id, ItemId{}});
       Each != this->Items.end() && Each->first.Submission == Id; ++Each) {
    const std::string ServiceBefore = Each->second.Service;
    applyRoute(SubmissionRoute, Each->second);
    Moved |= Each->second.Service != ServiceBefore;
  }
  return Moved;
}

void ItemScheduler::drop(const ItemKey &Key) {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return;
  this->RunningCount -= Found->second.Running ? 1 : 0;
  this->Items.erase(Found);
}

std::vector<ItemKey> ItemScheduler::dropSubmission(const SubmissionId &Id) {
  std::vector<ItemKey> Running;
  std::erase_if(this->Items, [&](const auto &Each) {
    if (Each.first.Submission != Id)
      return false;
    if (Each.second.Running)
      Running.push_back(Each.first);
    return true;
  });
  this->RunningCount -= Running.size();
  return Running;
}

const EndpointState *ItemScheduler::chooseEndpoint(const ScheduledItem &Item,
                                                   const ExpectedWork &Work,
                                                   const EndpointPool &Pool,
                                                   Millis Now) {
  EndpointQuery Query{Item.Service,           Item.Model, Item.MinVersion,
                      Item.ExcludedEndpoints, 1,          Work};
  const EndpointState *Chosen = Pool.choose(Query, Now);
  if (Chosen != nullptr || Query.ExcludedEndpoints.empty())
    return Chosen;
  Query.ExcludedEndpoints.clear();
  return Pool.choose(Query, Now);
}

std::vector<ItemStart> ItemScheduler::plan(EndpointPool &Pool, Millis Now) {
  std::vector<ScheduledItem *> Waiting;
  for (auto &[Key, Item] : this->Items)
    if (!Item.Running && Item.NotBefore <= Now)
      Waiting.push_back(&Item);
  // Items of equal rank stay in the order of their keys.
  std::ranges::stable_sort(Waiting, {}, [this](const ScheduledItem *Item) {
    return std::visit(
        [Item](const auto &Chosen) { return rankOf(Chosen, *Item); },
        this->Order);
  });
  // If no endpoint has room for an item, none has for others that need the
  // same service, model and version.
  std::set<std::tuple<std::string, std::string, int64_t>> Unplaceable;
  std::vector<ItemStart> Starts;
  for (ScheduledItem *Item : Waiting) {
    const auto Needs = std::tuple(Item->Service, Item->Model, Item->MinVersion);
    if (Unplaceable.contains(Needs))
      continue;
    const ExpectedWork Work = Pool.usesForecasts() && this->WorkOf
                                  ? this->WorkOf(*Item)
                                  : ExpectedWork{};
    const EndpointState *Chosen =
        ItemScheduler::chooseEndpoint(*Item, Work, Pool, Now);
    if (Chosen == nullptr) {
      Unplaceable.insert(Needs);
      continue;
    }
    Item->Running = true;
    ++this->RunningCount;
    Starts.push_back(ItemStart{Item->Key, Chosen->Record.Id, Work, {}});
    if (Pool.usesForecasts())
      Starts.back().Forecast = Pool.forecast(*Chosen, Work, Now);
    Pool.workStarted(Starts.back().Endpoint);
  }
  return Starts;
}

void ItemScheduler::requeue(const ItemKey &Key, RequeueReason Reason,
                            const EndpointId &Endpoint, Millis Now) {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return;
  ScheduledItem &Item = Found->second;
  this->RunningCount -= Item.Running ? 1 : 0;
  Item.Running = false;
  if (Reason != RequeueReason::Held)
    Item.ExcludedEndpoints = {Endpoint};
  switch (Reason) {
  case RequeueReason::Held:
    Item.NotBefore = Now + HeldDelay;
    return;
  case RequeueReason::NotRun:
    Item.NotBefore = Now + NotRunDelay;
    return;
  case RequeueReason::Moved:
    Item.NotBefore = Now;
    return;
  case RequeueReason::VersionTooOld:
    Item.NotBefore = Now + VersionTooOldDelay;
    return;
  case RequeueReason::Failed:
    ++Item.Failures;
    Item.NotBefore = Now + FailureDelay;
    return;
  case RequeueReason::ConnectionBroken: {
    const auto Doublings = std::min<int64_t>(Item.Breaks, 10);
    Item.NotBefore =
        Now + std::min(BreakDelay * (1LL << Doublings), MaxBreakDelay);
    ++Item.Breaks;
    return;
  }
  }
}

void ItemScheduler::noteProgress(const ItemKey &Key) {
  const auto Found = this->Items.find(Key);
  if (Found != this->Items.end())
    Found->second.Breaks = 0;
}

const ScheduledItem *ItemScheduler::find(const ItemKey &Key) const {
  const auto Found = this->Items.find(Key);
  return Found == this->Items.end() ? nullptr : &Found->second;
}

size_t ItemScheduler::waiting() const {
  return this->Items.size() - this->RunningCount;
}

} // namespace camphornotch
