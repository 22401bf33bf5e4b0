/// @file
/// Gateways' tasks on the loopback, before a stand-in of the store and engines
/// that the test commands.

#ifndef CAMPHORNOTCH_TESTS_GATEWAY_TASKS_GATEWAY_FIXTURE_H
#define CAMPHORNOTCH_TESTS_GATEWAY_TASKS_GATEWAY_FIXTURE_H

#include "base/clock_func.h"
#include "gateway/batch_task_base.h"
#include "platform/json_internal.h"
#include "standins/store/store_server.h"
#include "tests/net/net_fixture.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphornotch {

/// An engine and a scoring service behind one address.
class FakeEngine {
public:
  /// @param Events the loop.
  explicit FakeEngine(Loop &Events) {
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &One) { this->take(One); });
    this->Server = std::move(Made.value());
  }

  /// @return where it listens.
  Address where() const { return Address{"127.0.0.1", this->Server->port()}; }

  /// Sends all held streams on to their end.
  void release() {
    this->Hold = false;
    for (const auto &One : this->Held)
      this->finish(One, this->HeldFrom[One.get()]);
    this->Held.clear();
  }

  /// Breaks all held streams off.
  void breakHeld() {
    for (const auto &One : this->Held)
      One->abort();
    this->Held.clear();
  }

  /// Events of each item.
  int64_t EventCount = 4;
  /// The version that makes events.
  int64_t Version = 3;
  /// Whether streams stop after two events until release().
  bool Hold = false;
  /// An event that the next stream leaves out; 0: none.
  int64_t LeftOut = 0;
  /// Items that are answered by an extra answer of status 500 to another
  /// request.
  int ExtraFailures = 0;
  /// Scoring calls that are broken off before those that are answered.
  int ScoreBreaks = 0;
  /// Scoring calls that are answered by status 500 after those.
  int64_t ScoreFailures = 0;
  /// Status of the answers to scoring calls.
  int ScoreStatus = 200;
  /// Runs by item, with the events that the caller already had.
  std::map<std::string, std::vector<int64_t>> Runs;
  /// Streams that wait.
  std::vector<std::shared_ptr<HttpExchange>> Held;

private:
  /// @param One a request.
  void take(const std::shared_ptr<HttpExchange> &One) {
    const HttpRequest &Request = One->request();
    const std::string Id(
        findHeader(Request.Headers, "x-camphornotch-request-id"));
    HttpResponse Head;
    Head.Headers = {{"X-Camphornotch-Request-Id", Id},
                    {"X-Camphornotch-Response-Signature", "receipt-" + Id}};
    if (Request.Path.starts_with("/score/")) {
      if (this->ScoreBreaks > 0) {
        --this->ScoreBreaks;
        One->start(Head);
        One->abort();
        return;
      }
      Head.Status = this->ScoreFailures-- > 0 ? 500 : this->ScoreStatus;
      One->answer(Head);
      return;
    }
    const std::string Last(findHeader(Request.Headers, "last-event-id"));
    const int64_t Had = Last.empty() ? 0 : std::stoll(Last);
    this->Runs[Id].push_back(Had);
    if (this->ExtraFailures > 0) {
      --this->ExtraFailures;
      Head.Status = 500;
      Head.Headers[0].Value = "another-request";
      One->answer(Head);
      return;
    }
    Head.ContentType = "text/event-stream";
    // An engine that has no event left to make names no version.
    if (Had < this->EventCount)
      Head.Headers.push_back(
          {"X-Camphornotch-Weight-Versions", std::to_string(this->Version)});
    One->start(Head);
    if (!this->Hold) {
      this->finish(One, Had);
      return;
    }
    constexpr int64_t HeldAfter = 2;
    for (int64_t Event = Had + 1; Event <= Had + HeldAfter; ++Event)
      this->writeEvent(One, Event);
    this->HeldFrom[One.get()] = Had + HeldAfter;
    this->Held.push_back(One);
  }

  /// @param One a stream.
  /// @param Event the event's number.
  static void writeEvent(const std::shared_ptr<HttpExchange> &One,
                         int64_t Event) {
    One->write("id: " + std::to_string(Event) + "\ndata: e" +
               std::to_string(Event) + "\n\n");
  }

  /// @param One a stream.
  /// @param Had events sent.
  void finish(const std::shared_ptr<HttpExchange> &One, int64_t Had) {
    const int64_t Without = std::exchange(this->LeftOut, 0);
    for (int64_t Event = Had + 1; Event <= this->EventCount; ++Event)
      if (Event != Without)
        FakeEngine::writeEvent(One, Event);
    One->finish();
  }

  /// Events sent on streams that wait.
  std::map<HttpExchange *, int64_t> HeldFrom;
  /// The server.
  std::unique_ptr<HttpServer> Server;
};

/// One gateway's tasks, with a server for callers.
class FakeGateway {
public:
  /// @param Events the loop.
  /// @param Store where the store listens.
  /// @param Name the host's name.
  /// @param Engine the engine.
  /// @param Partitions partitions of each topic.
  FakeGateway(Loop &Events, HttpTarget Store, const std::string &Name,
              const FakeEngine &Engine, int64_t Partitions)
      : Http(Events), Client(Events, Http, std::move(Store)),
        Pool(Geography{"dc", {}}), Forward(Events, Http, Pool, Counts) {
    this->Settings.Common.Host = Name;
    this->Settings.Partitions = Partitions;
    this->Settings.RecordBytes = 4096;
    this->Settings.SubmissionLifetime = seconds(60);
    this->Settings.EndpointChoice = "expected_time";
    this->Settings.ItemOrder = "wanted_groups";
    this->setRoutes();
    this->setEngine(Engine);
    this->Batches = std::make_unique<BatchTask>(
        BatchTaskParts{Events, Http, Client, Pool, Forward, Counts},
        this->Settings, [this]() -> const RouteTable & { return this->Routes; },
        [](const std::string &, int64_t) {});
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &One) { this->take(One); });
    this->Server = std::move(Made.value());
    auto Asked =
        HttpServer::listen(Events, HttpServerConfig{},
                           [this](const std::shared_ptr<HttpExchange> &One) {
                             this->answer(One);
                           });
    this->ForPeers = std::move(Asked.value());
  }

  /// Joins the group.
  void begin() {
    this->Batches->begin(Address{"127.0.0.1", this->ForPeers->port()});
  }

  /// @return where callers connect to.
  HttpTarget target() const {
    return HttpTarget{"127.0.0.1", this->Server->port()};
  }

  /// @return where other gateways connect to.
  HttpTarget peers() const {
    return HttpTarget{"127.0.0.1", this->ForPeers->port()};
  }

  /// Stops answering other gateways, as a dead process does.
  void closeToPeers() { this->ForPeers.reset(); }

  /// @return reads of partitions that were answered.
  double partitionReads() {
    return this->Counts
        .counter("partition_reads_total", "Reads of partitions by outcome.",
                 {{"outcome", "answered"}})
        .Value();
  }

  /// @return calls to owners that got no answer.
  double silentOwners() {
    return this->Counts
        .counter("owner_calls_total",
                 "Calls to owners of partitions by outcome.",
                 {{"outcome", "silent"}})
        .Value();
  }

  /// The settings.
  GatewaySettings Settings;
  /// The routes.
  RouteTable Routes;
  /// Counters.
  Metrics Counts;
  /// Sends everything.
  HttpClient Http;
  /// The store.
  platform::StoreClient Client;
  /// The endpoints.
  EndpointPool Pool;
  /// Scoring calls.
  ForwardTask Forward;
  /// Batch submissions.
  std::unique_ptr<BatchTask> Batches;
  /// Calls of peers so far.
  size_t PeerCalls = 0;

private:
  /// One route for submissions, one for scoring calls.
  void setRoutes() {
    Route Rollout;
    Rollout.Host = "h";
    Rollout.Prefix = "/roll/";
    Rollout.Kind = RouteKind::Rollout;
    Rollout.Attempts = 3;
    Rollout.Services = {{"llm", 1}};
    Route Score;
    Score.Host = "h";
    Score.Prefix = "/score/";
    Score.Attempts = 2;
    Score.Services = {{"desk", 1}};
    this->Routes.Version = 1;
    this->Routes.Routes = {Rollout, Score};
  }

  /// @param Engine serves both services.
  void setEngine(const FakeEngine &Engine) {
    for (const char *Service : {"llm", "desk"}) {
      EndpointRecord Record;
      Record.Id = EndpointId{std::string("i-") + Service};
      Record.Service = Service;
      Record.DataCentre = "dc";
      Record.Slots = 8;
      Record.ListenAddress = Engine.where();
      Record.Versions["m"] = Engine.Version;
      this->Pool.put(std::move(Record));
    }
  }

  /// @param One a peer's request.
  void answer(const std::shared_ptr<HttpExchange> &One) {
    ++this->PeerCalls;
    this->Batches->onPeer(One);
  }

  /// @param One a caller's request.
  void take(const std::shared_ptr<HttpExchange> &One) {
    const platform::CallerAsk Ask =
        platform::decodeCallerRequest(One->request());
    if (const auto *Routed = std::get_if<platform::RoutedRequest>(&Ask))
      this->Batches->submit(One, *Routed);
    else if (const auto *Read = std::get_if<platform::ResultsRead>(&Ask))
      this->Batches->readResults(One, *Read);
    else if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
      this->Batches->readBody(One, *Body);
    else
      this->Batches->endSubmission(One,
                                   std::get<platform::SubmissionEnding>(Ask));
  }

  /// For callers.
  std::unique_ptr<HttpServer> Server;
  /// For other gateways.
  std::unique_ptr<HttpServer> ForPeers;
};

/// Two gateways, one engine, one store, and a caller.
struct GatewayFixture {
  /// Partitions of each topic.
  int64_t Partitions;
  /// The loop.
  Loop Events;
  /// The store.
  standin::StandinStoreServer Store{this->Events, this->Partitions};
  /// The engine.
  FakeEngine Engine{this->Events};
  /// The gateways.
  std::vector<std::unique_ptr<FakeGateway>> Gateways;
  /// The caller's client.
  HttpClient Caller{this->Events};

  /// @param Count how many gateways.
  /// @param Partitions partitions of each topic.
  explicit GatewayFixture(int Count = 2, int64_t Partitions = 2)
      : Partitions(Partitions) {
    for (int Index = 0; Index < Count; ++Index)
      this->add("gateway-" + std::to_string(Index));
  }

  /// Starts a gateway.
  /// @param Name its name.
  void add(const std::string &Name) {
    this->Gateways.push_back(
        std::make_unique<FakeGateway>(this->Events, this->Store.target(), Name,
                                      this->Engine, this->Partitions));
    this->Gateways.back()->begin();
  }

  /// Sends a call and waits for its answer.
  /// @param At the gateway's index.
  /// @param Call the call.
  /// @return the answer; status 0: none.
  HttpResponse ask(size_t At, HttpCall Call) {
    Call.Target = this->Gateways[At]->target();
    Call.Host = "h";
    Call.Reuse = false;
    return answerTo(this->Events, this->Caller, std::move(Call));
  }

  /// @param Id the submission's id.
  /// @param Items its items.
  /// @return the call that submits it.
  static HttpCall submission(const std::string &Id, int Items) {
    platform::Json Body;
    Body["model"] = "m";
    Body["min_version"] = 3;
    for (int Index = 0; Index < Items; ++Index) {
      platform::Json Item;
      Item["id"] = Id + "-" + std::to_string(Index);
      Item["path"] = "/roll/x";
      Item["body"] = "aGk=";
      Item["group"] = "g";
      Item["scoring_call"] = {{"id", "c" + std::to_string(Index)},
                              {"host", "h"},
                              {"path", "/score/x"},
                              {"body", ""}};
      Body["items"].push_back(Item);
    }
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = "/roll/1";
    Call.Headers = {{"X-Camphornotch-Request-Id", Id}};
    Call.Body = Body.dump();
    return Call;
  }

  /// Reads a submission until it has a number of results.
  /// @param At the gateway's index.
  /// @param Id the submission.
  /// @param Count how many results.
  /// @return the results.
  platform::Json results(size_t At, const std::string &Id, size_t Count) {
    constexpr int MostReads = 40;
    platform::Json Read;
    for (int Times = 0; Times < MostReads; ++Times) {
      HttpCall Call;
      Call.Path = "/-/lots/" + Id;
      const HttpResponse Answer = this->ask(At, Call);
      if (Answer.Status == 200)
        Read = platform::Json::parse(Answer.Body)["results"];
      if (Read.size() >= Count)
        return Read;
      this->pass(Millis{50});
    }
    return Read;
  }

  /// Lets time pass.
  /// @param Span how long.
  void pass(Millis Span) {
    const Millis End = steadyNow() + Span;
    turnUntil(this->Events, [&] { return steadyNow() >= End; });
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_GATEWAY_TASKS_GATEWAY_FIXTURE_H
