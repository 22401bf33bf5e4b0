/// @file
/// Control paths and common faults of the stand-ins' HTTP server.

#include "standins/common/standin_server.h"
#include "standins/common/json_func.h"

#include <cstdio>
#include <cstdlib>

namespace camphornotch::standin {

namespace {

/// Exit code if the port cannot be opened.
constexpr int ExitNoPort = 3;

/// Delay before another attempt to open the port after a crash.
constexpr Millis PortRetryDelay{50};

/// Delay of a crash, so that the request that causes it is answered first.
constexpr Millis CrashDelay{5};

} // namespace

void answerJson(const Exchange &Waiting, int Status,
                const nlohmann::json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = jsonText(Body);
  Waiting->answer(Response);
}

void cutAnswer(const Exchange &Waiting) {
  if (!Waiting->started()) {
    Waiting->start(HttpResponse{});
  }
  Waiting->abort();
}

void endOnSignal(Loop &Loop) {
  Loop.handleSignals([&Loop](int) { Loop.stop(); });
}

StandinServer::StandinServer(Loop &Events, uint16_t Port,
                             StandinHooks InitialHooks)
    : Events(Events), Port(Port), Hooks(std::move(InitialHooks)) {
  this->listen();
  if (this->Server == nullptr) {
    std::fprintf(stderr, "port %d is taken: choose another one\n", Port);
    std::exit(ExitNoPort);
  }
}

void StandinServer::answer(const Exchange &Waiting, int Status,
                           const nlohmann::json &Body) {
  if (this->loseNext()) {
    cutAnswer(Waiting);
    return;
  }
  answerJson(Waiting, Status, Body);
}

bool StandinServer::loseNext() {
  if (this->AnswersToLose == 0) {
    return false;
  }
  --this->AnswersToLose;
  return true;
}

void StandinServer::listen() {
  HttpServerConfig Config;
  Config.Port = this->Port;
  Config.MaxBodyBytes = size_t{64} << 20;
  auto Listening =
      HttpServer::listen(this->Events, Config, [this](const Exchange &Waiting) {
        this->onRequest(Waiting);
      });
  if (Listening.has_value()) {
    this->Server = std::move(Listening.value());
  }
}

void StandinServer::onRequest(const Exchange &Waiting) {
  const Millis Now = this->Events.now();
  if (Waiting->request().Path.starts_with("/control/")) {
    this->control(Waiting);
  } else if (Now < this->SilentUntil) {
    this->holdUnanswered(Waiting);
  } else if (Now < this->OutageUntil) {
    answerJson(Waiting, 503, {{"error", "outage"}});
  } else if (Now < this->DelayUntil) {
    this->Events.callAfter(this->Delay, [this, Waiting] {
      if (!Waiting->gone()) {
        this->Hooks.Handle(Waiting);
      }
    });
  } else {
    this->Hooks.Handle(Waiting);
  }
}

void StandinServer::control(const Exchange &Waiting) {
  const HttpRequest &Request = Waiting->request();
  if (Request.Path == "/control/record") {
    answerJson(Waiting, 200, this->Hooks.Record(Request));
    return;
  }
  const bool Known =
      Request.Path == "/control/fault" && this->inject(parseJson(Request.Body));
  answerJson(Waiting, Known ? 200 : 400, {{"injected", Known}});
}

bool StandinServer::inject(const nlohmann::json &Fault) {
  const std::string Kind = textOf(Fault, "kind");
  const Millis Now = this->Events.now();
  const Millis Until = Now + Millis{intOf(Fault, "for_ms")};
  if (Kind == "crash") {
    this->crashSoon(Millis{intOf(Fault, "for_ms")});
  } else if (Kind == "silent") {
    this->SilentUntil = Until;
  } else if (Kind == "outage") {
    this->OutageUntil = Until;
  } else if (Kind == "delay") {
    this->Delay = Millis{intOf(Fault, "ms")};
    this->DelayUntil = Until;
  } else if (Kind == "lose_answers") {
    this->AnswersToLose = intOf(Fault, "count", 1);
  } else {
    return this->Hooks.Fault && this->Hooks.Fault(Fault);
  }
  return true;
}

void StandinServer::crashSoon(Millis Downtime) {
  this->Events.callAfter(CrashDelay,
                         [this, Downtime] { this->crash(Downtime); });
}

void StandinServer::crash(Millis Downtime) {
  if (this->Hooks.Crash) {
    this->Hooks.Crash();
  }
  this->Held.clear();
  this->Server.reset();
  this->Events.callAfter(Downtime, [this] {
    this->listen();
    if (this->Server == nullptr) {
      this->crash(PortRetryDelay);
    }
  });
}

void StandinServer::holdUnanswered(const Exchange &Waiting) {
  this->Held.insert(Waiting);
  const std::weak_ptr<HttpExchange> Weak = Waiting;
  Waiting->onGone([this, Weak] {
    if (const Exchange Gone = Weak.lock()) {
      this->Events.defer([this, Gone] { this->Held.erase(Gone); });
    }
  });
}

} // namespace camphornotch::standin
