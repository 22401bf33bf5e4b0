/// @file
/// Carries texts of items over from one submission to the next.

#include "gateway/item_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/batch/fresh_run_func.h"

namespace camphornotch {

namespace {

/// A result that was finished this shortly before the end of its submission may
/// not have reached the caller: callers read twice a second, from any region.
constexpr Millis UnreadTime{1'500};
/// Interval of the check for items to run a second time: the time of five
/// events.
constexpr Millis RerunCheckInterval{200};

} // namespace

void ItemTask::seed(const ItemKey &Key, const StoredText &Text) {
  if (this->Runs.contains(Key))
    return;
  Run &Each = this->Runs[Key];
  Each.Chain = static_cast<int64_t>(this->Draws() >> 1) | 1;
  Each.Events = Text.Events;
  Each.Whole = Text.Whole;
  logLine(LogLevel::Info, "item continues from an earlier submission",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"events_had", concat(Text.Events.size())},
           {"whole", Text.Whole ? "yes" : "no"}});
}

wire::LeftoverRecord ItemTask::leftovers(const SubmissionState &State) const {
  const SubmissionId Id{State.Record.Id};
  const Millis Now = steadyNow();
  std::set<std::string> Open;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    const auto Done = this->Finished.find(ItemKey{Id, ItemId{Item.Id}});
    const bool Listed = State.Positions.contains(ItemId{Item.Id});
    if (!Listed ||
        (Done != this->Finished.end() && Now - Done->second.At < UnreadTime))
      Open.insert(Item.Group);
  }
  wire::LeftoverRecord Record;
  Record.Submission = Id.Value;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    if (!Open.contains(Item.Group))
      continue;
    const ItemKey Key{Id, ItemId{Item.Id}};
    const auto Done = this->Finished.find(Key);
    const auto Under = this->Runs.find(Key);
    wire::LeftoverText Text;
    Text.Item = Item.Id;
    Text.Whole = Done != this->Finished.end() ||
                 (Under != this->Runs.end() && Under->second.Whole);
    if (Done != this->Finished.end())
      Text.Events = Done->second.Events;
    else if (Under != this->Runs.end())
      Text.Events = Under->second.Events;
    Record.Texts.push_back(std::move(Text));
    if (std::optional<wire::LeftoverText> Again = this->Reruns.leftover(Key))
      Record.Texts.push_back(std::move(*Again));
  }
  return Record;
}

std::vector<ItemKey> ItemTask::likelyLeft(const SubmissionId &Id) const {
  const SubmissionState *State = this->Tell.Submission(Id);
  if (State == nullptr)
    return {};
  std::set<ItemId> Whole;
  std::set<ItemId> Returned;
  for (const wire::BatchItemField &Field : State->Record.Items) {
    const ItemKey Key{Id, ItemId{Field.Id}};
    const auto Under = this->Runs.find(Key);
    const ScheduledItem *Item = this->Scheduler.find(Key);
    if (Item == nullptr || (Under != this->Runs.end() && Under->second.Whole))
      Whole.insert(Key.Item);
    if (Item != nullptr && Item->Returned)
      Returned.insert(Key.Item);
  }
  std::vector<ItemKey> Keys;
  for (const ItemId &Item : likelyLeftOpen(*State, Whole, Returned))
    Keys.push_back(ItemKey{Id, Item});
  return Keys;
}

void ItemTask::startSecondRuns() {
  const Millis Now = steadyNow();
  if (Now - this->RerunsCheckedAt < RerunCheckInterval)
    return;
  this->RerunsCheckedAt = Now;
  std::set<SubmissionId> Submissions;
  for (const auto &[Key, Each] : this->Runs)
    Submissions.insert(Key.Submission);
  for (const SubmissionId &Id : Submissions) {
    if (!this->Tell.KnowsEnd(Id))
      continue;
    for (const ItemKey &Key : this->likelyLeft(Id)) {
      const ScheduledItem *Item = this->Scheduler.find(Key);
      const auto Under = this->Runs.find(Key);
      if (Item == nullptr || Under == this->Runs.end() ||
          Under->second.Call.Value == 0)
        continue;
      this->Reruns.startIfPossible(
          Key, *Item, oldestVersion(Under->second.Events),
          *this->Tell.Submission(Id), Under->second.Endpoint);
    }
  }
}

} // namespace camphornotch
