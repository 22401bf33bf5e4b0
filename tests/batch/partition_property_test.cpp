/// @file
/// Property test: two owners append to a partition while their appends are
/// delayed, dropped, repeated and reordered; callers never see a result change.

#include "core/batch/partition_fold_base.h"
#include "wire/codec_func.h"

#include <array>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace camphornotch;

namespace {

/// Number of items of the only submission.
constexpr int ItemCount = 3;
/// Number of events of a complete text.
constexpr int64_t TextEvents = 4;

/// An owner's run of an item.
struct OwnerRun {
  /// Identifies the chain of events; 0: no run.
  int64_t Chain = 0;
  /// Each is "position@chain", with the chain that made it.
  std::vector<std::string> Events;
  /// Number of events appended as progress.
  size_t Saved = 0;
};

/// A gateway that believes it owns the partition.
struct Owner {
  PartitionFold Fold;
  /// Its runs by item.
  std::map<int, OwnerRun> Runs;
};

/// The log, appends in flight, two owners, and what callers have read.
struct PartitionWorld {
  std::vector<std::string> Log;
  std::vector<std::string> InFlight;
  std::array<Owner, 2> Owners;
  /// Results by position, as a caller first read them.
  std::vector<std::string> Read;
  /// Id of the last chain.
  int64_t Chains = 0;

  /// Appends the submission.
  PartitionWorld() {
    wire::BatchRecord Record;
    wire::SubmissionRecord Submission;
    Submission.Id = "s";
    for (int Index = 0; Index < ItemCount; ++Index) {
      wire::BatchItemField Item;
      Item.Id = std::to_string(Index);
      Submission.Items.push_back(Item);
    }
    Record.__set_Submission(Submission);
    this->Log.push_back(encodeBatchRecord(Record));
  }

  /// @return the submission's state at an owner, or null.
  const SubmissionState *stateAt(Owner &Gateway) const {
    return Gateway.Fold.find(SubmissionId{"s"});
  }

  /// Lets an owner read up to Count records.
  void read(Owner &Gateway, size_t Count) {
    for (; Count > 0 && Gateway.Fold.nextOffset() < std::ssize(this->Log);
         --Count) {
      const int64_t Offset = Gateway.Fold.nextOffset();
      Gateway.Fold.apply(Offset, this->Log[static_cast<size_t>(Offset)],
                         Millis{1});
    }
  }

  /// Starts a run of an item at an owner, or adds its next event, or ends it.
  void work(Owner &Gateway, int Item) {
    const SubmissionState *State = this->stateAt(Gateway);
    const ItemId Id{std::to_string(Item)};
    if (State == nullptr || State->Positions.contains(Id))
      return;
    OwnerRun &Run = Gateway.Runs[Item];
    if (Run.Chain == 0) {
      Run.Chain = ++this->Chains;
      const auto Stored = State->Progress.find(Id);
      if (Stored != State->Progress.end())
        for (const wire::TextEvent &Event : Stored->second.Events)
          Run.Events.push_back(Event.Data);
    }
    if (std::ssize(Run.Events) < TextEvents)
      Run.Events.push_back(std::to_string(Run.Events.size()) + "@" +
                           std::to_string(Run.Chain));
    else
      this->finish(Gateway, Item, Run);
  }

  /// Sends the append of the result of a run that has all its events.
  void finish(Owner &Gateway, int Item, const OwnerRun &Run) {
    wire::BatchRecord Record;
    wire::ItemResultRecord Result;
    Result.Submission = "s";
    Result.Item = std::to_string(Item);
    Result.Completed = true;
    for (const std::string &Event : Run.Events)
      Result.Text += Event + " ";
    Record.__set_Result(Result);
    this->InFlight.push_back(encodeBatchRecord(Record));
    Gateway.Runs.erase(Item);
  }

  /// Sends the append of a run's new events.
  void save(Owner &Gateway, int Item) {
    const auto Found = Gateway.Runs.find(Item);
    if (Found == Gateway.Runs.end() ||
        Found->second.Saved == Found->second.Events.size())
      return;
    OwnerRun &Run = Found->second;
    wire::BatchRecord Record;
    wire::ItemProgressRecord Progress;
    Progress.Submission = "s";
    Progress.Item = std::to_string(Item);
    Progress.Run = Run.Chain;
    Progress.From = static_cast<int64_t>(Run.Saved);
    for (size_t Index = Run.Saved; Index < Run.Events.size(); ++Index) {
      wire::TextEvent Event;
      Event.Data = Run.Events[Index];
      Progress.Events.push_back(Event);
    }
    Run.Saved = Run.Events.size();
    Record.__set_Progress(Progress);
    this->InFlight.push_back(encodeBatchRecord(Record));
  }

  /// Settles an append in flight.
  /// @param Outcome 0: it is executed; 1: it is lost; 2: it is executed and
  ///   stays in flight, so that it may be executed again.
  void settle(size_t Index, int Outcome) {
    if (this->InFlight.empty())
      return;
    Index %= this->InFlight.size();
    const std::string Bytes = this->InFlight[Index];
    if (Outcome != 1)
      this->Log.push_back(Bytes);
    if (Outcome != 2)
      this->InFlight.erase(this->InFlight.begin() +
                           static_cast<std::ptrdiff_t>(Index));
  }

  /// Reads all results at an owner, and checks that each item has one result
  /// and that earlier reads saw the same.
  void checkResults(Owner &Gateway) {
    const SubmissionState *State = this->stateAt(Gateway);
    if (State == nullptr)
      return;
    std::set<std::string> Items;
    for (size_t Position = 0; Position < State->Results.size(); ++Position) {
      const wire::ItemResultRecord &Result = State->Results[Position];
      RC_ASSERT(Items.insert(Result.Item).second);
      RC_ASSERT(isOneChain(Result.Text));
      const std::string ResultText = Result.Item + ":" + Result.Text;
      if (Position < this->Read.size())
        RC_ASSERT(this->Read[Position] == ResultText);
      else
        this->Read.push_back(ResultText);
    }
  }

  /// @return whether the text has each event once and in order, and the chain
  ///         ids never decrease, as a run continues from the events that were
  ///         recorded before it started.
  static bool isOneChain(const std::string &Text) {
    std::istringstream Words(Text);
    std::string Word;
    int64_t Position = 0;
    int64_t Chain = 0;
    while (Words >> Word) {
      const size_t At = Word.find('@');
      const int64_t Next = std::stoll(Word.substr(At + 1));
      if (std::stoll(Word.substr(0, At)) != Position++ || Next < Chain)
        return false;
      Chain = Next;
    }
    return Position == TextEvents;
  }
};

} // namespace

Test(partition, lateLostAndRepeatedAppendsOfTwoOwners_leaveOneResultPerItem) {
  const bool Passed = rc::check([] {
    PartitionWorld World;
    const int Steps = *rc::gen::inRange(20, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      Owner &Gateway = World.Owners[*rc::gen::inRange<size_t>(0, 2)];
      const int Item = *rc::gen::inRange(0, ItemCount);
      switch (*rc::gen::inRange(0, 7)) {
      case 0:
        World.read(Gateway, *rc::gen::inRange<size_t>(1, 6));
        break;
      case 1:
      case 2:
        World.work(Gateway, Item);
        break;
      case 3:
        World.save(Gateway, Item);
        break;
      case 4:
        World.settle(*rc::gen::inRange<size_t>(0, 16), *rc::gen::inRange(0, 3));
        break;
      case 5:
        World.checkResults(Gateway);
        break;
      default:
        if (*rc::gen::inRange(0, 8) == 0)
          Gateway = Owner{}; // the process was killed
        break;
      }
    }
    for (Owner &Gateway : World.Owners) {
      World.read(Gateway, World.Log.size());
      World.checkResults(Gateway);
    }
  });
  cr_assert(Passed);
}
