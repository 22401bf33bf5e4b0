/// @file
/// Tests of the filter chain: accepted and refused requests.

#include "core/filters/caller_request_func.h"
#include "core/filters/filter_chain_base.h"
#include "rules/parse_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Rules with a non-idempotent service and two limited callers.
constexpr std::string_view RuleText =
    "[services]\n"
    "book = service=ledger method=POST path=/bookings* non_idempotent=yes "
    "outage=refuse deadline_ms=500 ; asked by Eilidh\n"
    "[limits]\n"
    "one = max_in_flight=1 rate_per_second=1000 max_wait_ms=10 ; asked by Ann\n"
    "slow = max_in_flight=9 rate_per_second=2 max_wait_ms=10 ; asked by Ann\n";

/// A filter chain with its rules and quarantined digests.
struct ChainFixture {
  RuleSet Rules = parseRules("test", RuleText).value();
  std::map<int64_t, QuarantineState> Quarantined;
  FilterChain Chain;
  Millis Now{1000};

  std::optional<Refusal> apply(RequestContext &Context) {
    const FilterEnvironment Environment{this->Rules, this->Quarantined,
                                        this->Now,   Millis{5000},
                                        Millis{900}, 1000,
                                        10,          1,
                                        "fresh-1"};
    return this->Chain.apply(Context, Environment);
  }
};

/// @return a POST request.
RequestContext post(std::string_view Path, std::string_view Body,
                    std::string_view Caller = "desk") {
  RequestContext Context;
  Context.Method = "POST";
  Context.Path = Path;
  Context.Body = Body;
  Context.CallerHeader = Caller;
  Context.Peer = "10.0.0.9";
  return Context;
}

/// The body of a valid completion request.
constexpr std::string_view Completion =
    R"({"model":"m","prompt":"p","max_tokens":3,"stream":true})";

} // namespace

Test(filterChain, validCompletion_isAcceptedAndParsed) {
  ChainFixture Fixture;
  RequestContext Context = post("/v1/completions", Completion);
  cr_assert_not(Fixture.apply(Context).has_value());
  const auto &Wanted = std::get<CompletionRequest>(Context.Request);
  cr_assert_eq(Wanted.Model, "m");
  cr_assert(Wanted.Stream);
  cr_assert_eq(Wanted.MaxTokens, 3);
  cr_assert_eq(Context.Caller, "desk");
  cr_assert_eq(Context.RequestId, "fresh-1");
  cr_assert_eq(Context.Deadline.Count, 900);
}

Test(filterChain, callerWithoutUsableName_isNamedByItsAddress) {
  ChainFixture Fixture;
  RequestContext Context = post("/v1/completions", Completion, "a b\"");
  Fixture.apply(Context);
  cr_assert_eq(Context.Caller, "10.0.0.9");
}

Test(filterChain, badInput_isRefusedAsNotRun) {
  ChainFixture Fixture;
  for (const std::string_view Body :
       {"", "{", "[]", "{}", R"({"model":1,"prompt":"p"})",
        R"({"model":"m","prompt":"p","max_tokens":-1})",
        R"({"model":"m","prompt":"p","max_tokens":99999999999999999999})"}) {
    RequestContext Context = post("/v1/completions", Body);
    const auto Refused = Fixture.apply(Context);
    cr_assert(Refused.has_value());
    cr_assert_eq(Refused->Reason, RefusalReason::BadRequest);
    cr_assert_eq(Refused->State, RunState::NotRun);
  }
}

Test(filterChain, badGroup_isNamedByItsIndex) {
  ChainFixture Fixture;
  RequestContext Context =
      post("/v1/steps",
           R"({"trainer":"t","step":1,"model":"m","groups":[
        {"group":"a","samples":1,"prompt":"p","max_tokens":1},
        {"group":"b","samples":0,"prompt":"p","max_tokens":1}]})");
  const auto Refused = Fixture.apply(Context);
  cr_assert(Refused.has_value());
  cr_assert_neq(Refused->Detail.find("groups[1]"), std::string::npos);
}

Test(filterChain, overLongBody_isRefused) {
  ChainFixture Fixture;
  const std::string Body(1001, 'x');
  RequestContext Context = post("/v1/completions", Body);
  cr_assert_eq(Fixture.apply(Context)->Reason, RefusalReason::TooLarge);
}

Test(filterChain, unknownPath_isRefused) {
  ChainFixture Fixture;
  RequestContext Context = post("/v2/else", "{}");
  cr_assert_eq(Fixture.apply(Context)->Reason, RefusalReason::UnknownPath);
}

Test(filterChain, nonIdempotentCall_needsAKey) {
  ChainFixture Fixture;
  RequestContext Bare = post("/services/ledger/bookings", "x");
  cr_assert_eq(Fixture.apply(Bare)->Reason, RefusalReason::BadRequest);
  RequestContext Keyed = post("/services/ledger/bookings", "x");
  Keyed.KeyHeader = "k";
  cr_assert_not(Fixture.apply(Keyed).has_value());
  cr_assert(Keyed.NonIdempotent);
  cr_assert_eq(Keyed.Deadline.Count, 500);
}

Test(filterChain, otherServiceCall_isIdempotent) {
  ChainFixture Fixture;
  RequestContext Context = post("/services/ledger/score?a=b", "x");
  Context.Path = "/services/ledger/score";
  Context.Query = "a=b";
  cr_assert_not(Fixture.apply(Context).has_value());
  cr_assert_not(Context.NonIdempotent);
  cr_assert_eq(std::get<ServiceRequest>(Context.Request).Path, "/score?a=b");
}

Test(filterChain, quarantinedDigest_isRefusedUntilItEnds) {
  ChainFixture Fixture;
  RequestContext Context = post("/v1/completions", Completion);
  cr_assert_not(Fixture.apply(Context).has_value());
  Fixture.Quarantined[Context.Digest].UntilWallMs = 5001;
  cr_assert_eq(Fixture.apply(Context)->Reason, RefusalReason::Quarantined);
  Fixture.Quarantined[Context.Digest].UntilWallMs = 5000;
  cr_assert_not(Fixture.apply(Context).has_value());
}

Test(filterChain, callerAtItsLimit_isRefusedUntilARelease) {
  ChainFixture Fixture;
  RequestContext First = post("/v1/completions", Completion, "one");
  RequestContext Second = post("/v1/completions", Completion, "one");
  RequestContext Other = post("/v1/completions", Completion, "two");
  cr_assert_not(Fixture.apply(First).has_value());
  cr_assert_eq(Fixture.apply(Second)->Reason, RefusalReason::QueueFull);
  cr_assert_not(Fixture.apply(Other).has_value());
  Fixture.Chain.release(First);
  cr_assert_not(Fixture.apply(Second).has_value());
}

Test(filterChain, callerOverItsRate_isRefusedWithRetryAfter) {
  ChainFixture Fixture;
  for (int Index = 0; Index < 2; ++Index) {
    RequestContext Context = post("/v1/completions", Completion, "slow");
    cr_assert_not(Fixture.apply(Context).has_value());
  }
  RequestContext Over = post("/v1/completions", Completion, "slow");
  const auto Refused = Fixture.apply(Over);
  cr_assert_eq(Refused->Reason, RefusalReason::RateLimited);
  cr_assert_eq(Refused->RetryAfterMs, 500);
  Fixture.Now += Millis{500};
  cr_assert_not(Fixture.apply(Over).has_value());
}
