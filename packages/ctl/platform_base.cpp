/// @file
/// Blocking calls to the log, the host list and the entries.

#include "ctl/platform_base.h"

#include "base/clock_func.h"
#include "base/text_func.h"
#include "net/log_client_base.h"
#include "wire/codec_func.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <optional>
#include <random>

namespace camphornotch {

namespace {

using nlohmann::json;

/// Maximum number of records that one read of the log asks for.
constexpr int64_t MaxPageRecords = 1000;
/// Timeout of a call, in addition to the time that the log may wait.
constexpr Millis CallTimeout{2000};
/// How long the log may wait for a record when the own one is read back.
constexpr Millis ReadBackWait{500};
/// Delay before an append that was not read back is sent again.
constexpr Millis AppendRetryDelay{100};

/// @return the parsed JSON; a discarded value if the text is not valid JSON.
json parseJson(std::string_view Text) {
  return json::parse(Text.begin(), Text.end(), nullptr, false);
}

/// @param Target the service's address.
/// @param Service the service's name for the message.
/// @param Flag the command line flag that sets the address.
/// @return the error for a service that does not answer.
Error unavailableError(const HttpTarget &Target, std::string_view Service,
                       std::string_view Flag) {
  return Error{ErrorKind::Unavailable,
               concat("the ", Service, " at ", Target.Address, ":", Target.Port,
                      " does not answer"),
               concat("try again later, or correct ", Flag)};
}

/// @return the integer member of a JSON object; -1 if it has none.
int64_t integerMember(const json &Value, const char *Name) {
  const auto Found = Value.find(Name);
  if (Found == Value.end() || !Found->is_number_integer())
    return -1;
  return Found->get<int64_t>();
}

/// @param Entry one record of the log's response.
/// @return the record; an empty one if it cannot be decoded.
LoggedRecord loggedRecord(const json &Entry) {
  LoggedRecord Out;
  Out.Offset = LogOffset{integerMember(Entry, "offset")};
  const auto Data = Entry.find("data");
  std::string Bytes;
  if (Data == Entry.end() || !Data->is_string() ||
      !absl::Base64Unescape(Data->get_ref<const std::string &>(), &Bytes))
    return Out;
  Result<wire::LogRecord> Record = decodeRecord(Bytes);
  if (Record.has_value())
    Out.Record = std::move(Record.value());
  return Out;
}

/// @return a random, positive boot id under which this command writes.
int64_t randomBootId() {
  std::random_device Device;
  const uint64_t Bits = (uint64_t{Device()} << 32) | Device();
  return static_cast<int64_t>(Bits >> 1) | 1;
}

} // namespace

Platform::Platform(const Options &Options)
    : Http(this->Events), Wanted(Options),
      Deadline(steadyNow() + Options.Timeout) {}

bool Platform::deadlinePassed() { return steadyNow() >= this->Deadline; }

void Platform::pause(Millis Span) {
  const Millis Until = steadyNow() + Span;
  while (steadyNow() < Until)
    this->Events.runOnce(Until - steadyNow());
}

Result<HttpResponse> Platform::call(HttpCall Call) {
  std::optional<Result<HttpResponse>> Answer;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [&](HttpResponse Response) {
    Answer = std::move(Response);
  };
  Callbacks.Failed = [&](const HttpFailure &Failure) {
    Answer = Failure.Cause;
  };
  this->Http.start(std::move(Call), std::move(Callbacks));
  while (!Answer.has_value())
    this->Events.runOnce(CallTimeout);
  return *Answer;
}

Result<LogPage> Platform::readPage(LogOffset FirstOffset, Millis Wait) {
  HttpCall Call;
  Call.Target = this->Wanted.Log;
  Call.Path = concat("/v1/records?from=", FirstOffset.Value,
                     "&limit=", MaxPageRecords, "&wait_ms=", Wait.Count);
  Call.Timeout = CallTimeout + Wait;
  Call.MaxBodyBytes = MaxLogPageBytes;
  const Result<HttpResponse> Answer = this->call(std::move(Call));
  if (!Answer.has_value() || Answer.value().Status != 200)
    return unavailableError(this->Wanted.Log, "log", "--log");
  const json Body = parseJson(Answer.value().Body);
  const auto Records = Body.find("records");
  if (!Body.is_object() || Records == Body.end() || !Records->is_array())
    return unavailableError(this->Wanted.Log, "log", "--log");
  LogPage Page;
  Page.OldestOffset = LogOffset{integerMember(Body, "oldest")};
  Page.NextOffset = LogOffset{integerMember(Body, "next")};
  LogOffset LastOffset{-1};
  for (const json &Entry : *Records) {
    Page.Records.push_back(loggedRecord(Entry));
    LastOffset = std::max(LastOffset, Page.Records.back().Offset);
  }
  if (!Page.Records.empty() && LastOffset < FirstOffset)
    return Error{ErrorKind::Unavailable,
                 concat("the log sends no record after offset ",
                        FirstOffset.Value - 1,
                        ", but says that there are some"),
                 "see whether --log is the address of the log"};
  return Page;
}

Result<LogOffset> Platform::foldAll(LogFold &Fold) {
  for (;;) {
    const LogOffset FirstOffset{Fold.applied().Value + 1};
    Result<LogPage> Page = this->readPage(FirstOffset, Millis{0});
    if (!Page.has_value())
      return Page.error();
    if (Page.value().OldestOffset > FirstOffset)
      Fold.startAt(Page.value().OldestOffset);
    for (const LoggedRecord &Logged : Page.value().Records)
      Fold.apply(Logged.Offset, Logged.Record);
    if (Page.value().Records.empty())
      break;
  }
  if (!Fold.known())
    return Error{ErrorKind::Unavailable,
                 "the log has lost its start and holds no snapshot yet",
                 "start an entry, which writes one, and try again"};
  return Fold.applied();
}

void Platform::sendAppend(const std::string &Encoded) {
  HttpCall Call;
  Call.Target = this->Wanted.Log;
  Call.Method = "POST";
  Call.Path = "/v1/records";
  Call.Headers.push_back({"Content-Type", "application/json"});
  Call.Body =
      json{{"records", json::array({absl::Base64Escape(Encoded)})}}.dump();
  Call.Timeout = CallTimeout;
  Call.Reuse = false;
  // Only reading the record back shows whether it was appended, whatever the
  // response.
  (void)this->call(std::move(Call));
}

bool Platform::readBack(int64_t Boot, LogFold &Fold,
                        std::vector<FoldChange> &Changes) {
  const LogOffset FirstOffset{Fold.applied().Value + 1};
  Result<LogPage> Page = this->readPage(FirstOffset, ReadBackWait);
  if (!Page.has_value())
    return false;
  if (Page.value().OldestOffset > FirstOffset)
    Fold.startAt(Page.value().OldestOffset);
  bool Found = false;
  for (const LoggedRecord &Logged : Page.value().Records) {
    std::vector<FoldChange> RecordChanges =
        Fold.apply(Logged.Offset, Logged.Record);
    if (Found || Logged.Record.WriterBoot != Boot)
      continue;
    Found = true;
    Changes = std::move(RecordChanges);
  }
  return Found;
}

Result<std::vector<FoldChange>> Platform::append(wire::LogRecord Record,
                                                 LogFold &Fold) {
  Record.WriterBoot = randomBootId();
  Record.Sequence = 1;
  const std::string Encoded = encodeRecord(Record);
  std::vector<FoldChange> Changes;
  do {
    this->sendAppend(Encoded);
    if (this->readBack(Record.WriterBoot, Fold, Changes))
      return Changes;
    this->pause(AppendRetryDelay);
  } while (!this->deadlinePassed());
  return Error{ErrorKind::Unavailable,
               "the record was sent, but could not be read back in time",
               "look at `camphornotch log` once the log answers: the record "
               "may have taken effect"};
}

Result<std::vector<HostEntry>> Platform::hosts() {
  HttpCall Call;
  Call.Target = this->Wanted.HostList;
  Call.Path = "/v1/hosts?from=";
  Call.Timeout = CallTimeout;
  const Result<HttpResponse> Answer = this->call(std::move(Call));
  if (!Answer.has_value() || Answer.value().Status != 200)
    return unavailableError(this->Wanted.HostList, "host list", "--host_list");
  Result<HostList> List = parseHostList(Answer.value().Body);
  if (!List.has_value())
    return List.error();
  return std::move(List.value().Hosts);
}

Result<json> Platform::status(const HttpTarget &Entry) {
  HttpCall Call;
  Call.Target = Entry;
  Call.Path = "/admin/status";
  Call.Timeout = CallTimeout;
  const Result<HttpResponse> Answer = this->call(std::move(Call));
  if (!Answer.has_value() || Answer.value().Status != 200)
    return unavailableError(Entry, "entry", "--host_list");
  json Body = parseJson(Answer.value().Body);
  if (!Body.is_object())
    return unavailableError(Entry, "entry", "--host_list");
  return Body;
}

} // namespace camphornotch
