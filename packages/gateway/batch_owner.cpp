/// @file
/// Batch submissions: group membership and ownership of partitions.

#include "gateway/batch_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/accounts/access_func.h"
#include "core/gateway/route_func.h"
#include "core/store/member_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Pause between joins. Several fit into a member's lifetime, so that one may
/// be lost. A join counts as a tenth of a call.
constexpr Millis JoinInterval{500};
/// Pause between joins after a start while nothing is owned: other members are
/// about to release partitions.
constexpr Millis QuickJoinInterval{150};
/// Consecutive joins without a partition after which JoinInterval applies: 3 s.
/// If there are more members than partitions, some never own one.
constexpr int MaxQuickJoins = 20;
/// Time between the loss of partitions and the join that releases them. The
/// progress of their runs is appended meanwhile, unless the store is slow.
constexpr Millis ReleaseDelay{60};
/// Interval at which the process notes that it runs.
constexpr Millis TickInterval{200};
/// Pause between searches for submissions whose lifetime is over.
constexpr Millis ForgetInterval{5'000};
/// Pause between checks for unacknowledged appends during the hand-over.
constexpr Millis HandOverCheckInterval{20};
/// Longest wait for those appends.
constexpr Millis MaxHandOverTime{1'500};

/// @return the key of a submission's route: host and first segment of the path.
std::string routeKey(const SubmissionState &State) {
  const std::string &Path = State.Record.Path;
  return concat(State.Record.Host, Path.substr(0, Path.find('/', 1)));
}

} // namespace

void BatchTask::begin(const Address &Peers) {
  this->Member.Member = memberName(this->Settings.Common.Host, Peers);
  this->OwnerCalls.begin(this->Member.Member);
  // The store creates the topic's partitions at the first append or read.
  this->join();
  this->forgetOld();
  this->tick();
}

void BatchTask::tick() {
  this->Ends.tick(bootNow());
  this->Events.callAfter(TickInterval, [this] { this->tick(); });
}

void BatchTask::join() {
  if (this->Leaving)
    return;
  this->Store.join(this->Member, [this](const StoreResult<GroupShare> &Share) {
    bool Lost = false;
    if (Share.has_value())
      this->Ends.joined(bootNow());
    if (Share.has_value() && !this->Leaving)
      Lost = this->applyShare(Share.value());
    else if (!Share.has_value())
      logLine(LogLevel::Warn, "group not joined",
              {{"cause", Share.error().Cause.Message}});
    this->EmptyJoins = this->Owned.empty() ? this->EmptyJoins + 1 : 0;
    const bool Quick = this->Owned.empty() && this->EmptyJoins < MaxQuickJoins;
    Millis Pause = Quick ? QuickJoinInterval : JoinInterval;
    if (Lost)
      Pause = ReleaseDelay;
    this->Events.callAfter(Pause, [this] { this->join(); });
  });
}

bool BatchTask::knowsEnd(const SubmissionId &Id) {
  const PartitionId Partition = this->partitionOf(Id);
  const Millis UpToDateAt = this->follower(Partition).upToDateAt();
  const Millis Now = bootNow();
  if (this->Ends.permitsStart(UpToDateAt, Now)) {
    this->UnreadPartitions.erase(Partition);
    return true;
  }
  if (this->UnreadPartitions.insert(Partition).second)
    logLine(LogLevel::Warn, "items of an unread partition do not start",
            {{"partition", concat(Partition.Number)},
             {"unread_ms", concat((Now - UpToDateAt).Count)}});
  return false;
}

bool BatchTask::applyShare(const GroupShare &Share) {
  this->Member.Generation = Share.Generation;
  this->OwnerCalls.noteGeneration(Share.Generation);
  const std::set<PartitionId> Assigned(Share.Partitions.begin(),
                                       Share.Partitions.end());
  if (Assigned == this->Owned)
    return false;
  logLine(LogLevel::Info, "partitions assigned",
          {{"generation", concat(Share.Generation)},
           {"owned", concat(Assigned.size())},
           {"owned_before", concat(this->Owned.size())}});
  const std::set<PartitionId> OwnedBefore = std::move(this->Owned);
  this->Owned = Assigned;
  for (const PartitionId &Partition : OwnedBefore) {
    if (Assigned.contains(Partition))
      continue;
    this->Adopted.erase(Partition);
    this->follower(Partition).setOwned(false);
    this->followLocally(Partition);
    // The next owner starts after this process has joined again.
    for (const auto &[Id, State] : this->follower(Partition).fold().all()) {
      this->Items.saveProgress(Id);
      this->Items.removeSubmission(Id);
    }
  }
  for (const PartitionId &Partition : Assigned) {
    if (OwnedBefore.contains(Partition))
      continue;
    this->follower(Partition).setOwned(true);
    if (this->follower(Partition).caughtUp())
      this->adoptAll(Partition);
  }
  return !std::ranges::includes(Assigned, OwnedBefore);
}

void BatchTask::adoptAll(const PartitionId &Partition) {
  if (!this->Adopted.insert(Partition).second)
    return;
  for (const auto &[Id, State] : this->follower(Partition).fold().all())
    this->adopt(State);
}

void BatchTask::adopt(const SubmissionState &State) {
  if (State.Ended || State.Results.size() >= State.Record.Items.size())
    return;
  logLine(LogLevel::Info, "submission taken over",
          {{"submission", State.Record.Id},
           {"items", concat(State.Record.Items.size())},
           {"listed", concat(State.Results.size())},
           {"min_version", concat(State.Record.MinVersion)}});
  this->OnVersionNeeded(State.Record.Model, State.Record.MinVersion);
  const SubmissionId Id{State.Record.Id};
  this->Leftovers.refresh(routeKey(State),
                          [this, Id] { this->startItems(Id); });
}

void BatchTask::startItems(const SubmissionId &Id) {
  const PartitionId Partition = this->partitionOf(Id);
  const SubmissionState *State = this->follower(Partition).fold().find(Id);
  // Meanwhile it may have ended or got another owner.
  if (State == nullptr || State->Ended || !this->Adopted.contains(Partition) ||
      this->Leaving)
    return;
  const Route *Matched =
      findRoute(this->Routes(), State->Record.Host, State->Record.Path);
  const bool Single = Matched != nullptr && Matched->SingleVersion;
  std::set<ItemId> Resubmitted;
  for (const wire::BatchItemField &Item : State->Record.Items) {
    const ItemId Name{Item.Id};
    const ItemId LeftoverId{
        accountScopedId(submittingAccount(State->Record), Item.Id)};
    if (!this->Leftovers.table().contains(LeftoverId))
      continue;
    Resubmitted.insert(Name);
    const StoredText *Text = this->Leftovers.table().longestUsable(
        LeftoverId, State->Record.MinVersion, Single);
    if (Text != nullptr && !State->Positions.contains(Name))
      this->Items.restoreText(ItemKey{Id, Name}, *Text);
  }
  if (!this->Items.addSubmission(*State, Resubmitted))
    this->Unrouted.insert(Id);
}

void BatchTask::routesChanged() {
  for (const SubmissionId &Id : std::exchange(this->Unrouted, {}))
    this->startItems(Id);
  this->Items.updateRoutes();
}

void BatchTask::storeLeftovers(const SubmissionState &State) {
  const wire::LeftoverRecord Record = this->Items.leftovers(State);
  if (!Record.Texts.empty())
    this->Leftovers.write(routeKey(State), Record);
}

void BatchTask::onChanges(const PartitionId &Partition,
                          const std::vector<PartitionChange> &Changes) {
  const PartitionFollower &Follower = this->follower(Partition);
  const bool Owns = this->Owned.contains(Partition);
  const bool WasAdopted = this->Adopted.contains(Partition);
  std::set<SubmissionId> ChangedSubmissions;
  for (const PartitionChange &Change : Changes) {
    if (const auto *Added = std::get_if<SubmissionAdded>(&Change)) {
      if (Owns && WasAdopted)
        this->adopt(*Follower.fold().find(Added->Id));
    } else if (const auto *Listed = std::get_if<ItemResultAdded>(&Change)) {
      ChangedSubmissions.insert(Listed->Key.Submission);
      this->Items.onResultAdded(Listed->Key);
    } else if (const auto *Ended = std::get_if<SubmissionEnded>(&Change)) {
      ChangedSubmissions.insert(Ended->Id);
      if (Owns && WasAdopted)
        this->storeLeftovers(*Follower.fold().find(Ended->Id));
      this->Items.removeSubmission(Ended->Id);
    }
  }
  if (Owns && Follower.caughtUp())
    this->adoptAll(Partition);
  if (ChangedSubmissions.empty())
    return;
  std::vector<uint64_t> Ready;
  for (const auto &[Number, Read] : this->WaitingReads)
    if (ChangedSubmissions.contains(Read.Query.Id))
      Ready.push_back(Number);
  for (const uint64_t Number : Ready)
    this->answerWaiting(Number);
}

void BatchTask::forgetOld() {
  this->Events.callAfter(ForgetInterval, [this] { this->forgetOld(); });
  const Millis SeenBefore = steadyNow() - this->Settings.SubmissionLifetime;
  for (const auto &[Partition, Each] : this->Followers)
    Each->forget(SeenBefore);
  this->Leftovers.forgetOld();
}

void BatchTask::handOver(const std::function<void()> &Done) {
  this->Leaving = true;
  this->Items.stop();
  this->Items.saveAllProgress();
  std::vector<uint64_t> Numbers;
  for (const auto &[Number, Read] : this->WaitingReads)
    Numbers.push_back(Number);
  for (const uint64_t Number : Numbers)
    this->answerWaiting(Number);
  const Millis Deadline = steadyNow() + MaxHandOverTime;
  const auto Check = std::make_shared<std::function<void()>>();
  *Check = [this, Check, Deadline, Done] {
    if (this->Appender.pendingCount() > 0 && steadyNow() < Deadline) {
      this->Events.callAfter(HandOverCheckInterval, *Check);
      return;
    }
    for (const PartitionId &Partition : this->Owned)
      for (const auto &[Id, State] : this->follower(Partition).fold().all())
        this->Items.removeSubmission(Id);
    logLine(LogLevel::Info, "partitions handed over",
            {{"owned", concat(this->Owned.size())}});
    this->Store.leave(this->Member,
                      [Done](const StoreResult<bool> &) { Done(); });
  };
  (*Check)();
}

} // namespace camphornotch
