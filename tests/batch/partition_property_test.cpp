/// @file
/// The fold of a partition under an adversary that delays, drops, repeats and
/// reorders appends of two owners, against an oracle of one page.

#include "core/batch/partition_fold_base.h"
#include "wire/codec_func.h"

#include <array>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace camphornotch;

namespace {

/// Items of the one submission.
constexpr int ItemCount = 3;
/// Events of a whole text.
constexpr int64_t TextEvents = 4;

/// One run of an item: a chain of events of one owner.
struct OwnerRun {
  /// Names the chain; 0: no run.
  int64_t Chain = 0;
  /// The events: each says which chain made it, and its place.
  std::vector<std::string> Events;
  /// Events noted as progress.
  size_t Saved = 0;
};

/// A gateway that believes to own the partition.
struct Owner {
  /// What it has folded.
  PartitionFold Fold;
  /// Its runs by item.
  std::map<int, OwnerRun> Runs;
};

/// Log, appends on their way, two owners, and what callers have seen.
struct PartitionWorld {
  /// The log.
  std::vector<std::string> Log;
  /// Appends on their way.
  std::vector<std::string> Flying;
  /// The owners.
  std::array<Owner, 2> Owners;
  /// Results as some caller read them, by position.
  std::vector<std::string> Read;
  /// The last chain's name.
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

  /// @param Who an owner.
  /// @return the submission as it knows it, or null.
  const SubmissionState *known(Owner &Who) const {
    return Who.Fold.find(SubmissionId{"s"});
  }

  /// Lets an owner read some records.
  /// @param Who the owner.
  /// @param Count how many.
  void read(Owner &Who, size_t Count) {
    for (; Count > 0 && Who.Fold.next() < std::ssize(this->Log); --Count) {
      const int64_t Offset = Who.Fold.next();
      Who.Fold.apply(Offset, this->Log[static_cast<size_t>(Offset)], Millis{1});
    }
  }

  /// Starts or goes on with a run.
  /// @param Who the owner.
  /// @param Item the item.
  void work(Owner &Who, int Item) {
    const SubmissionState *State = this->known(Who);
    const ItemId Id{std::to_string(Item)};
    if (State == nullptr || State->Positions.contains(Id))
      return;
    OwnerRun &Run = Who.Runs[Item];
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
      this->finish(Who, Item, Run);
  }

  /// Sends the result of a run.
  /// @param Who the owner.
  /// @param Item the item.
  /// @param Run its run, which is whole.
  void finish(Owner &Who, int Item, const OwnerRun &Run) {
    wire::BatchRecord Record;
    wire::ItemResultRecord Result;
    Result.Submission = "s";
    Result.Item = std::to_string(Item);
    Result.Completed = true;
    for (const std::string &Event : Run.Events)
      Result.Text += Event + " ";
    Record.__set_Result(Result);
    this->Flying.push_back(encodeBatchRecord(Record));
    Who.Runs.erase(Item);
  }

  /// Notes a run's new events.
  /// @param Who the owner.
  /// @param Item the item.
  void save(Owner &Who, int Item) {
    const auto Found = Who.Runs.find(Item);
    if (Found == Who.Runs.end() ||
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
    this->Flying.push_back(encodeBatchRecord(Record));
  }

  /// Carries an append out, drops it, or carries it out and keeps it flying.
  /// @param Index which.
  /// @param Fate what happens.
  void settle(size_t Index, int Fate) {
    if (this->Flying.empty())
      return;
    Index %= this->Flying.size();
    const std::string Bytes = this->Flying[Index];
    if (Fate != 1)
      this->Log.push_back(Bytes);
    if (Fate != 2)
      this->Flying.erase(this->Flying.begin() +
                         static_cast<std::ptrdiff_t>(Index));
  }

  /// A caller reads all results at an owner.
  /// @param Who the owner.
  void look(Owner &Who) {
    const SubmissionState *State = this->known(Who);
    if (State == nullptr)
      return;
    std::set<std::string> Items;
    for (size_t Position = 0; Position < State->Results.size(); ++Position) {
      const wire::ItemResultRecord &Result = State->Results[Position];
      RC_ASSERT(Items.insert(Result.Item).second);
      RC_ASSERT(isOneChain(Result.Text));
      const std::string Shown = Result.Item + ":" + Result.Text;
      if (Position < this->Read.size())
        RC_ASSERT(this->Read[Position] == Shown);
      else
        this->Read.push_back(Shown);
    }
  }

  /// @param Text a text, each event "place@chain".
  /// @return whether no event is missing or twice, and the chains only grow:
  ///         a run goes on from events noted before it began.
  static bool isOneChain(const std::string &Text) {
    std::istringstream Words(Text);
    std::string Word;
    int64_t Place = 0;
    int64_t Chain = 0;
    while (Words >> Word) {
      const size_t At = Word.find('@');
      const int64_t Next = std::stoll(Word.substr(At + 1));
      if (std::stoll(Word.substr(0, At)) != Place++ || Next < Chain)
        return false;
      Chain = Next;
    }
    return Place == TextEvents;
  }
};

} // namespace

Test(partition, appendsLateLostTwiceAndOfTwoOwners_keepEachResultOnce) {
  const bool Held = rc::check([] {
    PartitionWorld World;
    const int Steps = *rc::gen::inRange(20, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      Owner &Who = World.Owners[*rc::gen::inRange<size_t>(0, 2)];
      const int Item = *rc::gen::inRange(0, ItemCount);
      switch (*rc::gen::inRange(0, 7)) {
      case 0:
        World.read(Who, *rc::gen::inRange<size_t>(1, 6));
        break;
      case 1:
      case 2:
        World.work(Who, Item);
        break;
      case 3:
        World.save(Who, Item);
        break;
      case 4:
        World.settle(*rc::gen::inRange<size_t>(0, 16), *rc::gen::inRange(0, 3));
        break;
      case 5:
        World.look(Who);
        break;
      default:
        if (*rc::gen::inRange(0, 8) == 0)
          Who = Owner{}; // the process is killed
        break;
      }
    }
    for (Owner &Who : World.Owners) {
      World.read(Who, World.Log.size());
      World.look(Who);
    }
  });
  cr_assert(Held);
}
