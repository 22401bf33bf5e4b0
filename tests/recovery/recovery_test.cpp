/// @file
/// Gateways that all start at once with a store that has a long history.

#include "core/store/store_func.h"
#include "tests/gateway_tasks/gateway_fixture.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>
#include <list>

using namespace camphornotch;

namespace {

/// Pause of a caller before it retries.
constexpr Millis RetryPause{400};

/// A caller that reads one submission at one gateway until that succeeds.
class PersistentReader {
public:
  /// @param At index of the gateway.
  PersistentReader(GatewayFixture &Net, size_t At, std::string Id)
      : Net(Net), At(At), Id(std::move(Id)) {
    this->send();
  }

  bool done() const { return this->Done; }

private:
  void send() {
    HttpCall Call;
    Call.Target = this->Net.Gateways[this->At]->target();
    Call.Host = "h";
    Call.Path = "/-/lots/" + this->Id;
    Call.Reuse = false;
    HttpCallbacks Callbacks;
    Callbacks.Finished = [this](const HttpResponse &Answer) {
      this->Done = Answer.Status == 200;
      this->retryLater();
    };
    Callbacks.Failed = [this](const HttpFailure &) { this->retryLater(); };
    this->Net.Caller.start(std::move(Call), std::move(Callbacks));
  }

  /// Retries after a pause, unless the submission was read.
  void retryLater() {
    if (!this->Done)
      this->Net.Events.callAfter(RetryPause, [this] { this->send(); });
  }

  GatewayFixture &Net;
  /// Index of the gateway.
  size_t At;
  std::string Id;
  bool Done = false;
};

/// Gateways with a store whose partitions have a long history.
struct LongHistory {
  static constexpr int GatewayCount = 6;
  /// Number of partitions of each topic.
  static constexpr int64_t Partitions = 8;
  /// Size of the history of each partition.
  static constexpr size_t PartitionBytes = 240'000;
  static constexpr size_t RecordBytes = 4'000;
  /// Bandwidth of all reads together.
  static constexpr int64_t ReadBytesPerSecond = 3'000'000;

  /// No gateway is started before startAll().
  GatewayFixture Net{0, Partitions};
  /// The id of a submission in each partition.
  std::map<int64_t, std::string> Ids;

  LongHistory() {
    for (int64_t Name = 0; this->Ids.size() < size_t{Partitions}; ++Name) {
      const std::string Id = "s" + std::to_string(Name);
      this->Ids.emplace(partitionFor("batch", Id, Partitions).Number, Id);
    }
    for (const auto &[Part, Id] : this->Ids)
      this->fill(Part, Id);
    this->Net.Store.ReadBytesPerSecond = ReadBytesPerSecond;
  }

  void startAll() {
    for (int Index = 0; Index < GatewayCount; ++Index)
      this->Net.add("gateway-" + std::to_string(Index));
  }

private:
  /// Appends filler records and an ended submission to a partition.
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
  // Two pages, and one read at the end for each of the two partitions.
  cr_assert_leq(Net.Store.ReadsByTopic["leftovers"], 4);
}
