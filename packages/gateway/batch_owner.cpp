/// @file
/// Batch submissions: membership, owned partitions, hand-over.

#include "gateway/batch_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "core/store/member_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Pause between joins: several fit into a member's lifetime, so that one may
/// be lost; a join counts as a tenth of a call.
constexpr Millis JoinInterval{500};
/// The same after a start, while nothing is owned: what others release comes
/// soon.
constexpr Millis JoinIntervalEmpty{150};
/// Joins in a row without any partition after which the usual pause holds:
/// three seconds; members beyond the number of partitions never own one.
constexpr int MostQuickJoins = 20;
/// Time between the loss of partitions and the join that releases them: the
/// progress of their runs is appended within it, unless the store is slow.
constexpr Millis ReleaseDelay{60};
/// Time without an answered read of a partition, while the store answers joins,
/// after which its items do not start: an ended submission's item must not
/// reach an engine 3 s after the acknowledgement.
constexpr Millis UnreadMost{2'000};
/// Longest time between two answered reads of a partition that is followed.
constexpr Millis ReadInterval{1'000};
/// Pause between looks for submissions that may be forgotten.
constexpr Millis ForgetInterval{5'000};
/// Pause between looks at appends that are not acknowledged on leaving.
constexpr Millis HandOverLook{20};
/// Longest wait for those appends.
constexpr Millis HandOverMost{1'500};

/// @param State a submission.
/// @return what names its route: host and the first part of its path.
std::string routeKey(const SubmissionState &State) {
  const std::string &Path = State.Record.Path;
  return concat(State.Record.Host, Path.substr(0, Path.find('/', 1)));
}

} // namespace

void BatchTask::begin(const Address &Peers) {
  this->Member.Member = memberName(this->Settings.Common.Host, Peers);
  this->OwnerCalls.begin(this->Member.Member);
  // The topic has its partitions from the first append or read on.
  this->join();
  this->forgetOld();
}

void BatchTask::join() {
  if (this->Leaving)
    return;
  this->Store.join(this->Member, [this](const StoreResult<GroupShare> &Share) {
    bool Lost = false;
    if (Share.has_value())
      this->JoinedAt = bootNow();
    if (Share.has_value() && !this->Leaving)
      Lost = this->takeShare(Share.value());
    else if (!Share.has_value())
      logLine(LogLevel::Warn, "group not joined",
              {{"cause", Share.error().Cause.Message}});
    this->EmptyJoins = this->Owned.empty() ? this->EmptyJoins + 1 : 0;
    const bool Quick = this->Owned.empty() && this->EmptyJoins < MostQuickJoins;
    Millis Pause = Quick ? JoinIntervalEmpty : JoinInterval;
    if (Lost)
      Pause = ReleaseDelay;
    this->Events.callAfter(Pause, [this] { this->join(); });
  });
}

bool BatchTask::knowsEnd(const SubmissionId &Id) {
  const PartitionId Where = this->partitionOf(Id);
  const Millis KnownAt = this->follower(Where).knownAt();
  const Millis Unread = bootNow() - KnownAt;
  // While the store answers nothing, no end is acknowledged either.
  const bool StoreServes = this->JoinedAt - KnownAt > ReadInterval;
  if (Unread < UnreadMost || !StoreServes) {
    this->Held.erase(Where);
    return true;
  }
  if (this->Held.insert(Where).second)
    logLine(LogLevel::Warn, "items of an unread partition do not start",
            {{"partition", concat(Where.Part)},
             {"unread_ms", concat(Unread.Count)}});
  return false;
}

bool BatchTask::takeShare(const GroupShare &Share) {
  this->Member.Generation = Share.Generation;
  this->OwnerCalls.generationSeen(Share.Generation);
  const std::set<PartitionId> Now(Share.Parts.begin(), Share.Parts.end());
  if (Now == this->Owned)
    return false;
  logLine(LogLevel::Info, "partitions dealt out",
          {{"generation", concat(Share.Generation)},
           {"owned", concat(Now.size())},
           {"owned_before", concat(this->Owned.size())}});
  const std::set<PartitionId> Before = std::move(this->Owned);
  this->Owned = Now;
  for (const PartitionId &Where : Before) {
    if (Now.contains(Where))
      continue;
    this->Adopted.erase(Where);
    this->follower(Where).own(false);
    this->readHere(Where);
    // The next owner starts once this one has joined again.
    for (const auto &[Id, State] : this->follower(Where).fold().all()) {
      this->Items.saveProgress(Id);
      this->Items.removeSubmission(Id);
    }
  }
  for (const PartitionId &Where : Now) {
    if (Before.contains(Where))
      continue;
    this->follower(Where).own(true);
    if (this->follower(Where).caughtUp())
      this->adoptAll(Where);
  }
  return !std::ranges::includes(Now, Before);
}

void BatchTask::adoptAll(const PartitionId &Where) {
  if (!this->Adopted.insert(Where).second)
    return;
  for (const auto &[Id, State] : this->follower(Where).fold().all())
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
  this->Demanded(State.Record.Model, State.Record.MinVersion);
  const SubmissionId Id{State.Record.Id};
  this->Leftovers.refresh(routeKey(State),
                          [this, Id] { this->startItems(Id); });
}

void BatchTask::startItems(const SubmissionId &Id) {
  const PartitionId Where = this->partitionOf(Id);
  const SubmissionState *State = this->follower(Where).fold().find(Id);
  // It may have ended, or have another owner, by now.
  if (State == nullptr || State->Ended || !this->Adopted.contains(Where) ||
      this->Leaving)
    return;
  const Route *By =
      findRoute(this->Routes(), State->Record.Host, State->Record.Path);
  const bool Single = By != nullptr && By->SingleVersion;
  std::set<ItemId> Returned;
  for (const wire::BatchItemField &Item : State->Record.Items) {
    const ItemId Name{Item.Id};
    if (!this->Leftovers.table().knows(Name))
      continue;
    Returned.insert(Name);
    const StoredText *Text =
        this->Leftovers.table().best(Name, State->Record.MinVersion, Single);
    if (Text != nullptr && !State->Positions.contains(Name))
      this->Items.restoreText(ItemKey{Id, Name}, *Text);
  }
  if (!this->Items.addSubmission(*State, Returned))
    this->Unrouted.insert(Id);
}

void BatchTask::routesChanged() {
  for (const SubmissionId &Id : std::exchange(this->Unrouted, {}))
    this->startItems(Id);
  this->Items.scheduleStart();
}

void BatchTask::keepLeftovers(const SubmissionState &State) {
  const wire::LeftoverRecord Record = this->Items.leftovers(State);
  if (!Record.Texts.empty())
    this->Leftovers.write(routeKey(State), Record);
}

void BatchTask::onChanges(const PartitionId &Where,
                          const std::vector<PartitionChange> &Changes) {
  const PartitionFollower &Following = this->follower(Where);
  const bool Owns = this->Owned.contains(Where);
  const bool WasAdopted = this->Adopted.contains(Where);
  std::set<SubmissionId> Touched;
  for (const PartitionChange &Change : Changes) {
    if (const auto *Added = std::get_if<SubmissionAdded>(&Change)) {
      if (Owns && WasAdopted)
        this->adopt(*Following.fold().find(Added->Id));
    } else if (const auto *Listed = std::get_if<ItemListed>(&Change)) {
      Touched.insert(Listed->Key.Submission);
      this->Items.onResultAdded(Listed->Key);
    } else if (const auto *Ended = std::get_if<SubmissionEnded>(&Change)) {
      Touched.insert(Ended->Id);
      if (Owns && WasAdopted)
        this->keepLeftovers(*Following.fold().find(Ended->Id));
      this->Items.removeSubmission(Ended->Id);
    }
  }
  if (Owns && Following.caughtUp())
    this->adoptAll(Where);
  if (Touched.empty())
    return;
  std::vector<uint64_t> Ready;
  for (const auto &[Number, Read] : this->Reads)
    if (Touched.contains(Read.Asked.Id))
      Ready.push_back(Number);
  for (const uint64_t Number : Ready)
    this->answerWaiting(Number);
}

void BatchTask::forgetOld() {
  this->Events.callAfter(ForgetInterval, [this] { this->forgetOld(); });
  const Millis Before = steadyNow() - this->Settings.SubmissionLifetime;
  for (const auto &[Where, Each] : this->Followers)
    Each->forget(Before);
  this->Leftovers.forgetOld();
}

void BatchTask::handOver(const std::function<void()> &Done) {
  this->Leaving = true;
  this->Items.stop();
  this->Items.saveAllProgress();
  std::vector<uint64_t> Numbers;
  for (const auto &[Number, Read] : this->Reads)
    Numbers.push_back(Number);
  for (const uint64_t Number : Numbers)
    this->answerWaiting(Number);
  const Millis GiveUpAt = steadyNow() + HandOverMost;
  const auto Look = std::make_shared<std::function<void()>>();
  *Look = [this, Look, GiveUpAt, Done] {
    if (this->Appender.waiting() > 0 && steadyNow() < GiveUpAt) {
      this->Events.callAfter(HandOverLook, *Look);
      return;
    }
    for (const PartitionId &Where : this->Owned)
      for (const auto &[Id, State] : this->follower(Where).fold().all())
        this->Items.removeSubmission(Id);
    logLine(LogLevel::Info, "partitions handed over",
            {{"owned", concat(this->Owned.size())}});
    this->Store.leave(this->Member,
                      [Done](const StoreResult<bool> &) { Done(); });
  };
  (*Look)();
}

} // namespace camphornotch
