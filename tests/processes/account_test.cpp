/// @file
/// Real gateways with client accounts: submissions whose partition another
/// gateway owns.

#include "process_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

constexpr const char *ConfigText = R"({"version":1,"routes":[
  {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
   "timeout_ms":3000,"attempts":2,"public":true},
  {"name":"r","host":"h","path_prefix":"/roll/","kind":"rollout","service":"s",
   "timeout_ms":10000,"attempts":3},
  {"name":"c","host":"h","path_prefix":"/score/","kind":"safe","service":"s",
   "timeout_ms":3000,"attempts":2,"public":true}],
 "services":[{"name":"s"}],"limits":{},
 "tenants":[{"name":"one","api_keys":["key-1","key-2"]},
            {"name":"two","api_keys":["key-3"]}]})";

/// Two gateways and an engine.
struct AccountFixture {
  ProcessFixture Net{2, ConfigText};
  FakeEngine Engine{this->Net.Events};

  AccountFixture() {
    this->Net.add("i-1", this->Engine);
    for (size_t At = 0; At < this->Net.Gateways.size(); ++At)
      cr_assert(turnUntil(this->Net.Events, [&] {
        return this->Net.ask(At, "/a/x").Status == 200;
      }));
  }

  /// @return the answer to a call with a key.
  HttpResponse send(size_t At, HttpCall Call, const std::string &Key) {
    Call.Target = this->Net.Gateways[At]->front();
    Call.Host = "h";
    Call.Reuse = false;
    Call.Timeout = seconds(5);
    Call.Headers.push_back({"Authorization", "Bearer " + Key});
    return answerTo(this->Net.Events, this->Net.Caller, std::move(Call));
  }

  HttpResponse read(size_t At, const std::string &Id, const std::string &Key) {
    HttpCall Call;
    Call.Path = "/-/lots/" + Id;
    return this->send(At, std::move(Call), Key);
  }

  /// Reads at a gateway until there is a result; a gateway without an owner for
  /// the partition yet answers 503.
  /// @return whether there was one.
  bool hasResult(size_t At, const std::string &Id, const std::string &Key) {
    return turnUntil(this->Net.Events, [&] {
      const HttpResponse Answer = this->read(At, Id, Key);
      return Answer.Status == 200 &&
             platform::Json::parse(Answer.Body)["results"].size() == 1;
    });
  }
};

} // namespace

// Guards against a call to a partition's owner that loses its account on the
// way, so that its own submission looks unknown or another one's known.
Test(accountProcesses, submissionsOfBothOwners_areReadByTheirAccountAlone) {
  AccountFixture Fix;
  constexpr int Submissions = 6;
  for (int Number = 0; Number < Submissions; ++Number) {
    const std::string Id = "lot-" + std::to_string(Number);
    cr_assert_eq(Fix.send(static_cast<size_t>(Number % 2),
                          GatewayFixture::submission(Id, 1), "key-1")
                     .Status,
                 202);
    for (size_t At = 0; At < 2; ++At) {
      cr_assert(Fix.hasResult(At, Id, "key-2"));
      cr_assert_eq(Fix.read(At, Id, "key-3").Status, 404);
      cr_assert_eq(Fix.read(At, Id, "key-9").Status, 401);
    }
  }
  for (const auto &[Id, Headers] : Fix.Engine.HeadersById) {
    cr_assert(findHeader(Headers, "authorization").empty());
    if (Id.starts_with("lot-"))
      cr_assert_eq(findHeader(Headers, "x-camphornotch-tenant"), "one");
  }
}
