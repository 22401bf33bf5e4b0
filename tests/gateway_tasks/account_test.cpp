/// @file
/// A whole gateway with client accounts: who is served, and what endpoints see.

#include "base/text_func.h"
#include "tests/net/scripted_server.h"
#include "whole_gateway_fixture.h"

#include <absl/strings/match.h>
#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A private, a public and a submission route.
constexpr std::string_view RoutesText = R"("routes":[
  {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
   "timeout_ms":60000,"target_latency_ms":200,"attempts":2},
  {"name":"p","host":"h","path_prefix":"/p/","kind":"safe","service":"s",
   "timeout_ms":60000,"attempts":2,"public":true},
  {"name":"score","host":"h","path_prefix":"/score/","kind":"safe",
   "service":"s","timeout_ms":60000,"attempts":2,"public":true},
  {"name":"b","host":"h","path_prefix":"/roll/","kind":"rollout","service":"s",
   "attempts":2},
  {"name":"o","host":"h","path_prefix":"/open/","kind":"rollout","service":"s",
   "attempts":2,"public":true}],
 "services":[{"name":"s","engine":{"slots":8,"models":[{"name":"m"}]}}],
 "limits":{})";

/// @param Accounts the list of accounts.
std::string configText(int Version, std::string_view Accounts) {
  return concat(R"({"version":)", Version, ",", RoutesText, R"(,"tenants":)",
                Accounts, "}");
}

constexpr std::string_view TwoAccounts =
    R"([{"name":"one","api_keys":["key-1","key-2"]},
        {"name":"two","api_keys":["key-3"]}])";

HttpHeaders bearer(const std::string &Key) {
  return {{"Authorization", "Bearer " + Key}};
}

/// A gateway with two accounts and an engine.
struct AccountNet : WholeGateway {
  FakeEngine Engine{this->Events};

  explicit AccountNet(const std::string &ItemOrder = "wanted_groups")
      : WholeGateway(ItemOrder) {
    this->configure(configText(1, TwoAccounts));
    this->Store.put("keyed.servers", "i-1",
                    R"({"service":"s","zone":"dc","slots":8,"state":"ready",)"
                    R"("born":1,"models":[{"name":"m","version":3}],)"
                    R"("address":"127.0.0.1:)" +
                        std::to_string(this->Engine.where().Port) + R"("})");
    cr_assert(turnUntil(this->Events, [this] {
      return this->ask("GET", "/p/x", {}).Status == 200;
    }));
    this->Engine.HeadersById.clear();
  }

  /// @return the names of the headers that the engine received for a request,
  ///   with the given name.
  std::vector<std::string> received(const std::string &RequestId,
                                    std::string_view Name) {
    std::vector<std::string> Values;
    for (const HttpHeader &Header : this->Engine.HeadersById[RequestId])
      if (absl::EqualsIgnoreCase(Header.Name, toAbsl(Name)))
        Values.push_back(Header.Value);
    return Values;
  }

  /// Submits one item under a key.
  HttpResponse submit(const std::string &Id, const std::string &Key) {
    HttpCall Call = GatewayFixture::submission(Id, 1);
    Call.Target = this->Tested->callerTarget();
    Call.Host = "h";
    Call.Reuse = false;
    Call.Headers.push_back({"Authorization", "Bearer " + Key});
    return answerTo(this->Events, this->Caller, std::move(Call));
  }
};

} // namespace

Test(account, unknownOrMissingKey_gets401AndReachesNoEndpoint) {
  AccountNet Net;
  for (const HttpHeaders &Headers :
       {HttpHeaders{}, bearer("key-9"), bearer(""),
        HttpHeaders{{"Authorization", "Basic key-1"}},
        HttpHeaders{{"Authorization", "Bearer key-1"},
                    {"authorization", "Bearer key-9"}}}) {
    const HttpResponse Answer = Net.ask("POST", "/a/x", "x", Headers);
    cr_assert_eq(Answer.Status, 401);
    cr_assert_eq(findHeader(Answer.Headers, "www-authenticate"), "Bearer");
  }
  for (const char *Path : {"/-/lots/x", "/-/items/x?id=y"})
    cr_assert_eq(Net.ask("GET", Path, {}).Status, 401);
  cr_assert(Net.Engine.HeadersById.empty());
}

Test(account, pathWithoutRoute_gets404WithAnyKey) {
  AccountNet Net;
  cr_assert_eq(Net.ask("GET", "/c/x", {}, bearer("key-9")).Status, 404);
}

// Guards against keys that leak to endpoints, and against callers that name
// another account themselves.
Test(account, knownKey_isReplacedByTheAccountsName) {
  AccountNet Net;
  const HttpHeaders Headers{{"AUTHORIZATION", "bearer key-2"},
                            {"X-Camphornotch-Tenant", "two"},
                            {"x-camphornotch-TENANT", "three"},
                            {"Connection", "x-camphornotch-tenant"}};
  cr_assert_eq(Net.ask("POST", "/a/x", "x", Headers).Status, 200);
  cr_assert(Net.received("r1", "authorization").empty());
  const std::vector<std::string> Named =
      Net.received("r1", "x-camphornotch-tenant");
  cr_assert_eq(Named.size(), 1);
  cr_assert_eq(Named[0], "one");
}

// Guards against a trailer that names another account.
Test(account, trailerThatNamesAnAccount_reachesNoEndpoint) {
  AccountNet Net;
  PlainSocket Client(Net.Tested->callerTarget().Port);
  Client.send("POST /a/x HTTP/1.1\r\nhost: h\r\n"
              "authorization: Bearer key-1\r\n"
              "x-camphornotch-request-id: t1\r\n"
              "trailer: x-camphornotch-tenant\r\n"
              "transfer-encoding: chunked\r\n\r\n"
              "1\r\nx\r\n0\r\nx-camphornotch-tenant: two\r\n\r\n");
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Engine.HeadersById.contains("t1"); }));
  const std::vector<std::string> Expected{"one"};
  cr_assert(Net.received("t1", "x-camphornotch-tenant") == Expected);
}

// Guards against a second set of credentials that an endpoint receives, or that
// counts in place of the first.
Test(account, twoSetsOfCredentials_areNoKeyAndReachNoEndpoint) {
  AccountNet Net;
  HttpHeaders Headers = bearer("key-1");
  Headers.push_back({"authorization", "Basic dXNlcg=="});
  cr_assert_eq(Net.ask("GET", "/a/x", {}, Headers).Status, 401);
  cr_assert_eq(Net.ask("GET", "/p/x", {}, Headers).Status, 200);
  cr_assert(Net.received("r1", "authorization").empty());
  cr_assert(Net.received("r1", "x-camphornotch-tenant").empty());
}

// Guards against items that the fair order loses between the scheduler and the
// engine.
Test(account, fairShare_runsTheItemsOfAllAccounts) {
  AccountNet Net("fair_share");
  for (const char *Key : {"key-1", "key-3"})
    cr_assert_eq(Net.submit("lot", Key).Status, 202);
  for (const char *Key : {"key-1", "key-3"})
    cr_assert(turnUntil(Net.Events, [&] {
      const HttpResponse Answer =
          Net.ask("GET", "/-/lots/lot", {}, bearer(Key));
      return Answer.Status == 200 &&
             platform::Json::parse(Answer.Body)["results"].size() == 1;
    }));
}

Test(account, publicRoute_servesAnyoneAndPassesNoKey) {
  AccountNet Net;
  HttpHeaders Headers = bearer("key-9");
  Headers.push_back({"X-Camphornotch-Tenant", "two"});
  cr_assert_eq(Net.ask("POST", "/p/x", "x", Headers).Status, 200);
  cr_assert(Net.received("r1", "authorization").empty());
  cr_assert(Net.received("r1", "x-camphornotch-tenant").empty());
}

// Guards against keys that stay valid on kept connections after their removal.
Test(account, keyRemovedOrMoved_countsFromTheNextRequest) {
  AccountNet Net;
  HttpCall Call;
  Call.Target = Net.Tested->callerTarget();
  Call.Host = "h";
  Call.Path = "/a/x";
  Call.Headers = bearer("key-1");
  Call.Headers.push_back({"X-Camphornotch-Request-Id", "r1"});
  cr_assert_eq(answerTo(Net.Events, Net.Caller, Call).Status, 200);
  Net.Store.put(
      "keyed.op", "config",
      configText(2, R"([{"name":"two","api_keys":["key-3","key-2"]}])"));
  cr_assert(turnUntil(Net.Events, [&] {
    return answerTo(Net.Events, Net.Caller, Call).Status == 401;
  }));
  cr_assert_eq(Net.ask("GET", "/a/x", {}, bearer("key-2")).Status, 200);
  cr_assert_eq(Net.received("r1", "x-camphornotch-tenant")[0], "two");
}

Test(account, itemsOfASubmission_nameItsAccountAndScoringCallsNone) {
  AccountNet Net;
  cr_assert_eq(Net.submit("lot", "key-1").Status, 202);
  cr_assert(turnUntil(Net.Events,
                      [&] { return Net.Engine.HeadersById.contains("c0"); }));
  cr_assert_eq(Net.received("lot-0", "x-camphornotch-tenant")[0], "one");
  cr_assert(Net.received("lot-0", "authorization").empty());
  cr_assert(Net.received("c0", "x-camphornotch-tenant").empty());
}

// Guards against an account that reads, ends or collides with the submissions
// of another one.
Test(account, submissionOfAnotherAccount_looksUnknown) {
  AccountNet Net;
  Net.Engine.Hold = true;
  cr_assert_eq(Net.submit("lot", "key-1").Status, 202);
  cr_assert_eq(Net.ask("GET", "/-/lots/lot", {}, bearer("key-2")).Status, 200);
  cr_assert_eq(Net.ask("GET", "/-/lots/lot", {}, bearer("key-3")).Status, 404);
  cr_assert_eq(
      Net.ask("GET", "/-/items/lot?id=lot-0", {}, bearer("key-3")).Status, 404);
  cr_assert_eq(Net.ask("DELETE", "/-/lots/lot", {}, bearer("key-3")).Status,
               404);
  cr_assert_eq(
      Net.ask("GET", "/-/items/lot?id=lot-0", {}, bearer("key-1")).Status, 200);
  cr_assert_eq(Net.submit("lot", "key-3").Status, 202);
  cr_assert_eq(Net.ask("DELETE", "/-/lots/lot", {}, bearer("key-3")).Status,
               200);
  cr_assert_eq(
      Net.ask("GET", "/-/items/lot?id=lot-0", {}, bearer("key-1")).Status, 200);
}

Test(account, keyTakenAway_endsNoSubmission) {
  AccountNet Net;
  cr_assert_eq(Net.submit("lot", "key-1").Status, 202);
  Net.Store.put("keyed.op", "config",
                configText(2, R"([{"name":"one","api_keys":["key-2"]}])"));
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.ask("GET", "/-/lots/lot", {}, bearer("key-1")).Status == 401;
  }));
  cr_assert(turnUntil(Net.Events, [&] {
    const HttpResponse Answer =
        Net.ask("GET", "/-/lots/lot", {}, bearer("key-2"));
    return Answer.Status == 200 &&
           platform::Json::parse(Answer.Body)["results"].size() == 1;
  }));
}

// Guards against a caller without a key who takes the id of an account's
// submission, or names an account to the engine.
Test(account, submissionWithoutKey_collidesWithNoneAndNamesNoAccount) {
  AccountNet Net;
  Net.Engine.Hold = true;
  HttpCall Call = GatewayFixture::submission("one/lot", 1);
  Call.Target = Net.Tested->callerTarget();
  Call.Host = "h";
  Call.Path = "/open/x";
  Call.Reuse = false;
  platform::Json Body = platform::Json::parse(Call.Body);
  Body["items"][0]["headers"] = {{"X-Camphornotch-Tenant", "one"}};
  Call.Body = Body.dump();
  cr_assert_eq(answerTo(Net.Events, Net.Caller, std::move(Call)).Status, 202);
  cr_assert_eq(Net.ask("GET", "/-/lots/lot", {}, bearer("key-1")).Status, 404);
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.Engine.HeadersById.contains("one/lot-0");
  }));
  cr_assert(Net.received("one/lot-0", "x-camphornotch-tenant").empty());
}

// Guards against denying a key that a newer configuration holds while the store
// is out of reach.
Test(account, unknownKeyWhileTheStoreIsAway_gets503) {
  AccountNet Net;
  Net.Store.Busy = true;
  // Ends the read that waits for a record; the next one is refused.
  Net.Store.put("keyed.op", "version/m", R"({"model":"m","version":3})");
  cr_assert(turnUntil(Net.Events, [&] {
    const HttpResponse Answer = Net.ask("GET", "/a/x", {}, bearer("key-9"));
    return Answer.Status == 503 &&
           !findHeader(Answer.Headers, "retry-after").empty();
  }));
  cr_assert_eq(Net.ask("GET", "/a/x", {}, bearer("key-1")).Status, 200);
}

Test(account, accountsThatAreNoList_leaveTheOldConfigurationInForce) {
  AccountNet Net;
  Net.Store.put("keyed.op", "config", configText(2, R"("none")"));
  Net.Store.put("keyed.op", "config",
                configText(3, R"([{"name":"one","api_keys":["key-1"]},7,
                  {"api_keys":["key-4"]},{"name":"x","api_keys":[5]}])"));
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.ask("GET", "/a/x", {}, bearer("key-2")).Status == 401;
  }));
  cr_assert_eq(Net.ask("GET", "/a/x", {}, bearer("key-1")).Status, 200);
  cr_assert_eq(Net.ask("GET", "/a/x", {}, bearer("key-4")).Status, 401);
}
