/// @file
/// Updates the pool of endpoints as they register and leave.

#include "gateway/directory_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "platform/operator_func.h"

namespace camphornotch {

namespace {

/// Time within which live endpoints register again after the store answers
/// again, according to the platform's documentation.
constexpr Millis RegisterAgainTime{2'000};

} // namespace

DirectoryTask::DirectoryTask(Loop &Events, platform::StoreClient &Store,
                             EndpointPool &Pool, std::function<void()> Changed)
    : Events(Events), Pool(Pool), Changed(std::move(Changed)),
      Follower(
          Events, Store, std::string(platform::EndpointTopic),
          KeyedFollowerEvents{
              [this](const KeyedRecord &Record) { this->onRecord(Record); },
              [this](const std::set<std::string> &Keys) {
                this->onComplete(Keys);
              },
              [this](const Error &Cause) {
                this->Answers = false;
                logLine(LogLevel::Warn, "endpoint registry unavailable",
                        {{"cause", Cause.Message}});
              },
              [this] {
                this->Answers = true;
                this->BackAt = steadyNow();
                logLine(LogLevel::Info, "endpoint registry available");
              }}) {}

void DirectoryTask::onRecord(const KeyedRecord &Record) {
  if (Record.Value.empty()) {
    this->onGone(Record.Key);
    this->Changed();
    return;
  }
  Result<EndpointRecord> Read =
      platform::decodeEndpoint(Record.Key, Record.Value);
  if (!Read.has_value()) {
    logLine(LogLevel::Warn, "unreadable endpoint entry skipped",
            {{"endpoint", Record.Key}, {"cause", Read.error().Message}});
    return;
  }
  const auto Leaves = this->Leaving.find(Record.Key);
  if (Leaves != this->Leaving.end()) {
    this->Events.cancel(Leaves->second);
    this->Leaving.erase(Leaves);
  }
  const std::string State = Read.value().Draining ? "draining" : "ready";
  if (!this->Pool.put(std::move(Read.value())))
    return;
  logLine(LogLevel::Info, "endpoint changed",
          {{"endpoint", Record.Key},
           {"state", State},
           {"offset", concat(Record.Offset)}});
  this->Changed();
}

void DirectoryTask::onComplete(const std::set<std::string> &Keys) {
  this->Complete = true;
  std::vector<std::string> Gone;
  for (const auto &[Id, State] : this->Pool.all())
    if (!Keys.contains(Id.Value))
      Gone.push_back(Id.Value);
  for (const std::string &Key : Gone)
    this->onGone(Key);
  this->Changed();
}

void DirectoryTask::onGone(const std::string &Key) {
  if (this->Pool.find(EndpointId{Key}) == nullptr ||
      this->Leaving.contains(Key))
    return;
  const Millis Until = this->BackAt + RegisterAgainTime;
  const Millis Now = steadyNow();
  if (this->Answers && Now >= Until) {
    this->forget(Key);
    return;
  }
  this->Leaving[Key] =
      this->Events.callAt(Until, [this, Key] { this->forget(Key); });
}

void DirectoryTask::forget(const std::string &Key) {
  this->Leaving.erase(Key);
  this->Pool.remove(EndpointId{Key});
  logLine(LogLevel::Info, "endpoint gone", {{"endpoint", Key}});
  this->Changed();
}

} // namespace camphornotch
