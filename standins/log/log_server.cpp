/// @file
/// Serves appends and long polls of the append-only log over HTTP.

#include "standins/log/log_server.h"
#include "standins/common/json_func.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace camphornotch::standin {

namespace {

/// Interval of the checks of read deadlines and retention.
constexpr Millis TickInterval{50};

/// Most records of a page if the request has no "limit".
constexpr int64_t DefaultReadLimit = 1000;

/// @return a query parameter as a number; Default if it is missing or is not a
///         number.
int64_t intParameter(const HttpRequest &Request, std::string_view Name,
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
                return {{"oldest", this->State.oldestOffset()},
                        {"next", this->State.nextOffset()},
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
  this->answerReadyReads();
}

void LogServer::read(const Exchange &Waiting) {
  const HttpRequest &Request = Waiting->request();
  WaitingRead Read;
  Read.Waiting = Waiting;
  Read.FirstOffset = intParameter(Request, "from", 1);
  Read.Limit = intParameter(Request, "limit", DefaultReadLimit);
  Read.Deadline =
      this->Events.now() + Millis{intParameter(Request, "wait_ms", 0)};
  if (Read.FirstOffset < this->State.nextOffset() ||
      Read.Deadline <= this->Events.now()) {
    this->answerRead(Read);
  } else {
    this->Reads.push_back(std::move(Read));
  }
}

void LogServer::answerRead(const WaitingRead &Read) {
  ++this->Counts.Reads;
  const LogPage Page = this->State.read(Read.FirstOffset, Read.Limit);
  nlohmann::json Records = nlohmann::json::array();
  int64_t Offset = Page.FirstOffset;
  for (const std::string &Data : Page.Records) {
    Records.push_back({{"offset", Offset}, {"data", absl::Base64Escape(Data)}});
    ++Offset;
  }
  answerJson(Read.Waiting, 200,
             {{"oldest", Page.OldestOffset},
              {"next", Offset},
              {"records", std::move(Records)}});
}

void LogServer::answerReadyReads() {
  const Millis Now = this->Events.now();
  for (auto It = this->Reads.begin(); It != this->Reads.end();) {
    const bool Gone = It->Waiting->gone();
    const bool Due =
        It->FirstOffset < this->State.nextOffset() || It->Deadline <= Now;
    if (Due && !Gone) {
      this->answerRead(*It);
    }
    It = Due || Gone ? this->Reads.erase(It) : std::next(It);
  }
}

void LogServer::tick() {
  this->State.expire(this->Events.now());
  this->answerReadyReads();
  this->Events.callAfter(TickInterval, [this] { this->tick(); });
}

} // namespace camphornotch::standin
