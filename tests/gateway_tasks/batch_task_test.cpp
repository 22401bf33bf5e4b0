/// @file
/// Batch submissions through real tasks: with lost or late store calls and with
/// changes of owners.

#include "core/store/store_func.h"
#include "gateway_fixture.h"
#include "wire/codec_func.h"

#include <chrono>
#include <criterion/criterion.h>
#include <thread>

using namespace camphornotch;

namespace {

/// Appends the end of a submission, as another gateway would.
void appendEnd(GatewayFixture &Net, const std::string &Id) {
  wire::BatchRecord Record;
  wire::SubmissionEndRecord End;
  End.Submission = Id;
  Record.__set_End(End);
  Net.Store.state().append(
      "batch", partitionFor("batch", Id, Net.Partitions).Number,
      splitRecord(encodeBatchRecord(Record), 4'000), std::nullopt);
}

} // namespace

Test(batch, submissionAtOneGateway_hasEqualResultsAtBoth) {
  GatewayFixture Net;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 5)).Status, 202);
  const platform::Json First = Net.results(0, "s", 5);
  const platform::Json Second = Net.results(1, "s", 5);
  cr_assert_eq(First.size(), 5U);
  cr_assert(First == Second);
  for (const platform::Json &Result : First) {
    cr_assert(Result["state"] == "completed");
    cr_assert(Result["text"] == "e1\ne2\ne3\ne4");
    cr_assert(Result["versions"] == platform::Json({3}));
    cr_assert(std::string(Result["score"]).starts_with("receipt-c"));
  }
}

Test(batch, submissionSentTwiceToTwoGateways_runsOnce) {
  GatewayFixture Net;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 3)).Status, 202);
  cr_assert_eq(Net.ask(1, GatewayFixture::submission("s", 3)).Status, 202);
  cr_assert_eq(Net.results(0, "s", 3).size(), 3U);
  cr_assert_eq(Net.ask(1, GatewayFixture::submission("s", 3)).Status, 202);
  Net.runFor(Millis{200});
  cr_assert_eq(Net.results(1, "s", 3).size(), 3U);
  for (const auto &[Item, Runs] : Net.Engine.Runs)
    cr_assert_eq(Runs.size(), 1U);
}

Test(batch, unknownSubmission_is404AndUnknownStore503) {
  GatewayFixture Net(1);
  HttpCall Call;
  Call.Path = "/-/lots/none";
  cr_assert_eq(Net.ask(0, Call).Status, 404);
  Net.Store.Busy = true;
  cr_assert_eq(Net.ask(0, Call).Status, 503);
}

Test(batch, brokenSubmission_is400AndLeavesNothing) {
  GatewayFixture Net(1);
  HttpCall Call = GatewayFixture::submission("s", 1);
  Call.Body = "{\"items\":5}";
  const HttpResponse Answer = Net.ask(0, Call);
  cr_assert_eq(Answer.Status, 400);
  cr_assert(Answer.Body.find("items") != std::string::npos);
  cr_assert_eq(Net.Store.state().partition("batch", 0).end() +
                   Net.Store.state().partition("batch", 1).end(),
               0);
}

Test(batch, appendThatNeverHappens_isRefusedOnlyIfTheStoreSaidSo) {
  GatewayFixture Net(1);
  Net.Store.Fault = standin::AppendFault::Refuse;
  HttpCall Call = GatewayFixture::submission("s", 1);
  Call.Headers.push_back({"X-Camphornotch-Request-Deadline", "400"});
  const HttpResponse Answer = Net.ask(0, Call);
  cr_assert_eq(Answer.Status, 503);
  cr_assert(!findHeader(Answer.Headers, "retry-after").empty());
}

Test(batch, appendWithoutAnswer_isNeverCalledNotRun) {
  for (const auto Fault :
       {standin::AppendFault::LoseAnswer, standin::AppendFault::LoseCall,
        standin::AppendFault::Late}) {
    GatewayFixture Net(1);
    Net.Store.Fault = Fault;
    HttpCall Call = GatewayFixture::submission("s", 1);
    Call.Headers.push_back({"X-Camphornotch-Request-Deadline", "400"});
    cr_assert_eq(Net.ask(0, Call).Status, 504);
  }
}

Test(batch, appendThatTookEffectWithoutAnswer_isAcceptedOnceOnRepeat) {
  GatewayFixture Net;
  Net.Store.Fault = standin::AppendFault::LoseAnswer;
  HttpCall Call = GatewayFixture::submission("s", 2);
  Call.Headers.push_back({"X-Camphornotch-Request-Deadline", "400"});
  cr_assert_eq(Net.ask(0, Call).Status, 504);
  Net.Store.Fault = standin::AppendFault::None;
  cr_assert_eq(Net.ask(1, GatewayFixture::submission("s", 2)).Status, 202);
  cr_assert_eq(Net.results(0, "s", 2).size(), 2U);
  for (const auto &[Item, Runs] : Net.Engine.Runs)
    cr_assert_eq(Runs.size(), 1U, "%s ran %zu times", Item.c_str(),
                 Runs.size());
}

Test(batch, appendThatTakesEffectLate_changesNothingAnyMore) {
  GatewayFixture Net;
  Net.Store.Fault = standin::AppendFault::Late;
  Net.Store.LateBy = Millis{700};
  HttpCall Call = GatewayFixture::submission("s", 2);
  Call.Headers.push_back({"X-Camphornotch-Request-Deadline", "300"});
  cr_assert_eq(Net.ask(0, Call).Status, 504);
  Net.Store.Fault = standin::AppendFault::None;
  cr_assert_eq(Net.ask(1, GatewayFixture::submission("s", 2)).Status, 202);
  const platform::Json Before = Net.results(1, "s", 2);
  Net.runFor(Millis{900});
  cr_assert(Net.results(0, "s", 2) == Before);
  cr_assert_eq(Before.size(), 2U);
}

Test(batch, appendsThatAreAnsweredSlowly_areAcknowledgedAndNotRepeatedForEver) {
  GatewayFixture Net(1);
  Net.Store.Fault = standin::AppendFault::Slow;
  Net.Store.LateBy = Millis{1'400};
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  const int64_t Part = partitionFor("batch", "s", Net.Partitions).Number;
  // The first timeout is too short for the answer, the second is not.
  cr_assert_leq(Net.Store.state().partition("batch", Part).end(), 2);
}

Test(batch, resultsWithLostAnswers_areListedOnce) {
  GatewayFixture Net;
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 2)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 2; }));
  Net.Store.Fault = standin::AppendFault::LoseAnswer;
  Net.Engine.release();
  Net.runFor(Millis{300});
  Net.Store.Fault = standin::AppendFault::None;
  const platform::Json First = Net.results(0, "s", 2);
  cr_assert_eq(First.size(), 2U);
  Net.runFor(Millis{1'500});
  cr_assert(Net.results(1, "s", 2) == First);
}

Test(batch, twoOwnersOfOnePartition_listEachItemOnce) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 3)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 3; }));
  // The first owner learns of its loss only after it has the results.
  Net.Store.state().leave(Net.Gateways[0]->Batches->member());
  Net.add("gateway-1");
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() >= 4; }));
  Net.Engine.release();
  const platform::Json First = Net.results(0, "s", 3);
  cr_assert_eq(First.size(), 3U);
  Net.runFor(Millis{300});
  cr_assert(Net.results(1, "s", 3) == First);
  std::set<std::string> Items;
  for (const platform::Json &Result : First)
    Items.insert(Result["id"]);
  cr_assert_eq(Items.size(), 3U);
}

Test(batch, handOver_nextOwnerContinuesAfterTheLastEvent) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.runFor(Millis{50});
  bool Left = false;
  Net.Gateways[0]->Batches->handOver([&] { Left = true; });
  cr_assert(turnUntil(Net.Events, [&] { return Left; }));
  Net.Engine.Hold = false;
  Net.add("gateway-1");
  const platform::Json Read = Net.results(1, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), 2U);
  cr_assert_eq(Net.Engine.Runs["s-0"][1], 2, "the second run goes on");
}

Test(batch, partitionsReassigned_nextOwnerContinuesAfterTheLastEvent) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  constexpr size_t Submissions = 6;
  for (size_t Index = 0; Index < Submissions; ++Index)
    cr_assert_eq(
        Net.ask(0, GatewayFixture::submission("s" + std::to_string(Index), 1))
            .Status,
        202);
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Engine.Held.size() == Submissions; }));
  Net.runFor(Millis{50});
  Net.add("gateway-1");
  const auto RestartedItemCount = [&] {
    return std::ranges::count_if(Net.Engine.Runs, [](const auto &Each) {
      return Each.second.size() > 1;
    });
  };
  cr_assert(turnUntil(Net.Events, [&] { return RestartedItemCount() > 0; }));
  for (const auto &[Item, Starts] : Net.Engine.Runs)
    if (Starts.size() > 1)
      cr_assert_eq(Starts[1], 2, "an event was lost");
}

Test(batch, storedProgressIsTheWholeText_isListedAfterOneMoreRun) {
  GatewayFixture Net(1);
  // The stream has sent the whole text but does not end.
  Net.Engine.EventCount = 2;
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.runFor(Millis{50});
  bool Left = false;
  Net.Gateways[0]->Batches->handOver([&] { Left = true; });
  cr_assert(turnUntil(Net.Events, [&] { return Left; }));
  Net.Engine.Hold = false;
  Net.add("gateway-1");
  const platform::Json Read = Net.results(1, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2");
  cr_assert(Read[0]["versions"] == platform::Json({3}));
  cr_assert(Net.Engine.Runs["s-0"] == std::vector<int64_t>({0, 2}));
}

Test(batch, brokenStream_goesOnAfterTheLastWholeEvent) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.runFor(Millis{50});
  Net.Engine.Hold = false;
  Net.Engine.abortHeld();
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Net.Engine.Runs["s-0"].back(), 2);
}

Test(batch, streamWithoutAnEvent_goesOnAfterTheLastThatFollows) {
  GatewayFixture Net(1);
  Net.Engine.SkippedEvent = 3;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert(Net.Engine.Runs["s-0"] == std::vector<int64_t>({0, 2}));
}

Test(batch, endedSubmission_startsNothingMoreAndStaysReadable) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 2)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 2; }));
  HttpCall End;
  End.Method = "DELETE";
  End.Path = "/-/lots/s";
  cr_assert_eq(Net.ask(0, End).Status, 200);
  cr_assert_eq(Net.ask(0, End).Status, 200);
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.Engine.Held[0]->gone() && Net.Engine.Held[1]->gone();
  }));
  HttpCall Read;
  Read.Path = "/-/lots/s";
  cr_assert_eq(Net.ask(0, Read).Status, 200);
  // A run that merely stalled for too long would be restarted.
  Net.runFor(Millis{300});
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), 1U);
}

Test(batch, ownerThatCannotReadItsPartition_startsNothing) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.Store.RefusesReads = true;
  // The long poll ends; then another gateway appends the end.
  Net.runFor(seconds(1));
  appendEnd(Net, "s");
  Net.runFor(seconds(2));
  const size_t Before = Net.Engine.Runs["s-0"].size();
  Net.Engine.abortHeld();
  Net.runFor(seconds(2));
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), Before);
  Net.Store.RefusesReads = false;
  Net.runFor(seconds(3));
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), Before);
}

Test(batch, ownerThatCannotReadItsPartition_startsNoScoringCall) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.Store.RefusesReads = true;
  // Streams that give events all the time are not stalled.
  for (int Event = 3; Event <= 8; ++Event) {
    Net.runFor(Millis{600});
    Net.Engine.EventCount = Event;
    Net.Engine.continueHeld();
  }
  Net.Engine.release();
  Net.runFor(Millis{500});
  cr_assert_eq(Net.Engine.ScoringCalls, 0);
  Net.Store.RefusesReads = false;
  Net.runFor(seconds(2));
  cr_assert_eq(Net.Engine.ScoringCalls, 1);
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
}

Test(batch, scoringCallThatIsRepeated_isHeldOnceThePartitionCannotBeRead) {
  GatewayFixture Net(1);
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  Net.Engine.ScoreAborts = 1'000;
  cr_assert(
      turnUntil(Net.Events, [&] { return Net.Engine.ScoringCalls >= 2; }));
  Net.Store.RefusesReads = true;
  Net.runFor(seconds(4));
  const int Held = Net.Engine.ScoringCalls;
  Net.runFor(seconds(1));
  cr_assert_eq(Net.Engine.ScoringCalls, Held);
  Net.Engine.ScoreAborts = 0;
  Net.Store.RefusesReads = false;
  Net.runFor(seconds(2));
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
}

Test(batch, ownerThatStoodStill_startsNothingBeforeItHasRead) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.runFor(Millis{300});
  const size_t Before = Net.Engine.Runs["s-0"].size();
  // The process stands still; another gateway appends the end meanwhile.
  std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
  appendEnd(Net, "s");
  Net.Store.Silent = true;
  Net.Engine.abortHeld();
  // Joins fail meanwhile; that the store is silent now says nothing about ends
  // that it acknowledged before.
  Net.runFor(seconds(4));
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), Before);
  Net.Store.Silent = false;
  Net.runFor(seconds(3));
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), Before);
}

Test(batch, ownerThatCouldNotReadItsPartition_goesOnAfterwards) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.Store.RefusesReads = true;
  Net.runFor(seconds(3));
  Net.Engine.Hold = false;
  Net.Engine.abortHeld();
  Net.runFor(Millis{500});
  Net.Store.RefusesReads = false;
  Net.runFor(seconds(2));
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
}

Test(batch, endedSubmissionAtAGatewayThatCannotRead_isNotShownAsEmpty) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  HttpCall End;
  End.Method = "DELETE";
  End.Path = "/-/lots/s";
  cr_assert_eq(Net.ask(0, End).Status, 200);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held[0]->gone(); }));
  Net.Store.RefusesReads = true;
  // The long poll ends; then another gateway appends a result.
  Net.runFor(seconds(1));
  wire::BatchRecord Record;
  wire::ItemResultRecord Result;
  Result.Submission = "s";
  Result.Item = "s-0";
  Record.__set_Result(Result);
  Net.Store.state().append(
      "batch", partitionFor("batch", "s", Net.Partitions).Number,
      splitRecord(encodeBatchRecord(Record), 4'000), std::nullopt);
  Net.runFor(seconds(2));
  HttpCall Read;
  Read.Path = "/-/lots/s";
  const HttpResponse Answer = Net.ask(0, Read);
  const bool Shown = Answer.Status == 200 &&
                     !platform::Json::parse(Answer.Body)["results"].empty();
  cr_assert(Shown || Answer.Status == 503);
}

Test(batch, itemBody_isServedAtEveryGateway) {
  GatewayFixture Net;
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  HttpCall Call;
  Call.Path = "/-/items/s?id=s-0";
  cr_assert(Net.ask(1, Call).Body == "hi");
  Call.Path = "/-/items/s?id=other";
  cr_assert_eq(Net.ask(1, Call).Status, 404);
}

Test(batch, scoringCallThatAlwaysFails_givesTheItemUp) {
  GatewayFixture Net(1);
  Net.Engine.ScoreStatus = 500;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["state"] == "dead");
}

Test(batch, failuresOfOtherRequests_giveNoItemUp) {
  GatewayFixture Net(1);
  const auto Attempts =
      static_cast<int>(Net.Gateways[0]->Routes.Routes[0].Attempts);
  Net.Engine.MisaddressedFailures = Attempts;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["state"] == "completed");
}

Test(batch, scoringCallsBrokenOff_doNotCountAsFailures) {
  GatewayFixture Net(1);
  constexpr int Aborts = 8;
  Net.Engine.ScoreAborts = Aborts;
  Net.Engine.ScoreFailures = Net.Gateways[0]->Routes.Routes[0].Attempts - 1;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["state"] == "completed");
  cr_assert_leq(Net.Engine.ScoreFailures, 0);
}

Test(batch, scoringCallFailedWhileTheRouteWasAway_isSentAgain) {
  GatewayFixture Net(1);
  RouteTable &Routes = Net.Gateways[0]->Routes;
  const RouteTable Known = Routes;
  Net.Engine.Hold = true;
  Net.Engine.ScoreFailures = Known.Routes[1].Attempts;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Routes.Routes.erase(Routes.Routes.begin());
  Net.Engine.release();
  cr_assert(
      turnUntil(Net.Events, [&] { return Net.Engine.ScoreFailures <= 0; }));
  Net.runFor(Millis{200});
  Routes = Known;
  Net.Gateways[0]->Batches->routesChanged();
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["state"] == "completed");
}

Test(batch, scoringCallWhileNoEndpointIsThere_isSentOnceThereIsOne) {
  GatewayFixture Net(1);
  EndpointPool &Pool = Net.Gateways[0]->Pool;
  const EndpointRecord Desk = Pool.find(EndpointId{"i-desk"})->Record;
  Pool.remove(Desk.Id);
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return !Net.Engine.Runs.empty(); }));
  Net.runFor(Millis{300});
  Pool.put(Desk);
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["state"] == "completed");
}

Test(batch, longPoll_isAnsweredByTheResult) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  HttpCall Call;
  Call.Target = Net.Gateways[0]->target();
  Call.Path = "/-/lots/s";
  Call.Headers = {{"X-Camphornotch-Wait-Timeout", "1000"}};
  std::string Body;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [&](const HttpResponse &Response) {
    Body = Response.Body;
  };
  Net.Caller.start(Call, std::move(Callbacks));
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.Engine.release();
  cr_assert(turnUntil(Net.Events, [&] { return !Body.empty(); }));
  cr_assert_eq(platform::Json::parse(Body)["results"].size(), 1U);
}

Test(batch, itemsOfAnEarlierSubmission_areNotRunAgainIfTheirTextFits) {
  GatewayFixture Net(1);
  Net.Engine.Hold = true;
  HttpCall First = GatewayFixture::submission("s", 1);
  cr_assert_eq(Net.ask(0, First).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.runFor(Millis{50});
  HttpCall End;
  End.Method = "DELETE";
  End.Path = "/-/lots/s";
  cr_assert_eq(Net.ask(0, End).Status, 200);
  Net.Engine.Hold = false;
  First.Headers = {{"X-Camphornotch-Request-Id", "again"}};
  cr_assert_eq(Net.ask(0, First).Status, 202);
  const platform::Json Read = Net.results(0, "again", 1);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Net.Engine.Runs["s-0"].back(), 2);
}

Test(batch, lostHistory_isAnswered503InPlaceOf404) {
  GatewayFixture Net(1);
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
  for (int64_t Part = 0; Part < 2; ++Part) {
    Net.Store.state().append("batch", Part, {"x"}, std::nullopt);
    Net.Store.state().dropHistory("batch", Part);
  }
  bool Left = false;
  Net.Gateways[0]->Batches->handOver([&] { Left = true; });
  cr_assert(turnUntil(Net.Events, [&] { return Left; }));
  Net.add("gateway-1");
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Gateways[1]->Batches->owned() == 2; }));
  HttpCall Call;
  Call.Path = "/-/lots/s";
  Net.runFor(Millis{300});
  cr_assert_eq(Net.ask(1, Call).Status, 503);
  cr_assert_eq(Net.ask(0, Call).Status, 200);
}

Test(batch, singleVersionRoute_neverMixesVersionsInOneText) {
  GatewayFixture Net(1);
  Net.Gateways[0]->Routes.Routes[0].SingleVersion = true;
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Net.runFor(Millis{50});
  Net.Engine.Hold = false;
  Net.Engine.Version = 4;
  Net.Engine.abortHeld();
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert(Read[0]["versions"] == platform::Json({4}));
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
}

Test(batch, submissionTakenOverBeforeTheConfiguration_startsWithIt) {
  GatewayFixture Net(1);
  const RouteTable Known = Net.Gateways[0]->Routes;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 0)).Status, 400);
  Net.Gateways[0]->Routes = RouteTable{};
  Net.Gateways[0]->Routes.Routes.resize(1);
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 2)).Status, 202);
  Net.runFor(Millis{300});
  cr_assert(Net.Engine.Runs.empty());
  Net.Gateways[0]->Routes = Known;
  Net.Gateways[0]->Batches->routesChanged();
  cr_assert_eq(Net.results(0, "s", 2).size(), 2U);
}

// Guards against lost items: they waited for the service that their route had
// when they were accepted.
Test(batch, routeMovedToAnotherService_waitingItemsRunThere) {
  GatewayFixture Net(1);
  FakeGateway &Gateway = *Net.Gateways[0];
  EndpointRecord Engine = Gateway.Pool.find(EndpointId{"i-llm"})->Record;
  Gateway.Pool.remove(Engine.Id);
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 2)).Status, 202);
  Net.runFor(Millis{200});
  cr_assert_eq(Net.Engine.Runs.size(), 0U);
  Engine.Id = EndpointId{"i-other"};
  Engine.Service = "other";
  Gateway.Pool.put(Engine);
  Gateway.Routes.Version = 2;
  Gateway.Routes.Routes[0].Services = {{"other", 1}};
  Gateway.Batches->routesChanged();
  cr_assert_eq(Net.results(0, "s", 2).size(), 2U);
}

// Guards against items at an engine that has said that it leaves.
Test(batch, engineThatLeaves_finishesItsItemsAndGetsNoMore) {
  GatewayFixture Net(1);
  FakeGateway &Gateway = *Net.Gateways[0];
  Net.Engine.Leaving = true;
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] {
    return Gateway.Pool.find(EndpointId{"i-llm"})->Leaving;
  }));
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("t", 1)).Status, 202);
  FakeEngine Second(Net.Events);
  for (const std::string Name : {"i-llm", "i-desk"}) {
    EndpointRecord Other = Gateway.Pool.find(EndpointId{Name})->Record;
    Other.Id = EndpointId{Name + "-second"};
    Other.ListenAddress = Second.where();
    Gateway.Pool.put(Other);
  }
  Gateway.Batches->wake();
  cr_assert_eq(Net.results(0, "t", 1).size(), 1U);
  cr_assert_not(Net.Engine.Runs.contains("t-0"));
  Net.Engine.release();
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), 1U);
}

Test(batch, scoringServiceThatLeaves_getsNoMoreCalls) {
  GatewayFixture Net(1);
  FakeGateway &Gateway = *Net.Gateways[0];
  Net.Engine.Leaving = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
  cr_assert(Gateway.Pool.find(EndpointId{"i-desk"})->Leaving);
}

// Guards against an item that fails and is run for ever: only the route, which
// may be removed, told how many attempts it has.
Test(batch, itemThatFailsAfterItsRouteIsRemoved_isGivenUp) {
  GatewayFixture Net(1);
  FakeGateway &Gateway = *Net.Gateways[0];
  constexpr int Many = 1'000;
  Net.Engine.RunFailures = Many;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return !Net.Engine.Runs.empty(); }));
  Gateway.Routes.Version = 2;
  Gateway.Routes.Routes.erase(Gateway.Routes.Routes.begin());
  Gateway.Batches->routesChanged();
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["state"] == "dead");
  cr_assert_eq(Net.Engine.Runs["s-0"].size(), 3U);
}

// Guards against a scoring call that waits for ever for the route of its item.
Test(batch, scoringCallThatFailsAfterItsItemsRouteIsRemoved_givesTheItemUp) {
  GatewayFixture Net(1);
  FakeGateway &Gateway = *Net.Gateways[0];
  Net.Engine.Hold = true;
  Net.Engine.ScoreStatus = 500;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  Gateway.Routes.Version = 2;
  Gateway.Routes.Routes.erase(Gateway.Routes.Routes.begin());
  Gateway.Batches->routesChanged();
  Net.Engine.release();
  const platform::Json Read = Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["state"] == "dead");
}
