/// @file
/// The tasks of gateways on the loopback interface, with a stand-in for the
/// store and engines that the test controls.

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
  explicit FakeEngine(Loop &Events) {
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->handle(Exchange);
        });
    this->Server = std::move(Made.value());
  }

  Address where() const { return Address{"127.0.0.1", this->Server->port()}; }

  /// Finishes all held streams.
  void release() {
    this->Hold = false;
    for (const auto &Exchange : this->Held)
      this->finish(Exchange, this->HeldFrom[Exchange.get()]);
    this->Held.clear();
  }

  /// Sends the events up to EventCount on all held streams.
  void continueHeld() {
    for (const auto &Exchange : this->Held) {
      int64_t &Sent = this->HeldFrom[Exchange.get()];
      while (Sent < this->EventCount)
        FakeEngine::writeEvent(Exchange, ++Sent);
    }
  }

  /// Aborts all held streams.
  void abortHeld() {
    for (const auto &Exchange : this->Held)
      Exchange->abort();
    this->Held.clear();
  }

  /// Whether its answers say that it leaves.
  bool Leaving = false;
  /// Number of events of each item.
  int64_t EventCount = 4;
  /// The model version that generates the events.
  int64_t Version = 3;
  /// Whether streams stop after two events until release().
  bool Hold = false;
  /// The event that the next stream leaves out; 0: none.
  int64_t SkippedEvent = 0;
  /// How many requests get an answer of status 500 that names another request.
  int MisaddressedFailures = 0;
  /// How many runs of items are answered by status 500.
  int RunFailures = 0;
  /// How many scoring calls are aborted first.
  int ScoreAborts = 0;
  /// How many scoring calls are answered by status 500 after those.
  int64_t ScoreFailures = 0;
  /// How many scoring calls arrived.
  int ScoringCalls = 0;
  /// Status of the answers to further scoring calls.
  int ScoreStatus = 200;
  /// The last request's path and query.
  std::string LastTarget;
  /// The headers of the requests so far, scoring calls included, by request id.
  std::map<std::string, HttpHeaders> HeadersById;
  /// By item, for each run the last event that the gateway already had.
  std::map<std::string, std::vector<int64_t>> Runs;
  /// Streams that wait for release().
  std::vector<std::shared_ptr<HttpExchange>> Held;

private:
  void handle(const std::shared_ptr<HttpExchange> &Exchange) {
    const HttpRequest &Request = Exchange->request();
    this->LastTarget = Request.Target;
    const std::string Id(
        findHeader(Request.Headers, "x-camphornotch-request-id"));
    this->HeadersById[Id] = Request.Headers;
    HttpResponse Head;
    Head.Headers = {{"X-Camphornotch-Request-Id", Id},
                    {"X-Camphornotch-Response-Signature", "receipt-" + Id}};
    if (this->Leaving)
      Head.Headers.push_back({"Server-Leaving", "1"});
    if (Request.Path.starts_with("/score/")) {
      ++this->ScoringCalls;
      if (this->ScoreAborts > 0) {
        --this->ScoreAborts;
        Exchange->start(Head);
        Exchange->abort();
        return;
      }
      Head.Status = this->ScoreFailures-- > 0 ? 500 : this->ScoreStatus;
      Exchange->answer(Head);
      return;
    }
    const std::string Last(findHeader(Request.Headers, "last-event-id"));
    const int64_t SentBefore = Last.empty() ? 0 : std::stoll(Last);
    this->Runs[Id].push_back(SentBefore);
    if (this->MisaddressedFailures > 0) {
      --this->MisaddressedFailures;
      Head.Status = 500;
      Head.Headers[0].Value = "another-request";
      Exchange->answer(Head);
      return;
    }
    if (this->RunFailures > 0) {
      --this->RunFailures;
      Head.Status = 500;
      Exchange->answer(Head);
      return;
    }
    Head.ContentType = "text/event-stream";
    // An engine without events left to generate names no version.
    if (SentBefore < this->EventCount)
      Head.Headers.push_back(
          {"X-Camphornotch-Weight-Versions", std::to_string(this->Version)});
    Exchange->start(Head);
    if (!this->Hold) {
      this->finish(Exchange, SentBefore);
      return;
    }
    constexpr int64_t HeldAfter = 2;
    for (int64_t Event = SentBefore + 1; Event <= SentBefore + HeldAfter;
         ++Event)
      this->writeEvent(Exchange, Event);
    this->HeldFrom[Exchange.get()] = SentBefore + HeldAfter;
    this->Held.push_back(Exchange);
  }

  static void writeEvent(const std::shared_ptr<HttpExchange> &Exchange,
                         int64_t Event) {
    Exchange->write("id: " + std::to_string(Event) + "\ndata: e" +
                    std::to_string(Event) + "\n\n");
  }

  /// Sends the events after the first ones and ends the stream.
  /// @param SentBefore number of events sent before.
  void finish(const std::shared_ptr<HttpExchange> &Exchange,
              int64_t SentBefore) {
    const int64_t Without = std::exchange(this->SkippedEvent, 0);
    for (int64_t Event = SentBefore + 1; Event <= this->EventCount; ++Event)
      if (Event != Without)
        FakeEngine::writeEvent(Exchange, Event);
    Exchange->finish();
  }

  /// Number of events sent on each held stream.
  std::map<HttpExchange *, int64_t> HeldFrom;
  std::unique_ptr<HttpServer> Server;
};

/// The tasks of one gateway, with servers for callers and for peers.
class FakeGateway {
public:
  /// @param Partitions number of partitions of each topic.
  FakeGateway(Loop &Events, HttpTarget Store, const std::string &Name,
              const FakeEngine &Engine, int64_t Partitions,
              EndpointChoice Choice = ExpectedTimeChoice{})
      : Http(Events), Client(Events, Http, std::move(Store)),
        Pool(Geography{"dc", {}}, Choice), Forward(Events, Http, Pool, Counts) {
    this->Settings.Common.Host = Name;
    this->Settings.Partitions = Partitions;
    this->Settings.RecordBytes = 4096;
    this->Settings.SubmissionLifetime = seconds(60);
    this->Settings.EndpointChoice = "expected_time";
    this->Settings.ItemOrder = "wanted_groups";
    this->setRoutes();
    this->setEngine(Engine);
    this->Batches = std::make_unique<BatchTask>(
        BatchTaskDependencies{Events, Http, Client, Pool, Forward, Counts},
        this->Settings, [this]() -> const RouteTable & { return this->Routes; },
        [](const std::string &, int64_t) {});
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->handle(Exchange);
        });
    this->Server = std::move(Made.value());
    auto Listening = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->handlePeer(Exchange);
        });
    this->PeerServer = std::move(Listening.value());
  }

  void begin() {
    this->Batches->begin(Address{"127.0.0.1", this->PeerServer->port()});
  }

  /// @return the address for callers.
  HttpTarget target() const {
    return HttpTarget{"127.0.0.1", this->Server->port()};
  }

  /// @return the address for other gateways.
  HttpTarget peerTarget() const {
    return HttpTarget{"127.0.0.1", this->PeerServer->port()};
  }

  /// Stops answering other gateways, like a dead process.
  void closeToPeers() { this->PeerServer.reset(); }

  /// @return the number of answered reads of partitions.
  double partitionReads() {
    return this->Counts
        .counter("partition_reads_total", "Reads of partitions by outcome.",
                 {{"outcome", "answered"}})
        .Value();
  }

  /// @return the number of calls to owners that got no answer.
  double silentOwners() {
    return this->Counts
        .counter("owner_calls_total",
                 "Calls to owners of partitions by outcome.",
                 {{"outcome", "silent"}})
        .Value();
  }

  GatewaySettings Settings;
  RouteTable Routes;
  Metrics Counts;
  HttpClient Http;
  platform::StoreClient Client;
  EndpointPool Pool;
  ForwardTask Forward;
  std::unique_ptr<BatchTask> Batches;
  /// Number of calls of peers so far.
  size_t PeerCalls = 0;

private:
  /// Sets a route for submissions and one for scoring calls.
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

  /// Makes an engine the endpoint of both services.
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

  /// Serves a peer's request.
  void handlePeer(const std::shared_ptr<HttpExchange> &Exchange) {
    ++this->PeerCalls;
    this->Batches->onPeerRequest(Exchange);
  }

  /// Serves a caller's request.
  void handle(const std::shared_ptr<HttpExchange> &Exchange) {
    const platform::DecodedRequest Ask =
        platform::decodeCallerRequest(Exchange->request());
    if (const auto *Routed = std::get_if<platform::RoutedRequest>(&Ask))
      this->Batches->submit(Exchange, *Routed, std::nullopt);
    else if (const auto *Read = std::get_if<platform::ResultsRead>(&Ask))
      this->Batches->readResults(Exchange, *Read);
    else if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
      this->Batches->readBody(Exchange, *Body);
    else
      this->Batches->endSubmission(
          Exchange, std::get<platform::SubmissionEndRequest>(Ask));
  }

  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpServer> PeerServer;
};

/// Gateways with one engine, one store and a caller.
struct GatewayFixture {
  /// Number of partitions of each topic.
  int64_t Partitions;
  EndpointChoice Choice;
  Loop Events;
  standin::StandinStoreServer Store{this->Events, this->Partitions};
  FakeEngine Engine{this->Events};
  std::vector<std::unique_ptr<FakeGateway>> Gateways;
  HttpClient Caller{this->Events};

  /// @param Partitions number of partitions of each topic.
  explicit GatewayFixture(int Count = 2, int64_t Partitions = 2,
                          EndpointChoice Choice = ExpectedTimeChoice{})
      : Partitions(Partitions), Choice(Choice) {
    for (int Index = 0; Index < Count; ++Index)
      this->add("gateway-" + std::to_string(Index));
  }

  /// Starts a gateway.
  void add(const std::string &Name) {
    this->Gateways.push_back(std::make_unique<FakeGateway>(
        this->Events, this->Store.target(), Name, this->Engine,
        this->Partitions, this->Choice));
    this->Gateways.back()->begin();
  }

  /// Sends a call to a gateway and waits for its answer.
  /// @param At index of the gateway.
  /// @return the answer; status 0: none.
  HttpResponse ask(size_t At, HttpCall Call) {
    Call.Target = this->Gateways[At]->target();
    Call.Host = "h";
    Call.Reuse = false;
    return answerTo(this->Events, this->Caller, std::move(Call));
  }

  /// @param Items number of items.
  /// @return the call that makes a submission.
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
  /// @param At index of the gateway.
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
      this->runFor(Millis{50});
    }
    return Read;
  }

  /// Runs the loop for a time.
  void runFor(Millis Span) {
    const Millis End = steadyNow() + Span;
    turnUntil(this->Events, [&] { return steadyNow() >= End; });
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_GATEWAY_TASKS_GATEWAY_FIXTURE_H
