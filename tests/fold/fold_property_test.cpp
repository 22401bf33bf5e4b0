/// @file
/// The fold against an oracle of one page, and folds that start late against
/// the fold that read everything, over random logs.

#include "fold_fixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// What must hold, told in the plainest way: look back over all records.
struct Oracle {
  std::set<std::pair<int64_t, int64_t>> Seen;
  int64_t ConfigOffset = -1;
  std::map<std::string, int64_t> Epochs;
  std::map<std::string, std::string> Owners;
  std::map<std::string, int64_t> Boots;
  std::map<std::string, std::set<int64_t>> OldBoots;
  std::set<std::string> Groups;
  std::map<std::string, int64_t> Intents;

  /// @param Offset a record's offset.
  /// @param Record the record.
  void apply(int64_t Offset, const wire::LogRecord &Record) {
    if (Record.__isset.Intent)
      this->Intents.emplace(Record.Intent.Key, Offset);
    if (!this->Seen.emplace(Record.WriterBoot, Record.Sequence).second)
      return;
    const bool None = this->ConfigOffset == -1 && Record.Config.BaseOffset == 0;
    if (Record.__isset.Config &&
        (None || Record.Config.BaseOffset == this->ConfigOffset))
      this->ConfigOffset = Offset;
    if (Record.__isset.Claim)
      this->applyClaim(Offset, Record.Claim);
    if (Record.__isset.Boot &&
        this->OldBoots[Record.Boot.Endpoint].insert(Record.Boot.Boot).second)
      this->Boots[Record.Boot.Endpoint] = Record.Boot.Boot;
    if (Record.__isset.Step && this->Epochs.contains("trainer/t") &&
        this->Epochs["trainer/t"] == Record.Step.Epoch)
      this->Groups.insert(Record.Step.Groups[0].Group);
  }

  /// @param Offset a claim's offset.
  /// @param Claim the claim.
  void applyClaim(int64_t Offset, const wire::ClaimRecord &Claim) {
    const auto Current = this->Epochs.find(Claim.Shard);
    const int64_t Standing =
        Current == this->Epochs.end() ? -1 : Current->second;
    if (Claim.PreviousEpoch != Standing)
      return;
    this->Epochs[Claim.Shard] = Offset;
    this->Owners[Claim.Shard] = Claim.Owner;
  }
};

/// @param Offset a bound.
/// @return an offset before it, or -1.
int64_t someOffset(int64_t Offset) {
  return *rc::gen::element<int64_t>(-1, 0, Offset - 1, Offset - 2, Offset - 5,
                                    *rc::gen::inRange<int64_t>(0, Offset));
}

/// @param Log the log so far; half of the epochs are the standing one.
/// @return the epoch to write.
int64_t someEpoch(const FoldedLog &Log) {
  const ShardClaim *Claim = Log.Fold.claim(ShardId{"trainer/t"});
  if (Claim != nullptr && *rc::gen::arbitrary<bool>())
    return Claim->Current.Value;
  return someOffset(static_cast<int64_t>(Log.Records.size()) + 1);
}

/// @param Log the log so far.
/// @return a record without writer.
wire::LogRecord someRecord(const FoldedLog &Log) {
  const auto Next = static_cast<int64_t>(Log.Records.size()) + 1;
  const auto Name = *rc::gen::element<std::string>("a", "b", "c");
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return configRecord(
        *rc::gen::element(Log.Fold.config().Offset.Value, someOffset(Next)),
        ruleText(static_cast<int>(Next)));
  case 1:
    return claimRecord("trainer/t", Name, someEpoch(Log));
  case 2:
    return bootRecord(Name, *rc::gen::inRange(1, 4));
  case 3:
    return stepRecord("t", someEpoch(Log), 1, Name);
  case 4:
    return checkpointRecord("t", someEpoch(Log), 1, Next % 3, Next % 7 == 0);
  default:
    return intentRecord(Name);
  }
}

/// Appends a random record: a new one, or one of before once more.
/// @param Log the log.
void appendSome(FoldedLog &Log) {
  if (!Log.Records.empty() && *rc::gen::inRange(0, 5) == 0)
    Log.appendAsIs(wire::LogRecord(
        Log.Records[*rc::gen::inRange<size_t>(0, Log.Records.size())]));
  else
    Log.append(someRecord(Log), *rc::gen::inRange(1, 4));
}

/// @param Fold a fold.
/// @return its state as bytes, without intents.
std::string stateOf(const LogFold &Fold) { return Fold.exportSnapshot().State; }

} // namespace

Test(foldProperty, random_log_agrees_with_oracle) {
  const bool Holds = rc::check([] {
    FoldedLog Log;
    Oracle Expected;
    const int Count = *rc::gen::inRange(1, 60);
    for (int Index = 0; Index < Count; ++Index) {
      appendSome(Log);
      Expected.apply(static_cast<int64_t>(Log.Records.size()),
                     Log.Records.back());
      RC_ASSERT(Log.Fold.config().Offset.Value == Expected.ConfigOffset);
      const ShardClaim *Claim = Log.Fold.claim(ShardId{"trainer/t"});
      RC_ASSERT((Claim != nullptr) == Expected.Epochs.contains("trainer/t"));
      if (Claim != nullptr) {
        RC_ASSERT(Claim->Current.Value == Expected.Epochs["trainer/t"]);
        RC_ASSERT(Claim->Owner.Value == Expected.Owners["trainer/t"]);
      }
      for (const auto &[Endpoint, Boot] : Expected.Boots)
        RC_ASSERT(Log.Fold.boot(EndpointId{Endpoint})->Boot.Value == Boot);
      for (const auto &[Key, Offset] : Expected.Intents)
        RC_ASSERT(Log.Fold.intent(Key)->Offset.Value == Offset);
    }
  });
  cr_assert(Holds);
}

Test(foldProperty, late_fold_equals_the_whole_one_after_a_snapshot) {
  const bool Holds = rc::check([] {
    FoldedLog Log;
    std::vector<wire::SnapshotRecord> Delayed;
    const int Count = *rc::gen::inRange(1, 80);
    for (int Index = 0; Index < Count; ++Index) {
      appendSome(Log);
      if (*rc::gen::inRange(0, 6) == 0)
        Delayed.push_back(Log.Fold.exportSnapshot());
      if (Delayed.empty() || *rc::gen::inRange(0, 3) != 0)
        continue;
      wire::LogRecord Record;
      Record.__set_Snapshot(Delayed.back());
      Delayed.pop_back();
      Log.append(Record);
    }
    const auto Last = static_cast<int64_t>(Log.Records.size());
    const LogFold Late = Log.readFrom(*rc::gen::inRange<int64_t>(1, Last + 1));
    if (Late.known())
      RC_ASSERT(stateOf(Late) == stateOf(Log.Fold));
  });
  cr_assert(Holds);
}

Test(foldProperty, resets_leave_all_who_know_in_agreement) {
  const bool Holds = rc::check([] {
    FoldedLog Log;
    const int Count = *rc::gen::inRange(4, 60);
    for (int Index = 0; Index < Count; ++Index) {
      appendSome(Log);
      const auto Last = static_cast<int64_t>(Log.Records.size());
      const LogFold Late =
          Log.readFrom(*rc::gen::inRange<int64_t>(1, Last + 1));
      wire::LogRecord Record;
      if (!Late.known())
        Record.__set_Snapshot(Late.exportReset());
      else if (*rc::gen::inRange(0, 4) == 0)
        Record.__set_Snapshot(Late.exportSnapshot());
      else
        continue;
      if (*rc::gen::inRange(0, 3) == 0)
        appendSome(Log);
      Log.append(Record);
    }
    const auto Last = static_cast<int64_t>(Log.Records.size());
    for (int64_t Oldest = 1; Oldest <= Last; ++Oldest) {
      const LogFold Late = Log.readFrom(Oldest);
      if (Late.known())
        RC_ASSERT(stateOf(Late) == stateOf(Log.Fold));
    }
  });
  cr_assert(Holds);
}
