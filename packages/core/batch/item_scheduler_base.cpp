/// @file
/// Decides which waiting items run next, and where.

#include "core/batch/item_scheduler_base.h"

#include "core/batch/partition_fold_base.h"
#include "core/gateway/route_func.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphornotch {

namespace {

/// Wait before an item that was not run is offered again: an engine's queue
/// moves within a few events.
constexpr Millis NotRunDelay{40};
/// Wait after a break; doubles with each break in a row, so that engines that
/// restart are not asked all the time.
constexpr Millis BreakDelay{50};
/// Longest wait after a break: an item is never what breaks the engines, and
/// may be at none for 5 s at most while they have room. Engines that broke are
/// avoided by themselves.
constexpr Millis BreakDelayMost{1'000};
/// Wait after an answer of status 500.
constexpr Millis FailDelay{100};
/// Wait for an engine to load newer weights.
constexpr Millis TooOldDelay{60};
/// Wait of an item whose submission may have ended.
constexpr Millis HeldDelay{200};
/// @param State a submission.
/// @return each group's expected length: that of its longest item.
std::map<std::string, int64_t> groupLengths(const SubmissionState &State) {
  std::map<std::string, int64_t> Lengths;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    int64_t &Length = Lengths[Item.Group];
    Length = std::max(Length, Item.LengthHint);
  }
  return Lengths;
}

/// @param State a submission.
/// @param Returned its items that an earlier submission left open.
/// @return the groups that come again.
std::set<std::string> returnedGroups(const SubmissionState &State,
                                     const std::set<ItemId> &Returned) {
  std::set<std::string> Groups;
  for (const wire::BatchItemField &Item : State.Record.Items)
    if (Returned.contains(ItemId{Item.Id}))
      Groups.insert(Item.Group);
  return Groups;
}

/// @param State a submission.
/// @param Returned its groups that come again.
/// @return each group's rank: those that come again, which the caller waits
///   for in any case, then the others by expected length, the shortest first.
std::map<std::string, int64_t>
rankGroups(const SubmissionState &State,
           const std::set<std::string> &Returned) {
  std::vector<std::tuple<bool, int64_t, std::string>> Order;
  for (const auto &[Group, Length] : groupLengths(State))
    Order.emplace_back(!Returned.contains(Group), Length, Group);
  std::ranges::sort(Order);
  std::map<std::string, int64_t> Ranks;
  for (size_t Rank = 0; Rank < Order.size(); ++Rank)
    Ranks[std::get<std::string>(Order[Rank])] = static_cast<int64_t>(Rank);
  return Ranks;
}

/// What waiting items are compared by; the least goes first.
using ItemRank = std::tuple<bool, int64_t, int64_t, bool, int64_t, int64_t>;

/// @param Item a waiting item.
/// @return its place in the order of starts.
ItemRank rankOf(const WantedGroupsFirst & /*Order*/,
                const ScheduledItem &Item) {
  const bool Spare =
      Item.WantedGroups > 0 && Item.GroupRank >= Item.WantedGroups;
  return ItemRank{Spare,          Item.Priority,    Item.Arrival,
                  !Item.Returned, -Item.LengthHint, Item.GroupRank};
}

/// @copydoc rankOf
ItemRank rankOf(const ArrivalOrder & /*Order*/, const ScheduledItem &Item) {
  return ItemRank{false, 0, Item.Arrival, false, Item.Place, 0};
}

} // namespace

ItemOrder parseItemOrder(std::string_view Name) {
  if (Name == "arrival")
    return ArrivalOrder{};
  assert(Name == "wanted_groups");
  return WantedGroupsFirst{};
}

void ItemScheduler::add(const SubmissionState &State, const Route &By,
                        const std::set<ItemId> &Returned) {
  if (State.Ended)
    return;
  const int64_t Arrival = ++this->Arrivals;
  const std::set<std::string> Again = returnedGroups(State, Returned);
  const std::map<std::string, int64_t> Ranks = rankGroups(State, Again);
  const SubmissionId Id{State.Record.Id};
  int64_t Place = 0;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    const ItemKey Key{Id, ItemId{Item.Id}};
    if (State.Positions.contains(Key.Item) || this->Items.contains(Key))
      continue;
    ScheduledItem Added;
    Added.Key = Key;
    Added.Service = By.Services.empty() ? "" : By.Services.front().Service;
    Added.Model = State.Record.Model;
    Added.MinVersion = State.Record.MinVersion;
    Added.SingleVersion = By.SingleVersion;
    Added.Priority = By.Priority;
    Added.Arrival = Arrival;
    Added.Place = ++Place;
    Added.LengthHint = Item.LengthHint;
    Added.Returned = Again.contains(Item.Group);
    Added.GroupRank = Ranks.at(Item.Group);
    Added.WantedGroups = State.Record.WantedGroups;
    this->Items.emplace(Key, std::move(Added));
  }
}

void ItemScheduler::drop(const ItemKey &Key) {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return;
  this->RunningCount -= Found->second.Running ? 1 : 0;
  this->Items.erase(Found);
}

std::vector<ItemKey> ItemScheduler::dropAll(const SubmissionId &Id) {
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

const EndpointState *ItemScheduler::place(const ScheduledItem &Item,
                                          const EndpointPool &Pool,
                                          Millis Now) {
  EndpointQuery Query{Item.Service, Item.Model, Item.MinVersion, Item.Except,
                      1};
  const EndpointState *Chosen = Pool.choose(Query, Now);
  if (Chosen != nullptr || Query.ExcludedEndpoints.empty())
    return Chosen;
  Query.ExcludedEndpoints.clear();
  return Pool.choose(Query, Now);
}

std::vector<StartItem> ItemScheduler::plan(EndpointPool &Pool, Millis Now) {
  std::vector<ScheduledItem *> Waiting;
  for (auto &[Key, Item] : this->Items)
    if (!Item.Running && Item.NotBefore <= Now)
      Waiting.push_back(&Item);
  // Items of one rank keep the order of their keys.
  std::ranges::stable_sort(Waiting, {}, [this](const ScheduledItem *Item) {
    return std::visit([Item](const auto &By) { return rankOf(By, *Item); },
                      this->Order);
  });
  // Items that want the same are not asked for twice in vain.
  std::set<std::tuple<std::string, std::string, int64_t>> Full;
  std::vector<StartItem> Starts;
  for (ScheduledItem *Item : Waiting) {
    const auto Kind = std::tuple(Item->Service, Item->Model, Item->MinVersion);
    if (Full.contains(Kind))
      continue;
    const EndpointState *Chosen = ItemScheduler::place(*Item, Pool, Now);
    if (Chosen == nullptr) {
      Full.insert(Kind);
      continue;
    }
    Item->Running = true;
    ++this->RunningCount;
    Starts.push_back(StartItem{Item->Key, Chosen->Record.Id});
    Pool.workStarted(Starts.back().Endpoint);
  }
  return Starts;
}

void ItemScheduler::setBack(const ItemKey &Key, ItemSetback Why,
                            const EndpointId &At, Millis Now) {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return;
  ScheduledItem &Item = Found->second;
  this->RunningCount -= Item.Running ? 1 : 0;
  Item.Running = false;
  if (Why != ItemSetback::Held)
    Item.Except = {At};
  switch (Why) {
  case ItemSetback::Held:
    Item.NotBefore = Now + HeldDelay;
    return;
  case ItemSetback::NotRun:
    Item.NotBefore = Now + NotRunDelay;
    return;
  case ItemSetback::Moved:
    Item.NotBefore = Now;
    return;
  case ItemSetback::TooOld:
    Item.NotBefore = Now + TooOldDelay;
    return;
  case ItemSetback::Failed:
    ++Item.Failures;
    Item.NotBefore = Now + FailDelay;
    return;
  case ItemSetback::Broken: {
    const auto Doublings = std::min<int64_t>(Item.Breaks, 10);
    Item.NotBefore =
        Now + std::min(BreakDelay * (1LL << Doublings), BreakDelayMost);
    ++Item.Breaks;
    return;
  }
  }
}

void ItemScheduler::progressed(const ItemKey &Key) {
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
