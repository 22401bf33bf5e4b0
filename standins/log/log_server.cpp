/// @file
/// Appends and long polls of the log over HTTP.

#include "standins/log/log_server.h"
#include "standins/common/json_func.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace camphornotch::standin {

namespace {

/// Time between looks at deadlines and retention.
constexpr Millis TickInterval{50};

/// Records of a page if the reader names no number.
constexpr int64_t DefaultLimit = 1000;

/// @param Request a read.
/// @param Name a parameter.
/// @param Default what to answer without it.
/// @return its number.
int64_t parameter(const HttpRequest &Request, std::string_view Name,
                  int64_t Default) {
  int64_t Value = Default;
  const std::string Text = queryParameter(Request.Query, Name);
  return absl::SimpleAtoi(Text, &Value) ? Value : Default;
}

} // namespace

LogServer::LogServer(Loop &Events, uint16_t Port, const LogSettings &Settings)
    : Events(Events), State(Settings),
      Server(Events, Port,
             {[this](const Exchange &Waiting) { this->handle(Waiting); },
              [this](const HttpRequest &) -> nlohmann::json {
                return {{"oldest", this->State.oldest()},
                        {"next", this->State.next()},
                        {"appends", this->Counts.Appends},
                        {"records", this->Counts.Records},
                        {"bytes", this->Counts.Bytes},
                        {"reads", this->Counts.Reads},
                        {"limited", this->Counts.Limited}};
              },
              nullptr, [this] { this->Reads.clear(); }}) {
  this->tick();
}

void LogServer::handle(const Exchange &Waiting) {
  const HttpRequest &Request = Waiting->request();
  if (Request.Path != "/v1/records") {
    answerJson(Waiting, 404, {{"error", "unknown path"}});
  } else if (Request.Method == "POST") {
    this->append(Waiting);
  } else {
    this->read(Waiting);
  }
}

void LogServer::append(const Exchange &Waiting) {
  const Millis Now = this->Events.now();
  const nlohmann::json Body = parseJson(Waiting->request().Body);
  std::vector<std::string> Records;
  for (const nlohmann::json &Item : arrayOf(Body, "records")) {
    std::string Data;
    if (!Item.is_string() ||
        !absl::Base64Unescape(Item.get<std::string>(), &Data)) {
      answerJson(Waiting, 400, {{"error", "a record is not base64"}});
      return;
    }
    this->Counts.Bytes += static_cast<int64_t>(Data.size());
    Records.push_back(std::move(Data));
  }
  if (Records.empty()) {
    answerJson(Waiting, 400, {{"error", "no records"}});
    return;
  }
  if (!this->State.takeToken(Now)) {
    ++this->Counts.Limited;
    answerJson(Waiting, 429, {{"error", "over the rate"}});
    return;
  }
  ++this->Counts.Appends;
  this->Counts.Records += static_cast<int64_t>(Records.size());
  const int64_t First = this->State.append(Records, Now);
  this->Server.answer(Waiting, 200, {{"first", First}});
  this->wakeReads();
}

void LogServer::read(const Exchange &Waiting) {
  const HttpRequest &Request = Waiting->request();
  WaitingRead Read;
  Read.Waiting = Waiting;
  Read.From = parameter(Request, "from", 1);
  Read.Limit = parameter(Request, "limit", DefaultLimit);
  Read.Deadline = this->Events.now() + Millis{parameter(Request, "wait_ms", 0)};
  if (Read.From < this->State.next() || Read.Deadline <= this->Events.now()) {
    this->answerRead(Read);
  } else {
    this->Reads.push_back(std::move(Read));
  }
}

void LogServer::answerRead(const WaitingRead &Read) {
  ++this->Counts.Reads;
  const LogPage Page = this->State.read(Read.From, Read.Limit);
  nlohmann::json Records = nlohmann::json::array();
  int64_t Offset = Page.First;
  for (const std::string &Data : Page.Records) {
    Records.push_back({{"offset", Offset}, {"data", absl::Base64Escape(Data)}});
    ++Offset;
  }
  answerJson(Read.Waiting, 200,
             {{"oldest", Page.Oldest},
              {"next", Offset},
              {"records", std::move(Records)}});
}

void LogServer::wakeReads() {
  const Millis Now = this->Events.now();
  for (auto It = this->Reads.begin(); It != this->Reads.end();) {
    const bool Gone = It->Waiting->gone();
    const bool Due = It->From < this->State.next() || It->Deadline <= Now;
    if (Due && !Gone) {
      this->answerRead(*It);
    }
    It = Due || Gone ? this->Reads.erase(It) : std::next(It);
  }
}

void LogServer::tick() {
  this->State.expire(this->Events.now());
  this->wakeReads();
  this->Events.callAfter(TickInterval, [this] { this->tick(); });
}

} // namespace camphornotch::standin
