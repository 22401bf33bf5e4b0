/// @file
/// Decides which waiting items start next, and on which endpoints.

#include "core/batch/item_scheduler_base.h"

#include "base/hash_func.h"
#include "core/batch/item_order_func.h"
#include "core/batch/partition_fold_base.h"
#include "core/gateway/route_func.h"

#include <algorithm>
#include <cassert>
#include <optional>
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
/// Longest wait for an engine that can go on with a text: that of an engine's
/// queue. Beginning anew costs less than a longer one.
constexpr Millis SameSoftwareWait{600};
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
  if (Name == "fair_share")
    return FairShareOrder{};
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
  const std::string Account(
      submittingAccount(State.Record).value_or(std::string_view()));
  int64_t Index = 0;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    const ItemKey Key{Id, ItemId{Item.Id}};
    if (State.Positions.contains(Key.Item) || this->Items.contains(Key))
      continue;
    ScheduledItem Added;
    Added.Key = Key;
    Added.Account = Account;
    Added.Group = Item.Group;
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
  if (!std::holds_alternative<FairShareOrder>(this->Order) || Account.empty() ||
      State.Record.WantedGroups <= 0)
    return;
  this->Steps.insert_or_assign(
      Id, StepProgress(State, ResubmittedGroups,
                       this->Means.expected(SubmissionRoute.Name)));
  this->ChangedSteps.insert(Id);
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

void ItemScheduler::drop(const ItemKey &Key, ItemEnd End) {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return;
  if (std::holds_alternative<FairShareOrder>(this->Order) &&
      !Found->second.Account.empty())
    this->noteEnd(Found->second, End);
  this->RunningCount -= Found->second.Running ? 1 : 0;
  this->Items.erase(Found);
}

void ItemScheduler::noteEnd(const ScheduledItem &Item, const ItemEnd &End) {
  if (End.Completed && End.Work > 0)
    this->Means.add(Item.RouteName, End.Work);
  if (End.Work > 0 && Item.ChargedWork > 0)
    this->Shares.corrected(sharePoolOf(Item), Item.Account,
                           End.Work - Item.ChargedWork);
  const auto Step = this->Steps.find(Item.Key.Submission);
  if (Step == this->Steps.end())
    return;
  Step->second.itemEnded(Item.Key.Item, End.Completed);
  this->ChangedSteps.insert(Item.Key.Submission);
}

void ItemScheduler::updateRanks() {
  for (const SubmissionId &Id : this->ChangedSteps) {
    const auto Step = this->Steps.find(Id);
    if (Step == this->Steps.end())
      continue;
    const std::map<std::string, int64_t> &Ranks = Step->second.ranks();
    for (auto Each = this->Items.lower_bound(ItemKey{Id, ItemId{}});
         Each != this->Items.end() && Each->first.Submission == Id; ++Each)
      Each->second.GroupRank = Ranks.at(Each->second.Group);
  }
  this->ChangedSteps.clear();
}

double ItemScheduler::charge(ScheduledItem &Item) const {
  // What an item was charged with at its first start covers all of its runs.
  if (Item.ChargedWork > 0)
    return 0;
  Item.ChargedWork = this->expectedWork(Item);
  return Item.ChargedWork;
}

void ItemScheduler::setExpectedWork(const ItemKey &Key, double Work) {
  const auto Found = this->Items.find(Key);
  if (Found != this->Items.end())
    Found->second.ExpectedWork = Work;
}

double ItemScheduler::expectedWork(const ScheduledItem &Item) const {
  if (Item.ExpectedWork > 0)
    return Item.ExpectedWork;
  return Item.LengthHint > 0 ? static_cast<double>(Item.LengthHint)
                             : this->Means.expected(Item.RouteName);
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
  this->Steps.erase(Id);
  std::set<std::string> Present;
  for (const auto &[Key, Item] : this->Items)
    Present.insert(Item.Account);
  this->Shares.trim(Present);
  return Running;
}

const EndpointState *ItemScheduler::chooseEndpoint(const ScheduledItem &Item,
                                                   const ExpectedWork &Work,
                                                   const EndpointPool &Pool,
                                                   Millis Now) {
  EndpointQuery Query{Item.Service,           Item.Model, Item.MinVersion,
                      Item.ExcludedEndpoints, 1,          Work};
  if (Now < Item.SoftwareUntil) {
    EndpointQuery Same{Item.Service, Item.Model, Item.MinVersion};
    Same.Software = Item.Software;
    if (Pool.serves(Same, Now))
      Query.Software = Item.Software;
  }
  const EndpointState *Chosen = Pool.choose(Query, Now);
  if (Chosen != nullptr || Query.ExcludedEndpoints.empty())
    return Chosen;
  Query.ExcludedEndpoints.clear();
  return Pool.choose(Query, Now);
}

std::vector<ItemStart> ItemScheduler::plan(EndpointPool &Pool, Millis Now) {
  this->updateRanks();
  std::vector<ScheduledItem *> Waiting;
  for (auto &[Key, Item] : this->Items)
    if (!Item.Running && Item.NotBefore <= Now)
      Waiting.push_back(&Item);
  // Items of equal rank stay in the order of their keys.
  sortWaiting(this->Order, Waiting);
  std::optional<FairTurns> Turns;
  if (std::holds_alternative<FairShareOrder>(this->Order))
    Turns.emplace(this->Shares, Waiting);
  AccountLoads Loads;
  if (!this->Quotas.empty())
    Loads = this->accountLoads();
  // If no endpoint has room for an item, none has for others that need the
  // same service, model and version.
  std::set<
      std::tuple<std::string, std::string, int64_t, std::optional<std::string>>>
      Unplaceable;
  std::vector<ItemStart> Starts;
  for (ScheduledItem *Turn : Waiting) {
    ScheduledItem *Item = Turns.has_value() ? &Turns->next(*Turn) : Turn;
    const auto Quota = this->Quotas.find(Item->Account);
    if (Turns.has_value() && Quota != this->Quotas.end() &&
        Loads[Item->Account].Running >= Quota->second)
      continue;
    const auto Needs =
        std::tuple(Item->Service, Item->Model, Item->MinVersion,
                   Now < Item->SoftwareUntil ? Item->Software : std::nullopt);
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
    if (Quota != this->Quotas.end())
      ++Loads[Item->Account].Running;
    if (Turns.has_value())
      Turns->started(*Item, this->charge(*Item));
    Starts.push_back(ItemStart{Item->Key, Chosen->Record.Id, Work, {}});
    if (Pool.usesForecasts())
      Starts.back().Forecast = Pool.forecast(*Chosen, Work, Now);
    Pool.workStarted(Starts.back().Endpoint);
  }
  return Starts;
}

void ItemScheduler::setSoftware(const ItemKey &Key,
                                std::optional<std::string> Software,
                                Millis Now) {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return;
  Found->second.SoftwareUntil =
      Software.has_value() ? Now + SameSoftwareWait : Millis{0};
  Found->second.Software = std::move(Software);
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

AccountLoads ItemScheduler::accountLoads() const {
  AccountLoads Loads;
  for (const auto &[Key, Item] : this->Items) {
    if (Item.Account.empty())
      continue;
    AccountLoad &Load = Loads[Item.Account];
    ++(Item.Running ? Load.Running : Load.Waiting);
  }
  return Loads;
}

size_t ItemScheduler::openInGroup(const ScheduledItem &Item) const {
  const auto Step = this->Steps.find(Item.Key.Submission);
  return Step == this->Steps.end() ? 0 : Step->second.openItems(Item.Group);
}

size_t ItemScheduler::waiting() const {
  return this->Items.size() - this->RunningCount;
}

} // namespace camphornotch
