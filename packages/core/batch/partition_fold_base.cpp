/// @file
/// Computes the state of one partition of batch submissions from its records.

#include "core/batch/partition_fold_base.h"

#include "wire/codec_func.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// First byte of a part that is not the last of its record.
constexpr char MorePartsMark = 'm';
/// First byte of the last part of a record.
constexpr char LastPartMark = 'l';

} // namespace

std::vector<PartitionChange>
PartitionFold::apply(int64_t Offset, std::string_view Bytes, Millis Now) {
  std::vector<PartitionChange> Changes;
  if (Offset < this->NextOffset)
    return Changes;
  this->NextOffset = Offset + 1;
  Result<wire::BatchRecord> Decoded = decodeBatchRecord(Bytes);
  if (!Decoded.has_value()) {
    Changes.emplace_back(RecordUnreadable{Offset, Decoded.error()});
    return Changes;
  }
  wire::BatchRecord &Record = Decoded.value();
  if (Record.__isset.Submission)
    this->applySubmission(std::move(Record.Submission), Now, Changes);
  if (Record.__isset.Result)
    this->applyResult(std::move(Record.Result), Changes);
  if (Record.__isset.Progress)
    this->applyProgress(std::move(Record.Progress));
  if (Record.__isset.End) {
    const auto Found =
        this->Submissions.find(SubmissionId{Record.End.Submission});
    if (Found != this->Submissions.end() && !Found->second.Ended) {
      Found->second.Ended = true;
      Found->second.Progress.clear();
      Changes.emplace_back(SubmissionEnded{Found->first});
    }
  }
  return Changes;
}

void PartitionFold::applySubmission(wire::SubmissionRecord Record, Millis Now,
                                    std::vector<PartitionChange> &Changes) {
  const SubmissionId Id{Record.Id};
  if (this->Submissions.contains(Id))
    return;
  SubmissionState State;
  State.Record = std::move(Record);
  State.SeenAt = Now;
  this->Submissions.emplace(Id, std::move(State));
  Changes.emplace_back(SubmissionAdded{Id});
}

void PartitionFold::applyResult(wire::ItemResultRecord Record,
                                std::vector<PartitionChange> &Changes) {
  const auto Found = this->Submissions.find(SubmissionId{Record.Submission});
  const ItemId Item{Record.Item};
  if (Found == this->Submissions.end() ||
      findItem(Found->second, Item) == nullptr)
    return;
  SubmissionState &State = Found->second;
  if (!State.Positions.try_emplace(Item, State.Results.size()).second)
    return;
  State.Results.push_back(std::move(Record));
  State.Progress.erase(Item);
  Changes.emplace_back(ItemResultAdded{ItemKey{Found->first, Item}});
}

void PartitionFold::applyProgress(wire::ItemProgressRecord Record) {
  const auto Found = this->Submissions.find(SubmissionId{Record.Submission});
  const ItemId Item{Record.Item};
  if (Found == this->Submissions.end() || Found->second.Ended ||
      Found->second.Positions.contains(Item))
    return;
  EventChain &Chain = Found->second.Progress[Item];
  const auto From = static_cast<size_t>(std::max<int64_t>(Record.From, 0));
  if (Record.Run == Chain.RunId && From == Chain.Events.size()) {
    std::ranges::move(Record.Events, std::back_inserter(Chain.Events));
    return;
  }
  // Only a longer chain that starts with the first event replaces a chain.
  if (From == 0 && Record.Events.size() > Chain.Events.size())
    Chain = EventChain{Record.Run, std::move(Record.Events),
                       std::move(Record.Software)};
}

void PartitionFold::skipTo(int64_t Offset) {
  if (Offset <= this->NextOffset)
    return;
  this->NextOffset = Offset;
  this->Skipped = true;
}

const SubmissionState *PartitionFold::find(const SubmissionId &Id) const {
  const auto Found = this->Submissions.find(Id);
  return Found == this->Submissions.end() ? nullptr : &Found->second;
}

void PartitionFold::forget(Millis SeenBefore) {
  std::erase_if(this->Submissions, [SeenBefore](const auto &Each) {
    return Each.second.Ended && Each.second.SeenAt < SeenBefore;
  });
}

std::optional<std::string_view>
submittingAccount(const wire::SubmissionRecord &Record) {
  if (!Record.__isset.Account)
    return std::nullopt;
  return Record.Account;
}

const wire::BatchItemField *findItem(const SubmissionState &Submission,
                                     const ItemId &Item) {
  const auto &Items = Submission.Record.Items;
  const auto Found =
      std::ranges::find(Items, Item.Value, &wire::BatchItemField::Id);
  return Found == Items.end() ? nullptr : &*Found;
}

std::vector<std::string> splitRecord(std::string_view Record, size_t MaxBytes) {
  assert(MaxBytes > 1);
  std::vector<std::string> Parts;
  const size_t Payload = MaxBytes - 1;
  do {
    const std::string_view Part = Record.substr(0, Payload);
    Record.remove_prefix(Part.size());
    std::string Marked(1, Record.empty() ? LastPartMark : MorePartsMark);
    Marked += Part;
    Parts.push_back(std::move(Marked));
  } while (!Record.empty());
  return Parts;
}

std::optional<std::string> RecordJoiner::add(std::string_view Part) {
  if (Part.empty())
    return std::nullopt;
  this->Parts += Part.substr(1);
  if (Part.front() != LastPartMark)
    return std::nullopt;
  std::string Complete;
  Complete.swap(this->Parts);
  return Complete;
}

} // namespace camphornotch
