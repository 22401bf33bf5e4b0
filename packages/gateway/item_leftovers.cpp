/// @file
/// Texts of items from one submission to the next.

#include "gateway/item_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"

namespace camphornotch {

namespace {

/// Time before the end of a submission within which its caller may not have
/// read a result: callers read twice a second, from any region.
constexpr Millis UnreadTime{1'500};

} // namespace

void ItemTask::seed(const ItemKey &Key, const StoredText &Text) {
  if (this->Runs.contains(Key))
    return;
  Run &Each = this->Runs[Key];
  Each.Chain = static_cast<int64_t>(this->Draws() >> 1) | 1;
  Each.Events = Text.Events;
  Each.Whole = Text.Whole;
  logLine(LogLevel::Info, "item goes on from an earlier submission",
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
  }
  return Record;
}

} // namespace camphornotch
