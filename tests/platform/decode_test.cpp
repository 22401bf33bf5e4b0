/// @file
/// Tests of the platform's decoders: valid, missing, mistyped, oversized input.

#include "platform/caller_func.h"
#include "platform/engine_func.h"
#include "platform/operator_func.h"
#include "platform/store_codec_internal.h"

#include <criterion/criterion.h>

using namespace camphornotch;
using namespace camphornotch::platform;

namespace {

/// A configuration with one route of each kind, and parts that are invalid.
constexpr std::string_view ConfigText = R"({"version":7,"unknown":[1],
 "routes":[
  {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":1500,
   "target_latency_ms":200,"priority":2,"service":"s","attempts":4},
  {"name":"b","host":"h","path_prefix":"/b/","kind":"unsafe",
   "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
  {"name":"c","host":"h","path_prefix":"/c/","kind":"streaming",
   "resumable":true,"service":"s"},
  {"name":"d","host":"h","path_prefix":"/d/","kind":"rollout","service":"s",
   "retention_s":40,"result_due_ms":7500,"single_version":true},
  {"name":"e","host":"h","path_prefix":"/e/","kind":"teleport"},
  {"name":"f","host":5,"path_prefix":"/f/","kind":"safe"}, 17],
 "services":[{"name":"s","connection_limit":130,
   "engine":{"slots":8,"models":[{"name":"m"},5]}},{"connection_limit":3}],
 "limits":{"header_bytes":16384,"body_bytes":"much","idle_timeout_ms":15000}})";

/// @param Slots as JSON.
/// @return an endpoint's registration.
std::string endpointText(const std::string &State,
                         const std::string &Slots = "8") {
  return R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":)" +
         Slots + R"(,"state":")" + State +
         R"(","models":[{"name":"m","version":3},{"name":4}],"born":17})";
}

HttpRequest submissionRequest(std::string Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Authority = "h";
  Request.Path = "/d/1";
  Request.Body = std::move(Body);
  return Request;
}

} // namespace

Test(decodeRouteTable, invalidParts_areLeftOut) {
  const Result<RouteTable> Decoded = decodeRouteTable(ConfigText);
  cr_assert(Decoded.has_value());
  const RouteTable &Table = Decoded.value();
  cr_assert_eq(Table.Version, 7);
  cr_assert_eq(Table.Routes.size(), 4U);
  cr_assert(Table.Routes[0].Kind == RouteKind::Idempotent);
  cr_assert(Table.Routes[0].Objective == Millis{200});
  cr_assert_eq(Table.Routes[0].Attempts, 4);
  cr_assert(Table.Routes[1].Kind == RouteKind::AtMostOnce);
  cr_assert_eq(Table.Routes[1].Services.size(), 2U);
  cr_assert(Table.Routes[2].Resumable);
  cr_assert(Table.Routes[3].Retention == seconds(40));
  cr_assert(Table.Routes[3].SingleVersion);
  cr_assert_eq(Table.Services.size(), 1U);
  cr_assert_eq(Table.Services[0].Engine->Models.size(), 1U);
  cr_assert_eq(Table.Limits.HeaderBytes, 16384);
  cr_assert_eq(Table.Limits.BodyBytes, 0, "a mistyped limit is absent");
}

Test(decodeRouteTable, notAConfiguration_isAnError) {
  for (const char *Text : {"", "[]", "{}", "{\"version\":\"x\",\"routes\":[]}",
                           "{\"version\":1}", "{\"version\":1", "\xff"})
    cr_assert(decodeRouteTable(Text).has_error(), "%s", Text);
}

Test(decodeNamedVersion, missingOrMistyped_isAnError) {
  cr_assert_eq(decodeNamedVersion(R"({"model":"m","version":4})").value(), 4);
  cr_assert(decodeNamedVersion(R"({"version":"4"})").has_error());
  cr_assert(decodeNamedVersion(R"({"version":1e300})").has_error());
  cr_assert(decodeNamedVersion("{}").has_error());
}

Test(modelOfKey, otherKeys_haveNoModel) {
  cr_assert(modelOfKey("version/m") == "m");
  cr_assert(!modelOfKey("config").has_value());
}

Test(decodeEndpoint, completeRegistration_isDecoded) {
  const Result<EndpointRecord> Decoded =
      decodeEndpoint("i-1", endpointText("draining"));
  cr_assert(Decoded.has_value());
  cr_assert(Decoded.value().Draining);
  cr_assert_eq(Decoded.value().StartedAtMs, 17);
  cr_assert(Decoded.value().ListenAddress == (Address{"10.0.0.9", 8080}));
  cr_assert_eq(Decoded.value().Versions.size(), 1U);
}

Test(decodeEndpoint, versionOfTheSoftware_isKeptApartFromWeights) {
  Json Entry = Json::parse(endpointText("ready"));
  Entry["version"] = "v7";
  cr_expect_str_eq(decodeEndpoint("i", Entry.dump()).value().Software.c_str(),
                   "v7");
}

// Guards against use of an entry that no engine wrote.
Test(decodeEndpoint, memberMissingOrMistyped_isAnError) {
  const std::string Good = endpointText("ready");
  cr_assert(decodeEndpoint("i", Good).has_value());
  const Json Object = Json::parse(Good);
  for (const char *Name : {"service", "address", "zone", "slots", "state"}) {
    Json Changed = Object;
    Changed.erase(Name);
    cr_expect(decodeEndpoint("i", Changed.dump()).has_error(), "%s", Name);
  }
  for (const char *Name :
       {"service", "address", "zone", "slots", "state", "version", "models",
        "cold_remaining_ms", "sequence", "born"}) {
    Json Changed = Object;
    Changed[Name] = Json::object({{"a", 1}});
    cr_expect(decodeEndpoint("i", Changed.dump()).has_error(), "%s", Name);
    Changed[Name] = nullptr;
    cr_expect(decodeEndpoint("i", Changed.dump()).has_error(), "%s", Name);
  }
}

// Guards against processes that end on an entry of another writer.
Test(decodeEndpoint, deeplyNestedOrTooLarge_isAnErrorOrIgnored) {
  constexpr size_t Depth = size_t{120} << 10;
  const std::string Open(Depth, '[');
  const std::string Nested = Open + std::string(Depth, ']');
  cr_expect(decodeEndpoint("i", Open).has_error());
  cr_expect(decodeEndpoint("i", Nested).has_error());
  std::string Text = endpointText("ready");
  Text.pop_back();
  cr_expect(decodeEndpoint("i", Text + ",\"x\":" + Nested + "}").has_value());
  cr_expect(
      decodeEndpoint("i", Text + ",\"models\":" + Nested + "}").has_value());
  cr_expect(decodeEndpoint("i", Text + ",\"x\":1e400}").has_error());
  for (const char *Number :
       {"1e300", "-1e300", "99999999999999999999", "18446744073709551615"})
    cr_expect(decodeEndpoint("i", endpointText("ready", Number)).has_error(),
              "%s", Number);
  for (const char *Port :
       {"0", "65536", "99999", "4294967297", "-1", "1e3", ""}) {
    Json Changed = Json::parse(endpointText("ready"));
    Changed["address"] = std::string("10.0.0.9:") + Port;
    cr_expect(decodeEndpoint("i", Changed.dump()).has_error(), "%s", Port);
  }
}

Test(decodeEndpoint, unknownOrInvalidRegistration_isAnError) {
  cr_assert(decodeEndpoint("i", endpointText("asleep")).has_error());
  cr_assert(decodeEndpoint("i", endpointText("ready", "0")).has_error());
  cr_assert(decodeEndpoint("i", endpointText("ready", "\"8\"")).has_error());
  cr_assert(decodeEndpoint("i", endpointText("ready", "1e12")).has_error());
  cr_assert(
      decodeEndpoint("i", R"({"service":"s","state":"ready"})").has_error());
  cr_assert(decodeEndpoint("i", R"({"service":"s","state":"ready",
      "address":"nowhere","slots":1})")
                .has_error());
  cr_assert(decodeEndpoint("i", "not json").has_error());
}

Test(decodeEngineReport, missingSequence_isAnError) {
  const auto Good = decodeEngineReport(
      R"({"sequence":2,"busy":true,"running":12,"waiting":"x","models":7})");
  cr_assert(Good.has_value());
  cr_assert(Good.value().Busy);
  cr_assert_eq(Good.value().Running, 12);
  cr_assert_eq(Good.value().Waiting, 0);
  cr_assert(decodeEngineReport(R"({"busy":true})").has_error());
  cr_assert(decodeEngineReport("").has_error());
}

// Guards against a report that is lost because of one entry or field that a
// newer engine writes differently.
Test(decodeEngineReport, malformedRuns_areLeftOut) {
  const auto Good = decodeEngineReport(R"({"sequence":2,"runs":[
      ["i-1",340,12,0],["i-2",5],"i-3",["i-4",1,"7",0],[8,20,3],["i-5",1,-4],
      ["i-6",null,5,{}],[null,1,2,0],["i-7",1,99999999999999999999]],
      "kv_cache_used":300,"kv_cache_total":"much"})");
  cr_assert(Good.has_value());
  cr_assert_eq(Good.value().Runs.size(), 3);
  cr_assert(Good.value().Runs[0].Id == "i-1");
  cr_assert_eq(Good.value().Runs[0].Events, 12);
  cr_assert(Good.value().Runs[1].Id == "8");
  cr_assert_eq(Good.value().Runs[2].Events, 5);
  cr_assert_eq(Good.value().KvUsed, 300);
  cr_assert_eq(Good.value().KvTotal, 0);
  const auto NoList = decodeEngineReport(R"({"sequence":2,"runs":{"a":1}})");
  cr_assert(NoList.has_value());
  cr_assert(NoList.value().Runs.empty());
}

Test(orderCall, loadOrder_hasIssuerVersionAndSequence) {
  const HttpCall Call =
      orderCall(Address{"10.0.0.9", 80}, EndpointId{"i-1"},
                LoadOrder{"m", 5, 7}, OrderIssuer{"loader-1", 3});
  cr_assert_eq(Call.Path, "/-/order");
  cr_assert(findHeader(Call.Headers, "x-camphornotch-expected-instance") ==
            "i-1");
  const Json Expected = {{"operation", "version"},
                         {"model", "m"},
                         {"version", 5},
                         {"switch_mode", "retain"},
                         {"holder", "loader-1"},
                         {"fencing_token", 3},
                         {"expect", 7}};
  cr_assert(Json::parse(Call.Body) == Expected);
}

Test(decodeEngineEvent, versionLine_isDecoded) {
  const auto Decoded = decodeEngineEvent(
      "x-camphornotch-weight-versions: 9\nid: 4\ndata: a\ndata: b");
  cr_assert(Decoded.has_value());
  cr_assert_eq(Decoded.value().Id, 4);
  cr_assert_eq(Decoded.value().Version, 9);
  cr_assert(Decoded.value().Data == "a\nb");
  cr_assert(decodeEngineEvent("id: 4").has_error());
}

Test(decodeEngineAnswer, headersAndStatus_areDecoded) {
  HttpResponse Response;
  Response.Status = 421;
  cr_assert(decodeEngineAnswer(Response).NotRun);
  Response.Status = 503;
  cr_assert(!decodeEngineAnswer(Response).NotRun);
  Response.Headers = {{"X-Camphornotch-Not-Executed", "1"},
                      {"X-Camphornotch-Request-Id", "r"},
                      {"Content-Encoding", "gzip"}};
  cr_assert(decodeEngineAnswer(Response).NotRun);
  cr_assert(decodeEngineAnswer(Response).RequestId == "r");
  cr_assert(decodeEngineAnswer(Response).HasContentEncoding);
}

Test(encodeEngineRequest, connectionHeaders_areLeftOut) {
  EngineRequest Request;
  Request.Instance = EndpointId{"i-1"};
  Request.RequestId = "r";
  Request.Host = "h";
  Request.TimeLeft = Millis{900};
  Request.Headers = {{"Connection", "X-Own, close"},
                     {"X-Own", "1"},
                     {"X-Kept", "2"},
                     {"Transfer-Encoding", "chunked"},
                     {"X-Camphornotch-Request-Deadline", "1200"},
                     {"X-Camphornotch-Request-Id", "forged"}};
  const HttpCall Call = encodeEngineRequest(Request);
  cr_assert(findHeader(Call.Headers, "x-own").empty());
  cr_assert(findHeader(Call.Headers, "transfer-encoding").empty());
  cr_assert(findHeader(Call.Headers, "x-kept") == "2");
  cr_assert(findHeader(Call.Headers, "x-camphornotch-request-id") == "r");
  cr_assert(findHeader(Call.Headers, "x-camphornotch-request-deadline") ==
            "900");
  cr_assert(findHeader(Call.Headers, "x-camphornotch-expected-instance") ==
            "i-1");
  cr_assert(Call.Host == "h");
}

Test(encodeEngineRequest, resumedRequest_sendsLastEventIdOnce) {
  EngineRequest Request;
  Request.ReceivedEvents = 7;
  Request.Headers = {{"Last-Event-Id", "2"}};
  const HttpCall Call = encodeEngineRequest(Request);
  size_t Count = 0;
  for (const HttpHeader &Header : Call.Headers)
    Count += Header.Name == "last-event-id" || Header.Name == "Last-Event-Id";
  cr_assert_eq(Count, 1U);
  cr_assert(findHeader(Call.Headers, "last-event-id") == "7");
}

Test(decodeSubmission, completeSubmission_isDecoded) {
  const auto Decoded = decodeSubmission(
      "s1", submissionRequest(R"({"step":7,"model":"m","min_version":6,
     "desired_count":12,"items":[{"id":"e","path":"/d/3","headers":{
     "X-Camphornotch-Length-Hint":"40"},"body":"aGk=","tokens":940,
     "group":"g","scoring_call":{"id":"c","host":"k","path":"/p/",
     "body":"aGk="}}]})"));
  cr_assert(Decoded.has_value());
  const wire::SubmissionRecord &Record = Decoded.value();
  cr_assert_eq(Record.MinVersion, 6);
  cr_assert_eq(Record.WantedGroups, 12);
  cr_assert_eq(Record.Items.size(), 1U);
  cr_assert(Record.Items[0].Body == "hi");
  cr_assert_eq(Record.Items[0].LengthHint, 40);
  cr_assert(Record.Items[0].__isset.Scoring);
}

// Guards against a body within the limit that takes twenty times its size when
// it is parsed, and against counting the commas of texts as values.
Test(decodeSubmission, farTooManyValues_areRefusedBeforeTheyAreParsed) {
  std::string Values = R"({"items":[)";
  for (int Count = 0; Count < 300'000; ++Count)
    Values += "[],";
  const auto Refused =
      decodeSubmission("s", submissionRequest(Values + "[]]}"));
  cr_assert_neq(Refused.error().Message.find("too many values"),
                std::string::npos);
  const std::string Text = R"({"items":[{"id":"a","path":"/p","group":")" +
                           std::string(400'000, ',') + R"("}]})";
  cr_assert(decodeSubmission("s", submissionRequest(Text)).has_value());
}

Test(decodeSubmission, invalidSubmission_isAnErrorWithAMessage) {
  const auto Fails = [](const std::string &Body) {
    const auto Decoded = decodeSubmission("s", submissionRequest(Body));
    return Decoded.has_error() && !Decoded.error().Message.empty();
  };
  cr_assert(Fails(""));
  cr_assert(Fails("[]"));
  cr_assert(Fails("{}"));
  cr_assert(Fails(R"({"items":[]})"));
  cr_assert(Fails(R"({"items":[7]})"));
  cr_assert(Fails(R"({"items":[{"id":"e"}]})"));
  cr_assert(Fails(R"({"items":[{"id":"","path":"/"}]})"));
  cr_assert(Fails(R"({"items":[{"id":"e","path":"/","body":"%%"}]})"));
  cr_assert(Fails(R"({"items":[{"id":"e","path":"/","headers":[1]}]})"));
  cr_assert(Fails(R"({"items":[{"id":"e","path":"/","headers":{"a":1}}]})"));
  cr_assert(Fails(R"({"items":[{"id":"e","path":"/",
                  "scoring_call":{"id":"c"}}]})"));
  cr_assert(decodeSubmission(
                "", submissionRequest(R"({"items":[{"id":"e","path":"/"}]})"))
                .has_error(),
            "a submission needs an id");
}

Test(decodeCallerRequest, submissionCalls_areDistinguished) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/-/lots/s1";
  Request.Query = "after=12";
  Request.Headers = {{"x-camphornotch-wait-timeout", "90000"}};
  const auto Decoded = std::get<ResultsRead>(decodeCallerRequest(Request));
  cr_assert(Decoded.Id.Value == "s1");
  cr_assert_eq(Decoded.FirstIndex, 12);
  cr_assert(Decoded.Wait == seconds(1));
  Request.Method = "DELETE";
  cr_assert(std::holds_alternative<SubmissionEndRequest>(
      decodeCallerRequest(Request)));
  Request.Path = "/-/items/s1";
  Request.Query = "id=e";
  cr_assert(
      std::get<ItemBodyRead>(decodeCallerRequest(Request)).Key.Item.Value ==
      "e");
  Request.Path = "/d/1";
  Request.Headers = {{"x-camphornotch-request-deadline", "-5"}};
  cr_assert(std::get<RoutedRequest>(decodeCallerRequest(Request)).TimeLeft ==
            Never);
}

Test(decodeCallerRequest, negativePosition_readsFromTheStart) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/-/lots/s1";
  Request.Query = "after=-9";
  cr_assert_eq(std::get<ResultsRead>(decodeCallerRequest(Request)).FirstIndex,
               0);
}

Test(encodeResults, nextPageToken_followsTheLastResult) {
  SubmissionState State;
  State.Record.Items.resize(3);
  State.Results.resize(2);
  State.Results[0].Item = "a";
  State.Results[0].Completed = true;
  State.Results[0].Text = "one\ntwo";
  State.Results[0].Versions = {6, 7};
  State.Results[0].Score = "r";
  State.Results[1].Item = "b";
  const Json All = Json::parse(encodeResults(State, 0));
  cr_assert_eq(All["total"], 3);
  cr_assert_eq(All["next_page_token"], 2);
  cr_assert(All["results"][0]["state"] == "completed");
  cr_assert(All["results"][0]["text"] == "one\ntwo");
  cr_assert(All["results"][1]["state"] == "dead");
  cr_assert(!All["results"][1].contains("score"));
  const Json Rest = Json::parse(encodeResults(State, 2));
  cr_assert_eq(Rest["next_page_token"], 2);
  cr_assert(Rest["results"].empty());
}

Test(encodeResults, longTexts_areSplitBelowTheLimit) {
  SubmissionState State;
  State.Record.Items.resize(10);
  State.Results.resize(10);
  for (auto &Each : State.Results)
    Each.Text.assign(300'000, 'x');
  const std::string First = encodeResults(State, 0);
  cr_assert(First.size() <= size_t{1} << 20);
  cr_assert(!Json::parse(First)["results"].empty());
}

Test(storeCodec, brokenBodies_areErrors) {
  cr_assert(decodeReadPage(0, "short").has_error());
  cr_assert(decodeReadPage(0, std::string(18, '\0')).has_error());
  cr_assert(decodeReadPage(0, std::string(16, '\0') +
                                  std::string("\xff\xff\xff\xff", 4))
                .has_error());
  cr_assert(decodeKeyedRecord("", 0).has_error());
  cr_assert(decodeKeyedRecord("\x05"
                              "ab",
                              0)
                .has_error());
  cr_assert(decodeKeyedPage("{}").has_error());
  cr_assert(decodeGroupShare(R"({"generation":"x","parts":[]})").has_error());
  const auto Share = decodeGroupShare(
      R"({"generation":3,"parts":[["t",1,0],["t"],[1,2],["t",2]]})");
  cr_assert_eq(Share.value().Partitions.size(), 2U);
}

Test(storeCodec, records_roundTrip) {
  const std::vector<std::string> Records{"ab", "", "c"};
  const auto Page =
      decodeReadPage(5, std::string(16, '\0') + encodeRecords(Records));
  cr_assert(Page.has_value());
  cr_assert(Page.value().Records == Records);
}

Test(decodeOwners, rowsWithoutMember_areLeftOut) {
  for (const char *List : {"owners", "parts"}) {
    const auto Decoded = decodeOwners(
        std::string("{\"generation\":3,\"") + List +
        R"(":[["t",1,"m@10.0.0.1:7",9],["t",2,"",0],["t",3,null,0],["t",4],
           [5,"t","m",0],7]})");
    cr_assert(Decoded.has_value());
    cr_assert_eq(Decoded.value().size(), 1U);
    cr_assert(Decoded.value()[0].Partition == (PartitionId{"t", 1}));
    cr_assert(Decoded.value()[0].Member == "m@10.0.0.1:7");
  }
}

Test(decodeOwners, missingList_isAnErrorAndAnEmptyOneHasNoOwners) {
  for (const char *Text : {"", "[]", "{}", R"({"owners":7})"})
    cr_assert(decodeOwners(Text).has_error(), "%s", Text);
  cr_assert(decodeOwners(R"({"owners":[]})").value().empty());
}

Test(decodeEngineAnswer, leavingHeader_hasOneValueWithAMeaning) {
  const auto MarkOf = [](const HttpHeaders &Headers) {
    HttpResponse Response;
    Response.Headers = Headers;
    return decodeEngineAnswer(Response).Leaving;
  };
  cr_assert(MarkOf({}) == LeavingMark::Absent);
  cr_assert(MarkOf({{"Server-Leaving", "1"}}) == LeavingMark::Leaves);
  cr_assert(MarkOf({{"server-leaving", "1"}}) == LeavingMark::Leaves);
  for (const char *Value : {"", "0", "true", "11", "1 1", "yes"})
    cr_assert(MarkOf({{"Server-Leaving", Value}}) == LeavingMark::Unknown, "%s",
              Value);
}

Test(forwardedAnswerHeaders, leavingHeader_isPassedOn) {
  HttpResponse Response;
  Response.Headers = {{"Server-Leaving", "1"}};
  cr_assert_eq(forwardedAnswerHeaders(Response).size(), 1U);
}
