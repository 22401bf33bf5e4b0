/// @file
/// HTTP interface of the model engine: completions, orders and faults.

#include "standins/engine/engine_server.h"
#include "standins/common/json_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace camphornotch::standin {

namespace {

/// Time between generation steps.
constexpr Millis TickInterval{10};

/// Time between generation steps while nothing runs.
constexpr Millis IdleTickInterval{50};

/// Scheme of a weights location that is fetched over HTTP.
constexpr std::string_view UrlPrefix = "http://";

/// @return the prompt of a completion request; for a chat, the contents of its
/// messages joined.
std::string promptOf(const nlohmann::json &Body) {
  std::string Prompt = textOf(Body, "prompt");
  for (const nlohmann::json &Message : arrayOf(Body, "messages")) {
    Prompt += textOf(Message, "content");
  }
  return Prompt;
}

nlohmann::json segmentsJson(const std::vector<TokenSegment> &Segments) {
  nlohmann::json List = nlohmann::json::array();
  for (const TokenSegment &Segment : Segments) {
    List.push_back(
        {{"first_token", Segment.FirstToken}, {"version", Segment.Version}});
  }
  return List;
}

/// @return the finish reason that an answer reports.
nlohmann::json finishReason(RunEnd End) {
  switch (End) {
  case RunEnd::Running:
    return nullptr;
  case RunEnd::Finished:
    return "stop";
  case RunEnd::Cancelled:
  case RunEnd::Crashed:
    return "cancelled";
  }
  return nullptr;
}

/// @return the name of the end in the record.
const char *endName(RunEnd End) {
  switch (End) {
  case RunEnd::Running:
    return "running";
  case RunEnd::Finished:
    return "finished";
  case RunEnd::Cancelled:
    return "cancelled";
  case RunEnd::Crashed:
    return "crashed";
  }
  return "";
}

} // namespace

EngineServer::EngineServer(Loop &Events, HttpClient &Http, uint16_t Port,
                           const EngineSettings &Settings)
    : Events(Events), Http(Http), State(Settings),
      Server(
          Events, Port,
          {[this](const Exchange &Waiting) { this->handle(Waiting); },
           [this](const HttpRequest &Request) { return this->record(Request); },
           [this](const nlohmann::json &Fault) { return this->fault(Fault); },
           [this] {
             ++this->Crashes;
             this->State.crash();
             this->abortAll();
           }}) {
  this->tick();
}

void EngineServer::handle(const Exchange &Waiting) {
  const std::string &Path = Waiting->request().Path;
  if (Path == "/v1/completions") {
    this->complete(Waiting, false);
  } else if (Path == "/v1/chat/completions") {
    this->complete(Waiting, true);
  } else if (Path == "/v1/cancel") {
    this->cancel(Waiting);
  } else if (Path == "/v1/streams") {
    answerJson(Waiting, 200, {{"streams", this->State.streams()}});
  } else if (Path == "/v1/orders") {
    this->order(Waiting);
  } else if (Path == "/v1/version") {
    answerJson(Waiting, 200,
               {{"model", this->State.settings().Model},
                {"version", this->State.version()}});
  } else if (Path == "/v1/load") {
    const LoadReport Report = this->State.load(this->Events.now());
    answerJson(Waiting, 200,
               {{"slots", Report.Slots},
                {"running", Report.Running},
                {"queued", Report.Queued},
                {"age_ms", (this->Events.now() - Report.MeasuredAt).Count}});
  } else if (Path == "/healthz") {
    answerJson(Waiting, 200, {{"ok", true}});
  } else {
    answerJson(Waiting, 404, {{"error", "unknown path"}});
  }
}

void EngineServer::complete(const Exchange &Waiting, bool Chat) {
  const nlohmann::json Body = parseJson(Waiting->request().Body);
  RunRequest Request;
  Request.Prompt = promptOf(Body);
  Request.RequestId = textOf(Body, "request_id");
  Request.MaxTokens = intOf(Body, "max_tokens", 16);
  Request.Priority = intOf(Body, "priority");
  Request.KeptTokens = intOf(Body, "kept_tokens");
  if (!Body.is_object() || Request.Prompt.empty() || Request.MaxTokens < 1 ||
      Request.KeptTokens < 0) {
    answerJson(Waiting, 400, {{"error", "prompt or max_tokens is missing"}});
    return;
  }
  const int64_t Run = this->State.start(Request, this->Events.now());
  if (!this->PoisonText.empty() &&
      Request.Prompt.find(this->PoisonText) != std::string::npos) {
    this->Server.crashSoon(Millis{this->PoisonDownMs});
  }
  PendingAnswer &Answer = this->PendingAnswers[Run];
  Answer.Waiting = Waiting;
  Answer.RequestId = Request.RequestId;
  Answer.Stream = boolOf(Body, "stream");
  Answer.Chat = Chat;
  Answer.FirstToken = Request.KeptTokens;
  Waiting->onGone([this, Run] {
    this->Events.defer([this, Run] {
      this->State.abandon(Run);
      this->PendingAnswers.erase(Run);
    });
  });
}

void EngineServer::abortAll() {
  const auto Aborted = std::move(this->PendingAnswers);
  this->PendingAnswers.clear();
  for (const auto &[Run, Answer] : Aborted) {
    Answer.Waiting->onGone({});
    cutAnswer(Answer.Waiting);
  }
}

void EngineServer::order(const Exchange &Waiting) {
  const nlohmann::json Body = parseJson(Waiting->request().Body);
  const int64_t OrderFence = intOf(Body, "fence");
  SwapOrder Order;
  Order.Waiting = Waiting;
  Order.Version = intOf(Body, "version", -1);
  this->Orders.push_back({{"version", Order.Version},
                          {"fence", OrderFence},
                          {"at_ms", this->Events.now().Count}});
  if (textOf(Body, "order") != "load_weights" || Order.Version < 0) {
    answerJson(Waiting, 400, {{"error", "unknown order"}});
    return;
  }
  if (!this->State.settings().IgnoreFence && OrderFence < this->Fence) {
    answerJson(Waiting, 409,
               {{"error", "stale_fence"}, {"fence", this->Fence}});
    return;
  }
  this->Fence = std::max(this->Fence, OrderFence);
  if (this->SwapsToFail > 0) {
    --this->SwapsToFail;
    Order.Fails = true;
  }
  this->fetchWeights(Order, textOf(Body, "location"));
}

void EngineServer::fetchWeights(const SwapOrder &Order,
                                const std::string &Location) {
  const std::string_view View = Location;
  const size_t Slash = View.find('/', UrlPrefix.size());
  if (!View.starts_with(UrlPrefix) || Slash == std::string_view::npos) {
    this->swap(Order);
    return;
  }
  const auto Target =
      parseTarget(View.substr(UrlPrefix.size(), Slash - UrlPrefix.size()));
  if (!Target.has_value()) {
    answerJson(Order.Waiting, 500, {{"error", "bad location"}});
    return;
  }
  HttpCall Call;
  Call.Target = Target.value();
  Call.Path = View.substr(Slash);
  HttpCallbacks Callbacks;
  Callbacks.Chunk = [](std::string_view) {};
  Callbacks.Finished = [this, Order](const HttpResponse &Response) {
    if (Response.Status == 200) {
      this->swap(Order);
    } else {
      answerJson(Order.Waiting, 500, {{"error", "no such weights"}});
    }
  };
  Callbacks.Failed = [Order](const HttpFailure &) {
    answerJson(Order.Waiting, 500, {{"error", "store unreachable"}});
  };
  this->Http.start(std::move(Call), std::move(Callbacks));
}

void EngineServer::swap(const SwapOrder &Order) {
  if (Order.Fails) {
    answerJson(Order.Waiting, 500, {{"error", "swap failed"}});
    return;
  }
  const Millis Now = this->Events.now();
  for (const RunPart &Part : this->State.advance(Now)) {
    this->deliver(Part);
  }
  this->State.swapTo(Order.Version, Now);
  const Millis SwapTime{this->State.settings().SwapMs};
  const bool LosesAnswer = this->SwapAnswersToLose > 0;
  this->SwapAnswersToLose -= LosesAnswer ? 1 : 0;
  this->Events.callAfter(SwapTime, [Order, LosesAnswer] {
    if (LosesAnswer) {
      cutAnswer(Order.Waiting);
    } else {
      answerJson(Order.Waiting, 200, {{"version", Order.Version}});
    }
  });
}

void EngineServer::cancel(const Exchange &Waiting) {
  const std::string Id =
      textOf(parseJson(Waiting->request().Body), "request_id");
  for (const RunPart &Part : this->State.advance(this->Events.now())) {
    this->deliver(Part);
  }
  const std::vector<RunPart> Ended = this->State.cancel(Id);
  for (const RunPart &Part : Ended) {
    this->deliver(Part);
  }
  answerJson(Waiting, 200, {{"cancelled", !Ended.empty()}});
}

void EngineServer::deliver(const RunPart &Part) {
  const auto Found = this->PendingAnswers.find(Part.Run);
  if (Found == this->PendingAnswers.end()) {
    return;
  }
  PendingAnswer &Run = Found->second;
  if (Run.Stream) {
    streamPart(Run, Part);
  } else {
    Run.Text += Part.Text;
  }
  if (Part.Tokens > 0 &&
      (Run.Segments.empty() || Run.Segments.back().Version != Part.Version)) {
    Run.Segments.push_back({Run.FirstToken + Run.Tokens, Part.Version});
  }
  Run.Tokens += Part.Tokens;
  if (Part.End == RunEnd::Running) {
    return;
  }
  if (Run.Stream) {
    Run.Waiting->write("data: [DONE]\n\n");
    Run.Waiting->finish();
  } else {
    answerComplete(Run, Part);
  }
  this->PendingAnswers.erase(Found);
}

void EngineServer::streamPart(PendingAnswer &Run, const RunPart &Part) {
  nlohmann::json Choice = {{"index", 0},
                           {"finish_reason", finishReason(Part.End)}};
  if (Run.Chat) {
    Choice["delta"] = {{"content", Part.Text}};
  } else {
    Choice["text"] = Part.Text;
  }
  const nlohmann::json Event = {{"id", Run.RequestId},
                                {"choices", nlohmann::json::array({Choice})},
                                {"tokens", Part.Tokens},
                                {"weight_version", Part.Version}};
  if (!Run.Waiting->started()) {
    HttpResponse Head;
    Head.ContentType = "text/event-stream";
    Run.Waiting->start(Head);
  }
  Run.Waiting->write(absl::StrCat("data: ", jsonText(Event), "\n\n"));
}

void EngineServer::answerComplete(const PendingAnswer &Run,
                                  const RunPart &Part) {
  nlohmann::json Choice = {{"index", 0},
                           {"finish_reason", finishReason(Part.End)}};
  if (Run.Chat) {
    Choice["message"] = {{"role", "assistant"}, {"content", Run.Text}};
  } else {
    Choice["text"] = Run.Text;
  }
  answerJson(Run.Waiting, 200,
             {{"id", Run.RequestId},
              {"choices", nlohmann::json::array({Choice})},
              {"usage", {{"completion_tokens", Run.Tokens}}},
              {"segments", segmentsJson(Run.Segments)}});
}

void EngineServer::tick() {
  for (const RunPart &Part : this->State.advance(this->Events.now())) {
    this->deliver(Part);
  }
  const Millis Wait =
      this->PendingAnswers.empty() ? IdleTickInterval : TickInterval;
  this->Events.callAfter(Wait, [this] { this->tick(); });
}

nlohmann::json EngineServer::record(const HttpRequest &Request) {
  int64_t FirstRun = 0;
  (void)absl::SimpleAtoi(queryParameter(Request.Query, "from"), &FirstRun);
  nlohmann::json Runs = nlohmann::json::array();
  const std::vector<RunRecord> &Records = this->State.records();
  for (auto Index = static_cast<size_t>(std::max<int64_t>(FirstRun, 0));
       Index < Records.size(); ++Index) {
    const RunRecord &Run = Records[Index];
    Runs.push_back({{"run", Run.Name},
                    {"request_id", Run.RequestId},
                    {"prompt", Run.Prompt.Value},
                    {"at_ms", Run.ArrivedAt.Count},
                    {"from_token", Run.FromToken},
                    {"next_token", Run.NextToken},
                    {"segments", segmentsJson(Run.Segments)},
                    {"end", endName(Run.End)}});
  }
  return {{"name", this->State.settings().Name},
          {"version", this->State.version()},
          {"crashes", this->Crashes},
          {"orders", this->Orders},
          {"runs", Runs}};
}

bool EngineServer::fault(const nlohmann::json &Fault) {
  const std::string Kind = textOf(Fault, "kind");
  if (Kind == "slow") {
    this->State.slowDown(numberOf(Fault, "factor", 5));
    const Millis Duration{intOf(Fault, "for_ms")};
    this->Events.callAfter(Duration, [this] { this->State.slowDown(1); });
  } else if (Kind == "fail_swaps") {
    this->SwapsToFail = intOf(Fault, "count", 1);
  } else if (Kind == "lose_swap_answers") {
    this->SwapAnswersToLose = intOf(Fault, "count", 1);
  } else if (Kind == "ignore_fence") {
    this->State.settings().IgnoreFence = boolOf(Fault, "on", true);
  } else if (Kind == "poison") {
    this->PoisonText = textOf(Fault, "text");
    this->PoisonDownMs = intOf(Fault, "for_ms");
  } else {
    return false;
  }
  return true;
}

} // namespace camphornotch::standin
