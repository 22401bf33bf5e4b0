/// @file
/// Reads the log by long polling.

#include "net/log_client_base.h"
#include "wire/codec_func.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphornotch {

namespace {

/// Limit on the records of one response.
constexpr int64_t ReadLimit = 1000;
/// How long the log may wait for a first record.
constexpr Millis PollWait = seconds(2);
/// Time for a read in addition to PollWait.
constexpr Millis ReadTimeout = seconds(2);
/// Delay after the first failed read; doubles with each further one.
constexpr Millis RetryMin{50};
/// Limit on the delay after a failed read.
constexpr Millis RetryMax = seconds(1);

/// @return the integer field of that name, or the fallback if it is absent or
///         no integer.
int64_t numberOf(const nlohmann::json &Json, const char *Name,
                 int64_t Fallback) {
  const auto Found = Json.find(Name);
  const bool Valid = Found != Json.end() && Found->is_number_integer();
  return Valid ? Found->get<int64_t>() : Fallback;
}

/// @param Json a record in the response.
/// @return the record; an empty one if it cannot be decoded, so that all
/// readers
///         skip it alike.
wire::LogRecord recordOf(const nlohmann::json &Json) {
  const auto Data = Json.find("data");
  std::string Bytes;
  if (Data == Json.end() || !Data->is_string() ||
      !absl::Base64Unescape(Data->get_ref<const std::string &>(), &Bytes))
    return {};
  auto Record = decodeRecord(Bytes);
  return Record ? std::move(Record.value()) : wire::LogRecord{};
}

} // namespace

LogReader::LogReader(Loop &Events, HttpClient &Http, HttpTarget Log,
                     LogReaderCallbacks Callbacks)
    : Events(Events), Http(Http), Log(std::move(Log)),
      Callbacks(std::move(Callbacks)) {}

LogReader::~LogReader() {
  this->Http.cancel(this->Call);
  this->Events.cancel(this->RetryTimer);
}

void LogReader::start(LogOffset FirstOffset) {
  this->Next = FirstOffset;
  this->poll();
}

void LogReader::poll() {
  HttpCall Request;
  Request.Target = this->Log;
  Request.Path =
      absl::StrCat("/v1/records?from=", this->Next.Value, "&limit=", ReadLimit,
                   "&wait_ms=", this->LastReachable ? PollWait.Count : 0);
  Request.Timeout = PollWait + ReadTimeout;
  Request.MaxBodyBytes = MaxLogPageBytes;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this](const HttpResponse &Response) {
    this->onAnswer(Response);
  };
  Callbacks.Failed = [this](const HttpFailure &) { this->onFailure(); };
  this->Call = this->Http.start(std::move(Request), std::move(Callbacks));
}

void LogReader::onAnswer(const HttpResponse &Response) {
  const auto Json = nlohmann::json::parse(Response.Body, nullptr, false);
  const auto Records = Json.is_object() ? Json.find("records") : Json.end();
  const bool Valid = Response.Status == 200 && Json.is_object() &&
                     Records != Json.end() && Records->is_array();
  if (!Valid) {
    this->onFailure();
    return;
  }
  this->Failures = 0;
  this->setReachable(true);
  this->Oldest = LogOffset{numberOf(Json, "oldest", this->Next.Value)};
  if (this->Oldest > this->Next && this->Callbacks.Gap)
    this->Callbacks.Gap(this->Oldest);
  this->Next = std::max(this->Next, this->Oldest);
  const LogOffset Before = this->Next;
  for (const nlohmann::json &Record : *Records) {
    const LogOffset Offset{numberOf(Record, "offset", 0)};
    if (Offset < this->Next)
      continue;
    this->Next = LogOffset{Offset.Value + 1};
    this->Callbacks.Record(Offset, recordOf(Record));
  }
  // The log would send the same records again at once.
  if (!Records->empty() && this->Next == Before) {
    this->RetryTimer =
        this->Events.callAfter(RetryMax, [this] { this->poll(); });
    return;
  }
  if (this->Callbacks.CaughtUp)
    this->Callbacks.CaughtUp(this->Next);
  this->poll();
}

void LogReader::onFailure() {
  constexpr int MaxDoublings = 6;
  this->setReachable(false);
  const int64_t Factor = int64_t{1} << std::min(this->Failures, MaxDoublings);
  ++this->Failures;
  this->RetryTimer = this->Events.callAfter(
      std::min(RetryMin * Factor, RetryMax), [this] { this->poll(); });
}

void LogReader::setReachable(bool Reachable) {
  const bool Changed =
      !this->ReachableKnown || Reachable != this->LastReachable;
  this->ReachableKnown = true;
  this->LastReachable = Reachable;
  if (Changed && this->Callbacks.Reachable)
    this->Callbacks.Reachable(Reachable);
}

} // namespace camphornotch
