/// @file
/// HTTP stand-in of the platform's partitioned store, with injected faults.

#include "standins/store/store_server.h"

#include "base/clock_func.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <nlohmann/json.hpp>

namespace camphornotch::standin {

namespace {

void reply(const std::shared_ptr<HttpExchange> &Exchange, int Status,
           const std::string &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = Body;
  Exchange->answer(Response);
}

/// @return the number in query parameter Name; Default if it is absent.
int64_t numberOf(const std::shared_ptr<HttpExchange> &Exchange,
                 const char *Name, int64_t Default) {
  const std::string Text = queryParameter(Exchange->request().Query, Name);
  return Text.empty() ? Default : std::stoll(Text);
}

} // namespace

StandinStoreServer::StandinStoreServer(Loop &Events, int64_t Partitions)
    : Events(Events), State(Partitions) {
  auto Listening =
      HttpServer::listen(Events, HttpServerConfig{},
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           this->handle(Exchange);
                         });
  this->Server = std::move(Listening.value());
}

void StandinStoreServer::put(const std::string &Topic, const std::string &Key,
                             const std::string &Value) {
  this->State.put(Topic, Key, Value);
  this->answerReadyReads();
}

void StandinStoreServer::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  if (this->Silent ||
      (this->ReadsSilent && Exchange->request().Path == "/-/log-read")) {
    this->HeldCalls.push_back(Exchange);
    return;
  }
  const bool IsRead = Exchange->request().Path == "/-/log-read";
  if (this->Busy || (IsRead && this->RefusesReads)) {
    this->ReadsRefused += IsRead ? 1 : 0;
    reply(Exchange, 503, "{}");
    return;
  }
  const std::string &Path = Exchange->request().Path;
  if (Path == "/-/log-append")
    this->onAppend(Exchange);
  else if (Path == "/-/log-read")
    this->onRead(Exchange);
  else if (Path == "/-/log-newest")
    this->onNewest(Exchange);
  else if (Path == "/-/log-join")
    this->onMember(Exchange, true);
  else if (Path == "/-/log-leave")
    this->onMember(Exchange, false);
  else if (Path == "/-/log-owners")
    this->onOwners(Exchange);
  else
    reply(Exchange, 404, "{}");
}

void StandinStoreServer::onAppend(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Topic = queryParameter(Exchange->request().Query, "topic");
  const int64_t Part = numberOf(Exchange, "part", 0);
  const int64_t ExpectedEnd = numberOf(Exchange, "at", -1);
  const auto Append = [this, Topic, Part, ExpectedEnd,
                       Records = standinRecords(Exchange->request().Body)] {
    const auto Offset = this->State.append(
        Topic, Part, Records,
        ExpectedEnd < 0 ? std::nullopt : std::optional(ExpectedEnd));
    this->answerReadyReads();
    return Offset;
  };
  if (this->Fault == AppendFault::Refuse) {
    reply(Exchange, 503, "{}");
    return;
  }
  if (this->Fault == AppendFault::Late)
    this->Events.callAfter(this->LateBy, [Append] { Append(); });
  if (this->Fault == AppendFault::LoseAnswer)
    Append();
  if (this->Fault != AppendFault::None && this->Fault != AppendFault::Slow) {
    this->HeldCalls.push_back(Exchange);
    return;
  }
  const auto Offset = Append();
  const int64_t End = this->State.partition(Topic, Part).end();
  nlohmann::json Body{{"end", End}};
  if (Offset.has_value())
    Body["offset"] = *Offset;
  const int Status = Offset.has_value() ? 200 : 412;
  if (this->Fault != AppendFault::Slow) {
    reply(Exchange, Status, Body.dump());
    return;
  }
  this->Events.callAfter(this->LateBy, [Exchange, Status, Text = Body.dump()] {
    reply(Exchange, Status, Text);
  });
}

void StandinStoreServer::onRead(const std::shared_ptr<HttpExchange> &Exchange) {
  auto Read = std::make_shared<PendingRead>();
  Read->Exchange = Exchange;
  Read->Topic = queryParameter(Exchange->request().Query, "topic");
  ++this->ReadsByTopic[Read->Topic];
  Read->Part = numberOf(Exchange, "part", 0);
  Read->FirstOffset = numberOf(Exchange, "from", 0);
  const StandinPartition &Partition =
      this->State.partition(Read->Topic, Read->Part);
  if (Read->FirstOffset < Partition.First) {
    reply(Exchange, 410, nlohmann::json{{"first", Partition.First}}.dump());
    return;
  }
  constexpr int64_t DefaultMaxKilobytes = 1'024;
  Read->MaxBytes = static_cast<size_t>(
                       numberOf(Exchange, "max_kilobytes", DefaultMaxKilobytes))
                   << 10;
  const int64_t Wait = numberOf(Exchange, "wait_ms", 0);
  if (Partition.end() > Read->FirstOffset || Wait == 0) {
    this->answerRead(*Read);
    return;
  }
  this->Reads.push_back(Read);
  this->Events.callAfter(Millis{Wait}, [this, Read] {
    if (!Read->Answered)
      this->answerRead(*Read);
  });
}

void StandinStoreServer::answerRead(PendingRead &Read) {
  Read.Answered = true;
  const StandinPartition &Partition =
      this->State.partition(Read.Topic, Read.Part);
  if (Read.FirstOffset < Partition.First) {
    reply(Read.Exchange, 410,
          nlohmann::json{{"first", Partition.First}}.dump());
    return;
  }
  std::vector<std::string> Records;
  size_t Bytes = 0;
  for (auto Next =
           Partition.Records.begin() + (Read.FirstOffset - Partition.First);
       Next != Partition.Records.end(); ++Next) {
    Bytes += Next->size();
    if (!Records.empty() && Bytes > Read.MaxBytes)
      break;
    Records.push_back(*Next);
  }
  this->sendThrottled(
      Read.Exchange,
      standinNumber(static_cast<uint64_t>(Partition.end()), 8) +
          standinNumber(static_cast<uint64_t>(Partition.First), 8) +
          standinBytes(Records));
}

void StandinStoreServer::sendThrottled(
    const std::shared_ptr<HttpExchange> &Exchange, const std::string &Body) {
  if (this->ReadBytesPerSecond == 0) {
    reply(Exchange, 200, Body);
    return;
  }
  const Millis Now = steadyNow();
  const Millis Start = std::max(Now, this->ReadsBusyUntil);
  if (Start - Now > this->ReadQueueMost) {
    reply(Exchange, 503, "{}");
    return;
  }
  this->ReadsBusyUntil =
      Start + Millis{static_cast<int64_t>(Body.size()) * seconds(1).Count /
                     this->ReadBytesPerSecond};
  this->Events.callAt(this->ReadsBusyUntil,
                      [Exchange, Body] { reply(Exchange, 200, Body); });
}

void StandinStoreServer::answerReadyReads() {
  for (const auto &Read : this->Reads)
    if (!Read->Answered &&
        this->State.partition(Read->Topic, Read->Part).end() >
            Read->FirstOffset)
      this->answerRead(*Read);
  std::erase_if(this->Reads, [](const auto &Read) { return Read->Answered; });
}

void StandinStoreServer::onNewest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Query = Exchange->request().Query;
  const std::string Topic = queryParameter(Query, "topic");
  const bool HasCursor = Query.find("&after=") != std::string::npos;
  const std::string AfterKey = queryParameter(Query, "after");
  ++this->NewestReads;
  const bool Refused = HasCursor ? this->RefusedCursors.contains(AfterKey)
                                 : this->RefusesFirstPage;
  if (Refused && this->RefusedCursorStatus == 0) {
    this->HeldCalls.push_back(Exchange);
    return;
  }
  if (Refused) {
    reply(Exchange, this->RefusedCursorStatus, "{}");
    return;
  }
  const auto Newest = this->State.newest(Topic);
  auto Next = HasCursor ? Newest.upper_bound(AfterKey) : Newest.begin();
  if (HasCursor && this->LostCursors.contains(AfterKey))
    Next = Newest.begin();
  nlohmann::json Items = nlohmann::json::array();
  for (; Next != Newest.end() && Items.size() < this->NewestPageRecords; ++Next)
    Items.push_back({{"key", Next->first},
                     {"value", absl::Base64Escape(Next->second.first)},
                     {"offset", Next->second.second}});
  const nlohmann::json Body{{"items", Items},
                            {"has_more", Next != Newest.end()},
                            {"end", this->State.partition(Topic, 0).end()}};
  constexpr std::string_view Replacement = "\xef\xbf\xbd";
  std::string Text =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (this->SendsRawKeys)
    Text = absl::StrReplaceAll(Text, {{Replacement.data(), "\xff"}});
  reply(Exchange, 200, Text);
}

void StandinStoreServer::onMember(const std::shared_ptr<HttpExchange> &Exchange,
                                  bool Joins) {
  const auto Request = nlohmann::json::parse(Exchange->request().Body);
  const std::string Member = Request.at("member");
  nlohmann::json Parts = nlohmann::json::array();
  if (Joins) {
    const std::string Topic = Request.at("topics").at(0);
    const int64_t KnownGeneration = Request.value("generation", int64_t{0});
    for (const int64_t Part :
         this->State.join(Member, Millis{Request.at("ttl_ms")}, KnownGeneration,
                          steadyNow()))
      Parts.push_back({Topic, Part, 0});
  } else {
    this->State.leave(Member);
  }
  reply(
      Exchange, 200,
      nlohmann::json{{"generation", this->State.generation()}, {"parts", Parts}}
          .dump());
}

void StandinStoreServer::onOwners(
    const std::shared_ptr<HttpExchange> &Exchange) {
  nlohmann::json Owners = nlohmann::json::array();
  for (const auto &[Part, Member] : this->State.holders())
    Owners.push_back({"batch", Part, Member, 0});
  reply(Exchange, 200, nlohmann::json{{"owners", Owners}}.dump());
}

} // namespace camphornotch::standin
