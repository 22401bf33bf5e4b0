/// @file
/// Calls at gateways that do not own the partitions, with owners that serve,
/// refuse, hang or are dead.

#include "core/store/member_func.h"
#include "core/store/store_func.h"
#include "gateway_fixture.h"
#include "tests/net/scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Names the requested member.
constexpr const char *MemberHeader = "x-asked-member";
/// The partition that the tests use.
constexpr int64_t TestedPart = 0;
/// Index of the gateway that gets the calls and never owns a partition.
constexpr size_t NonOwner = 2;

/// @return the id of a submission in that partition.
std::string submissionId() {
  for (int Number = 0;; ++Number) {
    std::string Id = "s" + std::to_string(Number);
    if (partitionFor("batch", Id, 2).Number == TestedPart)
      return Id;
  }
}

/// A member of the group whose answers the test controls.
class FakeOwner {
public:
  explicit FakeOwner(Loop &Events) {
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->handle(Exchange);
        });
    this->Server = std::move(Made.value());
    this->Name =
        memberName("a-fake", Address{"127.0.0.1", this->Server->port()});
  }

  /// Stops answering, like a dead process.
  void stop() { this->Server.reset(); }

  /// Member name; first in the order of all names, so that it gets the
  /// partition.
  std::string Name;
  /// Status of the answers; 0: it never answers.
  int Status = 0;
  /// Whether answers name the member.
  bool NamesItself = true;
  std::vector<std::shared_ptr<HttpExchange>> Calls;

private:
  void handle(const std::shared_ptr<HttpExchange> &Exchange) {
    this->Calls.push_back(Exchange);
    if (this->Status == 0)
      return;
    HttpResponse Response;
    Response.Status = this->Status;
    Response.Body = "{}";
    if (this->NamesItself)
      Response.Headers = {{MemberHeader, this->Name}};
    Exchange->answer(Response);
  }

  std::unique_ptr<HttpServer> Server;
};

/// Two gateways that own one partition each, and one without any.
struct OwnerNet : GatewayFixture {
  /// Id of a submission with two items.
  std::string Id = submissionId();

  /// Makes a submission, then starts the gateway that gets the calls.
  /// @param Hold whether the engine holds the items; otherwise the submission
  /// has all results.
  explicit OwnerNet(bool Hold = false) {
    constexpr size_t Items = 2;
    this->Engine.Hold = Hold;
    cr_assert(turnUntil(this->Events, [this] {
      return this->ownsPartition(0) && this->ownsPartition(1) &&
             this->Gateways[0]->Batches->owned() == 1;
    }));
    cr_assert_eq(
        this->ask(0, GatewayFixture::submission(this->Id, Items)).Status, 202);
    if (Hold)
      cr_assert(turnUntil(
          this->Events, [this] { return this->Engine.Held.size() == Items; }));
    else
      cr_assert_eq(this->results(0, this->Id, Items).size(), Items);
    this->add("gateway-2");
  }

  /// @return whether the gateway of an index owns the partition of that number.
  bool ownsPartition(size_t Index) {
    const auto &Holders = this->Store.state().holders();
    const auto Found = Holders.find(static_cast<int64_t>(Index));
    return Found != Holders.end() &&
           Found->second == this->Gateways[Index]->Batches->member();
  }

  /// Makes a member that is no gateway the owner of the partition.
  void assignTo(const std::string &Name) {
    cr_assert(turnUntil(this->Events, [&] {
      return this->Store.state()
          .join(Name, seconds(600), 0, steadyNow())
          .contains(TestedPart);
    }));
  }

  /// @param Path path and query.
  /// @return the answer of the gateway that owns nothing.
  HttpResponse askNonOwner(const std::string &Path,
                           const std::string &Method = "GET") {
    HttpCall Call;
    Call.Method = Method;
    Call.Path = Path;
    return this->ask(NonOwner, Call);
  }

  /// @return the gateway that owns nothing.
  FakeGateway &nonOwner() { return *this->Gateways[NonOwner]; }

  /// @return the number of calls that the owners got from other gateways.
  size_t peerCalls() const {
    return this->Gateways[0]->PeerCalls + this->Gateways[1]->PeerCalls;
  }
};

} // namespace

Test(ownerCall, callsAtAnotherGateway_readNoPartitionThere) {
  OwnerNet Net;
  const platform::Json Own = Net.results(0, Net.Id, 2);
  cr_assert(Net.results(NonOwner, Net.Id, 2) == Own);
  cr_assert_eq(Net.askNonOwner("/-/lots/" + Net.Id + "?after=1").Status, 200);
  cr_assert(
      Net.askNonOwner("/-/items/" + Net.Id + "?id=" + Net.Id + "-0").Body ==
      "hi");
  cr_assert_eq(Net.askNonOwner("/-/items/" + Net.Id + "?id=x").Status, 404);
  cr_assert_eq(Net.ask(NonOwner, GatewayFixture::submission(Net.Id, 2)).Status,
               202);
  cr_assert_geq(Net.peerCalls(), 4U);
  cr_assert_eq(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, unknownSubmission_is404ByTheOwnersReading) {
  OwnerNet Net;
  cr_assert_eq(Net.askNonOwner("/-/lots/none").Status, 404);
  cr_assert_eq(Net.peerCalls(), 1U);
  cr_assert_eq(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, longPollAtAnotherGateway_isAnsweredByTheResult) {
  OwnerNet Net(true);
  HttpCall Call;
  Call.Target = Net.nonOwner().target();
  Call.Path = "/-/lots/" + Net.Id;
  Call.Headers = {{"X-Camphornotch-Wait-Timeout", "1000"}};
  std::string Body;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [&](const HttpResponse &Response) {
    Body = Response.Body;
  };
  Net.Caller.start(Call, std::move(Callbacks));
  cr_assert(
      turnUntil(Net.Events, [&] { return Net.Gateways[0]->PeerCalls == 1; }));
  cr_assert(Body.empty());
  Net.Engine.release();
  cr_assert(turnUntil(Net.Events, [&] { return !Body.empty(); }));
  cr_assert_geq(platform::Json::parse(Body)["results"].size(), 1U);
  cr_assert_eq(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, endAtAnotherGateway_endsTheSubmission) {
  OwnerNet Net(true);
  cr_assert_eq(Net.askNonOwner("/-/lots/" + Net.Id, "DELETE").Status, 200);
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.Engine.Held[0]->gone() && Net.Engine.Held[1]->gone();
  }));
  cr_assert_eq(Net.peerCalls(), 1U);
  cr_assert_eq(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, endThatTheOwnerNeverAnswers_isAppendedLocally) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.assignTo(Owner.Name);
  cr_assert_eq(Net.askNonOwner("/-/lots/" + Net.Id, "DELETE").Status, 200);
  cr_assert_eq(Owner.Calls.size(), 1U);
}

Test(ownerCall, deadOwner_isReplacedByALocalRead) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.assignTo(Owner.Name);
  Owner.stop();
  cr_assert_eq(Net.results(NonOwner, Net.Id, 2).size(), 2U);
  cr_assert_gt(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, ownerThatHangs_isReplacedByALocalRead) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.assignTo(Owner.Name);
  cr_assert_eq(Net.askNonOwner("/-/lots/" + Net.Id).Status, 200);
  cr_assert_eq(Owner.Calls.size(), 1U);
  cr_assert_gt(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, memberThatRefuses_isReplacedByTheOwner) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 421;
  Net.assignTo(Owner.Name);
  cr_assert_eq(Net.askNonOwner("/-/lots/" + Net.Id).Status, 503);
  cr_assert_geq(Owner.Calls.size(), 1U);
  Net.Store.state().leave(Owner.Name);
  cr_assert_eq(Net.results(NonOwner, Net.Id, 2).size(), 2U);
  cr_assert_geq(Net.peerCalls(), 1U);
  cr_assert_eq(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, partitionReassigned_newOwnerIsAskedThoughTheOldOneAnswers) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 200;
  Net.assignTo(Owner.Name);
  cr_assert(Net.askNonOwner("/-/lots/" + Net.Id).Body == "{}");
  Net.Store.state().leave(Owner.Name);
  cr_assert(turnUntil(Net.Events, [&] { return Net.ownsPartition(0); }));
  // All members have joined again by then.
  Net.runFor(Millis{1'200});
  Net.askNonOwner("/-/lots/" + Net.Id);
  Net.runFor(Millis{100});
  const size_t Before = Owner.Calls.size();
  cr_assert(Net.askNonOwner("/-/lots/" + Net.Id).Body != "{}");
  cr_assert_eq(Owner.Calls.size(), Before);
}

Test(ownerCall, onlyNamedMemberRefuses_isFinallyReplacedByALocalRead) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 421;
  Net.assignTo(Owner.Name);
  cr_assert_eq(Net.results(NonOwner, Net.Id, 2).size(), 2U);
  cr_assert_gt(Net.nonOwner().partitionReads(), 0);
}

Test(ownerCall, ownerStillReading_isRetriedWithoutALocalRead) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 503;
  Net.assignTo(Owner.Name);
  const HttpResponse Answer = Net.askNonOwner("/-/lots/" + Net.Id);
  cr_assert_eq(Answer.Status, 503);
  cr_assert(!findHeader(Answer.Headers, "retry-after").empty());
  cr_assert_geq(Owner.Calls.size(), 2U, "it is asked again meanwhile");
  cr_assert_eq(Net.nonOwner().partitionReads(), 0);
  Owner.Status = 200;
  cr_assert_eq(Net.askNonOwner("/-/lots/" + Net.Id).Status, 200);
}

Test(ownerCall, answerOfAnotherProcess_isNotPassedOn) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 404;
  Owner.NamesItself = false;
  Net.assignTo(Owner.Name);
  cr_assert_neq(Net.askNonOwner("/-/lots/" + Net.Id).Status, 404);
  cr_assert_geq(Owner.Calls.size(), 1U);
  cr_assert_eq(Net.results(NonOwner, Net.Id, 2).size(), 2U);
}

Test(ownerCall, callerThatLeaves_endsTheCallToTheOwner) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.assignTo(Owner.Name);
  HttpCall Call;
  Call.Target = Net.nonOwner().target();
  Call.Path = "/-/lots/" + Net.Id;
  Call.Headers = {{"X-Camphornotch-Wait-Timeout", "1000"}};
  const HttpCallId Id = Net.Caller.start(Call, HttpCallbacks{});
  cr_assert(turnUntil(Net.Events, [&] { return Owner.Calls.size() == 1; }));
  Net.Caller.cancel(Id);
  cr_assert(turnUntil(Net.Events, [&] { return Owner.Calls[0]->gone(); }));
  cr_assert_eq(Net.nonOwner().silentOwners(), 0, "it ended by its time limit");
}

Test(ownerCall, keptConnectionThatBreaks_isFollowedByAFreshOne) {
  OwnerNet Net;
  ScriptedServer Owner;
  const std::string Name =
      memberName("a-fake", Address{"127.0.0.1", Owner.target().Port});
  const std::string Answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n" +
                             std::string(MemberHeader) + ": " + Name +
                             "\r\n\r\n{}";
  Net.assignTo(Name);
  HttpCall Call;
  Call.Target = Net.nonOwner().target();
  Call.Path = "/-/lots/" + Net.Id;
  int Answers = 0;
  const auto Ask = [&] {
    HttpCallbacks Callbacks;
    Callbacks.Finished = [&](const HttpResponse &Response) {
      Answers += Response.Status == 200 ? 1 : 0;
    };
    Net.Caller.start(Call, std::move(Callbacks));
  };
  Ask();
  cr_assert(turnUntil(Net.Events, [&] { return Owner.hasRequests(0, 1); }));
  Owner.send(0, Answer);
  cr_assert(turnUntil(Net.Events, [&] { return Answers == 1; }));
  Ask();
  cr_assert(turnUntil(Net.Events, [&] { return Owner.hasRequests(0, 2); }));
  Owner.reset(0);
  cr_assert(turnUntil(Net.Events, [&] { return Owner.hasRequests(1, 1); }));
  Owner.send(1, Answer);
  cr_assert(turnUntil(Net.Events, [&] { return Answers == 2; }));
  cr_assert_eq(Net.nonOwner().silentOwners(), 0);
}

Test(onPeer, memberThatOwnsNothing_refusesAndAsksNobody) {
  OwnerNet Net;
  HttpCall Call;
  Call.Target = Net.nonOwner().peerTarget();
  Call.Path = "/-/lots/" + Net.Id;
  Call.Headers = {{MemberHeader, Net.nonOwner().Batches->member()}};
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 421);
  cr_assert_eq(Net.peerCalls(), 0U);
}

Test(onPeer, callForAnotherMember_isRefused) {
  OwnerNet Net;
  HttpCall Call;
  Call.Target = Net.Gateways[0]->peerTarget();
  Call.Path = "/-/lots/" + Net.Id;
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 421);
  Call.Headers = {{MemberHeader, Net.Gateways[0]->Batches->member()}};
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 200);
  Call.Path = "/roll/1";
  Call.Method = "POST";
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 421);
}

Test(onPeer, ownerCutOffFromTheStore_saysNothingOld) {
  OwnerNet Net;
  Net.Store.Busy = true;
  HttpCall Call;
  Call.Target = Net.Gateways[0]->peerTarget();
  Call.Headers = {{MemberHeader, Net.Gateways[0]->Batches->member()}};
  Call.Path = "/-/lots/" + Net.Id + "?after=2";
  cr_assert(turnUntil(Net.Events, [&] {
    return answerTo(Net.Events, Net.Caller, Call).Status == 503;
  }));
  Call.Path = "/-/lots/none";
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 503);
  Call.Path = "/-/lots/" + Net.Id;
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 200,
               "results never change");
}

Test(onPeer, ownerThatHasNotReadItsPartition_saysSoAtOnce) {
  GatewayFixture Net(0);
  Net.Store.ReadsSilent = true;
  Net.add("gateway-0");
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Gateways[0]->Batches->owned() == 2; }));
  HttpCall Call;
  Call.Target = Net.Gateways[0]->peerTarget();
  Call.Headers = {{MemberHeader, Net.Gateways[0]->Batches->member()}};
  Call.Path = "/-/lots/none";
  const HttpResponse Answer = answerTo(Net.Events, Net.Caller, Call);
  cr_assert_eq(Answer.Status, 503);
  cr_assert(Answer.Body.find("not read yet") != std::string::npos);
  Net.Store.ReadsSilent = false;
  cr_assert(turnUntil(Net.Events, [&] {
    return answerTo(Net.Events, Net.Caller, Call).Status == 404;
  }));
}
