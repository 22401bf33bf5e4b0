/// @file
/// Carries texts of items over from one submission to the next.

#include "gateway/item_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/accounts/access_func.h"
#include "core/batch/fresh_run_func.h"

namespace camphornotch {

namespace {

/// A result that was finished this shortly before the end of its submission may
/// not have reached the caller: callers read twice a second, from any region.
constexpr Millis ResultReadDelay{1'500};
/// Interval of the check for items to run a second time: the time of five
/// events.
constexpr Millis RerunCheckInterval{200};

} // namespace

void ItemTask::restoreText(const ItemKey &Key, const StoredText &Text) {
  if (this->Runs.contains(Key))
    return;
  Run &Active = this->Runs[Key];
  Active.RunId = static_cast<int64_t>(this->Random() >> 1) | 1;
  Active.Events = Text.Events;
  Active.Software = Text.Software;
  Active.Complete = Text.Complete;
  logLine(LogLevel::Info, "item continues from an earlier submission",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"events_had", concat(Text.Events.size())},
           {"whole", Text.Complete ? "yes" : "no"}});
}

wire::LeftoverRecord ItemTask::leftovers(const SubmissionState &State) const {
  const SubmissionId Id{State.Record.Id};
  const Millis Now = steadyNow();
  std::set<std::string> Open;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    const auto Done = this->Finished.find(ItemKey{Id, ItemId{Item.Id}});
    const bool HasResult = State.Positions.contains(ItemId{Item.Id});
    if (!HasResult || (Done != this->Finished.end() &&
                       Now - Done->second.At < ResultReadDelay))
      Open.insert(Item.Group);
  }
  wire::LeftoverRecord Record;
  Record.Submission = Id.Value;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    if (!Open.contains(Item.Group))
      continue;
    const ItemKey Key{Id, ItemId{Item.Id}};
    const auto Done = this->Finished.find(Key);
    const auto Running = this->Runs.find(Key);
    wire::LeftoverText Text;
    const std::string LeftoverId =
        accountScopedId(submittingAccount(State.Record), Item.Id);
    Text.Item = LeftoverId;
    Text.Whole = Done != this->Finished.end() ||
                 (Running != this->Runs.end() && Running->second.Complete);
    if (Done != this->Finished.end()) {
      Text.Events = Done->second.Events;
      Text.__set_Software(Done->second.Software);
    } else if (Running != this->Runs.end()) {
      Text.Events = Running->second.Events;
      Text.__set_Software(Running->second.Software);
    }
    Record.Texts.push_back(std::move(Text));
    if (std::optional<wire::LeftoverText> SecondText =
            this->Reruns.leftover(Key)) {
      SecondText->Item = LeftoverId;
      Record.Texts.push_back(std::move(*SecondText));
    }
  }
  return Record;
}

std::vector<ItemKey> ItemTask::predictUnfinished(const SubmissionId &Id) const {
  const SubmissionState *State = this->Callbacks.FindSubmission(Id);
  if (State == nullptr)
    return {};
  std::set<ItemId> CompleteItems;
  std::set<ItemId> ResubmittedItems;
  for (const wire::BatchItemField &Field : State->Record.Items) {
    const ItemKey Key{Id, ItemId{Field.Id}};
    const auto Running = this->Runs.find(Key);
    const ScheduledItem *Item = this->Scheduler.find(Key);
    if (Item == nullptr ||
        (Running != this->Runs.end() && Running->second.Complete))
      CompleteItems.insert(Key.Item);
    if (Item != nullptr && Item->Resubmitted)
      ResubmittedItems.insert(Key.Item);
  }
  std::vector<ItemKey> Keys;
  for (const ItemId &Item :
       predictUnfinishedItems(*State, CompleteItems, ResubmittedItems))
    Keys.push_back(ItemKey{Id, Item});
  return Keys;
}

void ItemTask::startSecondRuns() {
  const Millis Now = steadyNow();
  if (Now - this->RerunsCheckedAt < RerunCheckInterval)
    return;
  this->RerunsCheckedAt = Now;
  std::set<SubmissionId> Submissions;
  for (const auto &[Key, Active] : this->Runs)
    Submissions.insert(Key.Submission);
  for (const SubmissionId &Id : Submissions) {
    if (!this->Callbacks.KnowsEnd(Id))
      continue;
    for (const ItemKey &Key : this->predictUnfinished(Id)) {
      const ScheduledItem *Item = this->Scheduler.find(Key);
      const auto Running = this->Runs.find(Key);
      if (Item == nullptr || Running == this->Runs.end() ||
          Running->second.Call.Value == 0)
        continue;
      this->Reruns.startIfPossible(
          Key, *Item, oldestVersion(Running->second.Events),
          *this->Callbacks.FindSubmission(Id), Running->second.Endpoint);
    }
  }
}

} // namespace camphornotch
