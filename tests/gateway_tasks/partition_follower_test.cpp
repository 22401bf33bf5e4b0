/// @file
/// Followers of partitions with a stand-in for the store.

#include "base/clock_func.h"
#include "gateway/partition_follower_base.h"
#include "net/metrics_base.h"
#include "standins/store/store_server.h"
#include "tests/net/net_fixture.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// @param Bytes size of the submission.
/// @return the record of a submission, split to the size limit.
std::vector<std::string> addedSubmission(const std::string &Id, size_t Bytes) {
  wire::BatchRecord Record;
  wire::SubmissionRecord Submission;
  Submission.Id = Id;
  Submission.Path = std::string(Bytes, 'x');
  Record.__set_Submission(Submission);
  constexpr size_t RecordBytes = 100'000;
  return splitRecord(encodeBatchRecord(Record), RecordBytes);
}

struct FollowerFixture {
  Loop Events;
  standin::StandinStoreServer Store{this->Events, 1};
  HttpClient Http{this->Events};
  platform::StoreClient Client{this->Events, this->Http, this->Store.target()};
  Metrics Counts;
  PartitionReadMetrics Reads{this->Counts};
  HistoryReadQueue HistoryReads{this->Events, this->Client};
  PartitionFollower Follower{
      PartitionFollowerDependencies{this->Events, this->Client,
                                    this->HistoryReads, this->Reads},
      PartitionId{"batch", 0}, [](const std::vector<PartitionChange> &) {}};
};

} // namespace

Test(partitionFollower, refreshAnsweredAfterAFailedPoll_followsOn) {
  FollowerFixture Net;
  Net.Follower.followUntil(steadyNow() + seconds(60));
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Store.ReadsByTopic["batch"] == 2; }));
  const Millis PollSent = steadyNow();
  // The long poll ends with 503 while the answer to the refresh is being sent.
  turnUntil(Net.Events, [&] { return steadyNow() >= PollSent + Millis{600}; });
  Net.Store.state().append("batch", 0, addedSubmission("a", 20'000),
                           std::nullopt);
  Net.Store.ReadBytesPerSecond = 50'000;
  Net.Store.ReadQueueMost = Millis{0};
  bool Reached = false;
  Net.Follower.refresh([&](bool Is) { Reached = Is; });
  cr_assert(turnUntil(Net.Events, [&] { return Reached; }));
  Net.Store.ReadBytesPerSecond = 0;
  Net.Store.state().append("batch", 0, addedSubmission("b", 100), std::nullopt);
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.Follower.fold().find(SubmissionId{"b"}) != nullptr;
  }));
}

Test(partitionFollower, longHistory_isKnownUpToTheTimeOfTheLastRequest) {
  FollowerFixture Net;
  constexpr size_t PageBytes = 400'000;
  for (const char *Id : {"a", "b", "c"})
    Net.Store.state().append("batch", 0, addedSubmission(Id, PageBytes),
                             std::nullopt);
  Net.Store.ReadBytesPerSecond = 4'000'000;
  Net.Follower.followUntil(steadyNow() + seconds(60));
  Millis LastPageAskedAt{0};
  int64_t ReadsSeen = 0;
  cr_assert(turnUntil(Net.Events, [&] {
    if (Net.Store.ReadsByTopic["batch"] > ReadsSeen &&
        !Net.Follower.caughtUp()) {
      ReadsSeen = Net.Store.ReadsByTopic["batch"];
      LastPageAskedAt = bootNow();
      cr_assert_eq(Net.Follower.upToDateAt().Count, 0);
    }
    return Net.Follower.caughtUp();
  }));
  cr_assert_gt(ReadsSeen, 1);
  cr_assert_leq(Net.Follower.upToDateAt().Count, LastPageAskedAt.Count);
}

Test(partitionFollower, refreshRefusedOnce_isAnsweredByTheNextTry) {
  FollowerFixture Net;
  Net.Follower.followUntil(steadyNow() + seconds(60));
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Store.ReadsByTopic["batch"] == 2; }));
  Net.Store.RefusesReads = true;
  bool Answered = false;
  bool Reached = false;
  Net.Follower.refresh([&](bool Is) {
    Answered = true;
    Reached = Is;
  });
  turnUntil(Net.Events, [&] { return Net.Store.ReadsRefused > 0; });
  Net.Store.RefusesReads = false;
  cr_assert(turnUntil(Net.Events, [&] { return Answered; }));
  cr_assert(Reached);
}

Test(partitionFollower, manyRefusedRefreshes_areNotEachTriedAgain) {
  FollowerFixture Net;
  Net.Follower.followUntil(steadyNow() + seconds(60));
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Store.ReadsByTopic["batch"] == 2; }));
  Net.Store.RefusesReads = true;
  constexpr int Callers = 10;
  int Answered = 0;
  for (int Count = 0; Count < Callers; ++Count) {
    Net.Follower.refresh([&](bool) { ++Answered; });
    // This caller's read is refused before the next caller comes.
    const Millis End = steadyNow() + Millis{10};
    turnUntil(Net.Events, [&] { return steadyNow() >= End; });
  }
  cr_assert(turnUntil(Net.Events, [&] { return Answered == Callers; }));
  const std::string Text = Net.Counts.text();
  const std::string Name = "partition_reads_total{outcome=\"failed\"} ";
  const size_t At = Text.find(Name);
  cr_assert(At != std::string::npos, "%s", Text.c_str());
  cr_assert_leq(std::stoi(Text.substr(At + Name.size())), 2 * Callers, "%s",
                Text.substr(At, Name.size() + 4).c_str());
}
