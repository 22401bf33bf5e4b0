/// @file
/// Appends records to the log in batches.

#include "net/log_client_base.h"
#include "wire/codec_func.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphornotch {

LogAppender::LogAppender(Loop &Events, HttpClient &Http, HttpTarget Log,
                         BootId Boot, const LogAppenderSettings &Settings,
                         LogAppenderCallbacks Callbacks)
    : Events(Events), Http(Http), Log(std::move(Log)), Boot(Boot),
      Settings(Settings), Callbacks(std::move(Callbacks)) {}

LogAppender::~LogAppender() {
  this->Http.cancel(this->Call);
  this->Events.cancel(this->Timer);
}

Result<int64_t> LogAppender::append(wire::LogRecord Record) {
  const int64_t Sequence = this->LastSequence + 1;
  Record.WriterBoot = this->Boot.Value;
  Record.Sequence = Sequence;
  if (!this->appendEncoded(encodeRecord(Record)))
    return Error{ErrorKind::Unavailable,
                 "too many records are waiting to be appended to the log",
                 "retry once the log is reachable again"};
  this->LastSequence = Sequence;
  this->Pending.emplace(Sequence, true);
  return Sequence;
}

bool LogAppender::appendEncoded(std::string Encoded) {
  if (this->WaitingBytes + Encoded.size() > this->Settings.MaxWaitingBytes)
    return false;
  this->WaitingBytes += Encoded.size();
  this->Waiting.push_back(std::move(Encoded));
  this->schedule();
  return true;
}

void LogAppender::observe(LogOffset Offset, const wire::LogRecord &Record) {
  if (Record.WriterBoot != this->Boot.Value)
    return;
  // The copies of a repeated record are no longer in the map.
  if (this->Pending.erase(Record.Sequence) == 0)
    return;
  if (this->Callbacks.Committed)
    this->Callbacks.Committed(Record.Sequence, Offset);
}

void LogAppender::schedule() {
  if (!this->Batch.empty() || this->Waiting.empty())
    return;
  this->Events.cancel(this->Timer);
  const bool Full = this->WaitingBytes >= this->Settings.FlushBytes;
  this->Timer = this->Events.callAfter(
      Full ? Millis{0} : this->Settings.FlushAfter, [this] { this->flush(); });
}

void LogAppender::flush() {
  size_t Bytes = 0;
  while (!this->Waiting.empty() && Bytes < this->Settings.FlushBytes) {
    Bytes += this->Waiting.front().size();
    this->Batch.push_back(std::move(this->Waiting.front()));
    this->Waiting.pop_front();
  }
  this->WaitingBytes -= Bytes;
  this->RecordsSent += this->Batch.size();
  this->sendBatch();
}

void LogAppender::sendBatch() {
  nlohmann::json Body;
  Body["records"] = nlohmann::json::array();
  for (const std::string &Record : this->Batch)
    Body["records"].push_back(absl::Base64Escape(Record));
  HttpCall Request;
  Request.Target = this->Log;
  Request.Method = "POST";
  Request.Path = "/v1/records";
  Request.Headers = {{"content-type", "application/json"}};
  Request.Body = Body.dump();
  Request.Timeout = this->Settings.Timeout;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this](const HttpResponse &Response) {
    this->onAnswer(Response);
  };
  Callbacks.Failed = [this](const HttpFailure &) {
    this->retry(RetryReason::AppendUnanswered);
  };
  ++this->AppendsSent;
  this->Call = this->Http.start(std::move(Request), std::move(Callbacks));
}

void LogAppender::onAnswer(const HttpResponse &Response) {
  if (Response.Status != 200) {
    this->retry(RetryReason::AppendRefused);
    return;
  }
  this->Failures = 0;
  this->Batch.clear();
  this->schedule();
}

void LogAppender::retry(RetryReason Reason) {
  constexpr int MaxDoublings = 10;
  if (this->Callbacks.Retried)
    this->Callbacks.Retried(Reason);
  const int64_t Factor = int64_t{1} << std::min(this->Failures, MaxDoublings);
  ++this->Failures;
  const Millis Wait =
      std::min(this->Settings.BackoffMin * Factor, this->Settings.BackoffMax);
  this->Timer = this->Events.callAfter(Wait, [this] { this->sendBatch(); });
}

} // namespace camphornotch
