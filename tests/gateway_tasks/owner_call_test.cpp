/// @file
/// Calls at gateways that do not own their partitions, with owners that serve,
/// refuse, hang or are dead.

#include "core/store/member_func.h"
#include "core/store/store_func.h"
#include "gateway_fixture.h"
#include "tests/net/scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The header that names the member asked.
constexpr const char *MemberHeader = "x-asked-member";
/// The partition that the tests ask about.
constexpr int64_t AskedPart = 0;
/// The gateway that is asked and never owns a partition.
constexpr size_t Asked = 2;

/// @return the id of a submission on that partition.
std::string submissionId() {
  for (int Number = 0;; ++Number) {
    std::string Id = "s" + std::to_string(Number);
    if (partitionFor("batch", Id, 2).Number == AskedPart)
      return Id;
  }
}

/// A member of the group whose answers the test decides.
class FakeOwner {
public:
  /// @param Events the loop.
  explicit FakeOwner(Loop &Events) {
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &One) { this->take(One); });
    this->Server = std::move(Made.value());
    this->Name =
        memberName("a-fake", Address{"127.0.0.1", this->Server->port()});
  }

  /// Stops, as a dead process does.
  void die() { this->Server.reset(); }

  /// Its name in the group; the first of all, so that it gets the partition.
  std::string Name;
  /// The status of its answers; 0: it never answers.
  int Status = 0;
  /// Whether its answers name it.
  bool Marks = true;
  /// Calls that it got.
  std::vector<std::shared_ptr<HttpExchange>> Calls;

private:
  /// @param One a call.
  void take(const std::shared_ptr<HttpExchange> &One) {
    this->Calls.push_back(One);
    if (this->Status == 0)
      return;
    HttpResponse Response;
    Response.Status = this->Status;
    Response.Body = "{}";
    if (this->Marks)
      Response.Headers = {{MemberHeader, this->Name}};
    One->answer(Response);
  }

  /// The server.
  std::unique_ptr<HttpServer> Server;
};

/// Two gateways that own a partition each, and one without any.
struct OwnerNet : GatewayFixture {
  /// The id of a submission with two items.
  std::string Id = submissionId();

  /// Submits, and starts the gateway that is asked.
  /// @param Hold whether the submission's items are held at the engine;
  ///   otherwise it has its results.
  explicit OwnerNet(bool Hold = false) {
    constexpr size_t Items = 2;
    this->Engine.Hold = Hold;
    cr_assert(turnUntil(this->Events, [this] {
      return this->holds(0) && this->holds(1) &&
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

  /// @param Index a gateway's index.
  /// @return whether it has the partition of that number.
  bool holds(size_t Index) {
    const auto &Holders = this->Store.state().holders();
    const auto Found = Holders.find(static_cast<int64_t>(Index));
    return Found != Holders.end() &&
           Found->second == this->Gateways[Index]->Batches->member();
  }

  /// Gives the partition to a member of the test's own.
  /// @param Name the member's name.
  void give(const std::string &Name) {
    cr_assert(turnUntil(this->Events, [&] {
      return this->Store.state()
          .join(Name, seconds(600), 0, steadyNow())
          .contains(AskedPart);
    }));
  }

  /// @param Path path and query.
  /// @param Method the method.
  /// @return the answer of the gateway that owns nothing.
  HttpResponse askOther(const std::string &Path,
                        const std::string &Method = "GET") {
    HttpCall Call;
    Call.Method = Method;
    Call.Path = Path;
    return this->ask(Asked, Call);
  }

  /// @return the gateway that is asked.
  FakeGateway &other() { return *this->Gateways[Asked]; }

  /// @return calls that the owners got from other gateways.
  size_t peerCalls() const {
    return this->Gateways[0]->PeerCalls + this->Gateways[1]->PeerCalls;
  }
};

} // namespace

Test(ownerCall, callsAtAnotherGateway_readNoPartitionThere) {
  OwnerNet Net;
  const platform::Json Own = Net.results(0, Net.Id, 2);
  cr_assert(Net.results(Asked, Net.Id, 2) == Own);
  cr_assert_eq(Net.askOther("/-/lots/" + Net.Id + "?after=1").Status, 200);
  cr_assert(Net.askOther("/-/items/" + Net.Id + "?id=" + Net.Id + "-0").Body ==
            "hi");
  cr_assert_eq(Net.askOther("/-/items/" + Net.Id + "?id=x").Status, 404);
  cr_assert_eq(Net.ask(Asked, GatewayFixture::submission(Net.Id, 2)).Status,
               202);
  cr_assert_geq(Net.peerCalls(), 4U);
  cr_assert_eq(Net.other().partitionReads(), 0);
}

Test(ownerCall, unknownSubmission_is404ByTheOwnersReading) {
  OwnerNet Net;
  cr_assert_eq(Net.askOther("/-/lots/none").Status, 404);
  cr_assert_eq(Net.peerCalls(), 1U);
  cr_assert_eq(Net.other().partitionReads(), 0);
}

Test(ownerCall, longPollAtAnotherGateway_isAnsweredByTheResult) {
  OwnerNet Net(true);
  HttpCall Call;
  Call.Target = Net.other().target();
  Call.Path = "/-/lots/" + Net.Id;
  Call.Headers = {{"X-Camphornotch-Wait-Timeout", "1000"}};
  std::string Body;
  HttpEvents Tell;
  Tell.Finished = [&](const HttpResponse &Response) { Body = Response.Body; };
  Net.Caller.start(Call, std::move(Tell));
  cr_assert(
      turnUntil(Net.Events, [&] { return Net.Gateways[0]->PeerCalls == 1; }));
  cr_assert(Body.empty());
  Net.Engine.release();
  cr_assert(turnUntil(Net.Events, [&] { return !Body.empty(); }));
  cr_assert_geq(platform::Json::parse(Body)["results"].size(), 1U);
  cr_assert_eq(Net.other().partitionReads(), 0);
}

Test(ownerCall, endAtAnotherGateway_endsTheSubmission) {
  OwnerNet Net(true);
  cr_assert_eq(Net.askOther("/-/lots/" + Net.Id, "DELETE").Status, 200);
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.Engine.Held[0]->gone() && Net.Engine.Held[1]->gone();
  }));
  cr_assert_eq(Net.peerCalls(), 1U);
  cr_assert_eq(Net.other().partitionReads(), 0);
}

Test(ownerCall, endThatTheOwnerNeverAnswers_isDoneHere) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.give(Owner.Name);
  cr_assert_eq(Net.askOther("/-/lots/" + Net.Id, "DELETE").Status, 200);
  cr_assert_eq(Owner.Calls.size(), 1U);
}

Test(ownerCall, deadOwner_isReadAround) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.give(Owner.Name);
  Owner.die();
  cr_assert_eq(Net.results(Asked, Net.Id, 2).size(), 2U);
  cr_assert_gt(Net.other().partitionReads(), 0);
}

Test(ownerCall, ownerThatHangs_isReadAround) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.give(Owner.Name);
  cr_assert_eq(Net.askOther("/-/lots/" + Net.Id).Status, 200);
  cr_assert_eq(Owner.Calls.size(), 1U);
  cr_assert_gt(Net.other().partitionReads(), 0);
}

Test(ownerCall, memberThatRefuses_givesWayToTheOwner) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 421;
  Net.give(Owner.Name);
  cr_assert_eq(Net.askOther("/-/lots/" + Net.Id).Status, 503);
  cr_assert_geq(Owner.Calls.size(), 1U);
  Net.Store.state().leave(Owner.Name);
  cr_assert_eq(Net.results(Asked, Net.Id, 2).size(), 2U);
  cr_assert_geq(Net.peerCalls(), 1U);
  cr_assert_eq(Net.other().partitionReads(), 0);
}

Test(ownerCall, ownersDealtAnew_areAskedThoughTheOldOneStillAnswers) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 200;
  Net.give(Owner.Name);
  cr_assert(Net.askOther("/-/lots/" + Net.Id).Body == "{}");
  Net.Store.state().leave(Owner.Name);
  cr_assert(turnUntil(Net.Events, [&] { return Net.holds(0); }));
  // All members have joined again by then.
  Net.pass(Millis{1'200});
  Net.askOther("/-/lots/" + Net.Id);
  Net.pass(Millis{100});
  const size_t Before = Owner.Calls.size();
  cr_assert(Net.askOther("/-/lots/" + Net.Id).Body != "{}");
  cr_assert_eq(Owner.Calls.size(), Before);
}

Test(ownerCall, onlyMemberNamedRefuses_isReadAroundInTheEnd) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 421;
  Net.give(Owner.Name);
  cr_assert_eq(Net.results(Asked, Net.Id, 2).size(), 2U);
  cr_assert_gt(Net.other().partitionReads(), 0);
}

Test(ownerCall, ownerThatReads_isWaitedForAndNotReadAround) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 503;
  Net.give(Owner.Name);
  const HttpResponse Answer = Net.askOther("/-/lots/" + Net.Id);
  cr_assert_eq(Answer.Status, 503);
  cr_assert(!findHeader(Answer.Headers, "retry-after").empty());
  cr_assert_geq(Owner.Calls.size(), 2U, "it is asked again meanwhile");
  cr_assert_eq(Net.other().partitionReads(), 0);
  Owner.Status = 200;
  cr_assert_eq(Net.askOther("/-/lots/" + Net.Id).Status, 200);
}

Test(ownerCall, answerOfAnotherProcess_isNotPassedOn) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Owner.Status = 404;
  Owner.Marks = false;
  Net.give(Owner.Name);
  cr_assert_neq(Net.askOther("/-/lots/" + Net.Id).Status, 404);
  cr_assert_geq(Owner.Calls.size(), 1U);
  cr_assert_eq(Net.results(Asked, Net.Id, 2).size(), 2U);
}

Test(ownerCall, callerThatLeaves_endsTheCallToTheOwner) {
  OwnerNet Net;
  FakeOwner Owner(Net.Events);
  Net.give(Owner.Name);
  HttpCall Call;
  Call.Target = Net.other().target();
  Call.Path = "/-/lots/" + Net.Id;
  Call.Headers = {{"X-Camphornotch-Wait-Timeout", "1000"}};
  const HttpCallId Id = Net.Caller.start(Call, HttpEvents{});
  cr_assert(turnUntil(Net.Events, [&] { return Owner.Calls.size() == 1; }));
  Net.Caller.cancel(Id);
  cr_assert(turnUntil(Net.Events, [&] { return Owner.Calls[0]->gone(); }));
  cr_assert_eq(Net.other().silentOwners(), 0, "it ended by its time limit");
}

Test(ownerCall, keptConnectionThatBreaks_isFollowedByAFreshOne) {
  OwnerNet Net;
  ScriptedServer Owner;
  const std::string Name =
      memberName("a-fake", Address{"127.0.0.1", Owner.target().Port});
  const std::string Answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n" +
                             std::string(MemberHeader) + ": " + Name +
                             "\r\n\r\n{}";
  Net.give(Name);
  HttpCall Call;
  Call.Target = Net.other().target();
  Call.Path = "/-/lots/" + Net.Id;
  int Answers = 0;
  const auto Ask = [&] {
    HttpEvents Tell;
    Tell.Finished = [&](const HttpResponse &Response) {
      Answers += Response.Status == 200 ? 1 : 0;
    };
    Net.Caller.start(Call, std::move(Tell));
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
  cr_assert_eq(Net.other().silentOwners(), 0);
}

Test(onPeer, memberThatOwnsNothing_refusesAndAsksNobody) {
  OwnerNet Net;
  HttpCall Call;
  Call.Target = Net.other().peers();
  Call.Path = "/-/lots/" + Net.Id;
  Call.Headers = {{MemberHeader, Net.other().Batches->member()}};
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 421);
  cr_assert_eq(Net.peerCalls(), 0U);
}

Test(onPeer, callForAnotherMember_isRefused) {
  OwnerNet Net;
  HttpCall Call;
  Call.Target = Net.Gateways[0]->peers();
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
  Call.Target = Net.Gateways[0]->peers();
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
  Call.Target = Net.Gateways[0]->peers();
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
