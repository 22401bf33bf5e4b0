/// @file
/// Gateways that all start at once before a store with a long history.

#include "core/store/store_func.h"
#include "tests/gateway_tasks/gateway_fixture.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>
#include <list>

using namespace camphornotch;

namespace {

/// Pause of a caller before it asks again.
constexpr Millis AskAgainPause{400};

/// A caller that reads one submission at one gateway until it gets it.
class PersistentReader {
public:
  /// @param Net the gateways.
  /// @param At the gateway's index.
  /// @param Id the submission.
  PersistentReader(GatewayFixture &Net, size_t At, std::string Id)
      : Net(Net), At(At), Id(std::move(Id)) {
    this->ask();
  }

  /// @return whether the submission was read.
  bool done() const { return this->Done; }

private:
  /// Asks once.
  void ask() {
    HttpCall Call;
    Call.Target = this->Net.Gateways[this->At]->target();
    Call.Host = "h";
    Call.Path = "/-/lots/" + this->Id;
    Call.Reuse = false;
    HttpEvents Tell;
    Tell.Finished = [this](const HttpResponse &Answer) {
      this->Done = Answer.Status == 200;
      this->askLater();
    };
    Tell.Failed = [this](const HttpFailure &) { this->askLater(); };
    this->Net.Caller.start(std::move(Call), std::move(Tell));
  }

  /// Asks again after a while, unless it is done.
  void askLater() {
    if (!this->Done)
      this->Net.Events.callAfter(AskAgainPause, [this] { this->ask(); });
  }

  /// The gateways.
  GatewayFixture &Net;
  /// The gateway's index.
  size_t At;
  /// The submission.
  std::string Id;
  /// Whether it was read.
  bool Done = false;
};

/// Gateways, partitions and the history of a store that has been used a while.
struct LongHistory {
  /// How many gateways start.
  static constexpr int GatewayCount = 6;
  /// Partitions of each topic.
  static constexpr int64_t Partitions = 8;
  /// Bytes of the history of each partition.
  static constexpr size_t PartitionBytes = 240'000;
  /// Bytes of each record.
  static constexpr size_t RecordBytes = 4'000;
  /// Bytes that all reads together get in a second.
  static constexpr int64_t ReadBytesPerSecond = 3'000'000;

  /// The gateways; none has started yet.
  GatewayFixture Net{0, Partitions};
  /// A submission of each partition.
  std::map<int64_t, std::string> Ids;

  /// Fills the store.
  LongHistory() {
    for (int64_t Name = 0; this->Ids.size() < size_t{Partitions}; ++Name) {
      const std::string Id = "s" + std::to_string(Name);
      this->Ids.emplace(partitionFor("batch", Id, Partitions).Number, Id);
    }
    for (const auto &[Part, Id] : this->Ids)
      this->fill(Part, Id);
    this->Net.Store.ReadBytesPerSecond = ReadBytesPerSecond;
  }

  /// Starts all gateways at once.
  void startAll() {
    for (int Index = 0; Index < GatewayCount; ++Index)
      this->Net.add("gateway-" + std::to_string(Index));
  }

private:
  /// Appends an ended submission and records that only take room.
  /// @param Part the partition.
  /// @param Id the submission.
  void fill(int64_t Part, const std::string &Id) {
    wire::BatchRecord Added;
    wire::SubmissionRecord Submission;
    Submission.Id = Id;
    Submission.Host = "h";
    Submission.Path = "/roll/1";
    Submission.Model = "m";
    Added.__set_Submission(Submission);
    wire::BatchRecord Ended;
    wire::SubmissionEndRecord End;
    End.Submission = Id;
    Ended.__set_End(End);
    wire::BatchRecord Filler;
    wire::ItemProgressRecord Progress;
    Progress.Submission = Id;
    Progress.Item = std::string(RecordBytes, 'x');
    Filler.__set_Progress(Progress);
    std::vector<std::string> Records;
    const auto Add = [&](const wire::BatchRecord &Record) {
      for (std::string &Each :
           splitRecord(encodeBatchRecord(Record), RecordBytes * 2))
        Records.push_back(std::move(Each));
    };
    while (Records.size() * RecordBytes < PartitionBytes)
      Add(Filler);
    Add(Added);
    Add(Ended);
    this->Net.Store.state().append("batch", Part, Records, std::nullopt);
  }
};

} // namespace

Test(recovery, allGatewaysStartWithALongHistory_everySubmissionIsReadEverywhere,
     .timeout = 120) {
  LongHistory History;
  History.startAll();
  std::list<PersistentReader> Readers;
  for (size_t At = 0; At < LongHistory::GatewayCount; ++At)
    for (const auto &[Part, Id] : History.Ids)
      Readers.emplace_back(History.Net, At, Id);
  cr_assert(turnUntil(History.Net.Events, [&Readers] {
    return std::ranges::all_of(
        Readers, [](const PersistentReader &Each) { return Each.done(); });
  }));
}

Test(recovery, submissionsTakenOverAtOnce_leftoversOfTheirRouteAreReadOnce) {
  constexpr size_t Submissions = 8;
  constexpr int Records = 150;
  constexpr size_t RecordBytes = 4'000;
  GatewayFixture Net(0);
  for (size_t Index = 0; Index < Submissions; ++Index) {
    wire::BatchItemField Item;
    Item.Id = "i" + std::to_string(Index);
    Item.Path = "/roll/x";
    Item.Group = "g";
    wire::SubmissionRecord Submission;
    Submission.Id = "s" + std::to_string(Index);
    Submission.Host = "h";
    Submission.Path = "/roll/1";
    Submission.Model = "m";
    Submission.Items = {Item};
    wire::BatchRecord Record;
    Record.__set_Submission(Submission);
    Net.Store.state().append(
        "batch", partitionFor("batch", Submission.Id, Net.Partitions).Number,
        splitRecord(encodeBatchRecord(Record), RecordBytes), std::nullopt);
  }
  const int64_t Part =
      partitionFor("leftovers", "h/roll", Net.Partitions).Number;
  const std::string Filler = "l" + std::string(RecordBytes, 'x');
  for (int Count = 0; Count < Records; ++Count)
    Net.Store.state().append("leftovers", Part, {Filler}, std::nullopt);
  Net.Store.ReadBytesPerSecond = LongHistory::ReadBytesPerSecond;
  Net.add("gateway-0");
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Engine.Runs.size() == Submissions; }));
  // Two pages, and a look for news for each of the two partitions.
  cr_assert_leq(Net.Store.ReadsByTopic["leftovers"], 4);
}
