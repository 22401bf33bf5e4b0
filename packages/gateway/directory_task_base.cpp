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
constexpr Millis ReregisterTime{2'000};

} // namespace

DirectoryTask::DirectoryTask(Loop &Events, platform::StoreClient &Store,
                             EndpointPool &Pool,
                             std::function<void()> OnChanged)
    : Events(Events), Pool(Pool), OnChanged(std::move(OnChanged)),
      Follower(
          Events, Store, std::string(platform::EndpointTopic),
          KeyedFollowerCallbacks{
              [this](const KeyedRecord &Record) { this->onRecord(Record); },
              [this](const std::set<std::string> &Keys) {
                this->onComplete(Keys);
              },
              [this](const Error &Cause) {
                this->Available = false;
                logLine(LogLevel::Warn, "endpoint registry unavailable",
                        {{"cause", Cause.Message}});
              },
              [this] {
                this->Available = true;
                this->AvailableSince = steadyNow();
                logLine(LogLevel::Info, "endpoint registry available");
              }}) {}

void DirectoryTask::onRecord(const KeyedRecord &Record) {
  if (Record.Value.empty()) {
    this->onRemoved(Record.Key);
    this->OnChanged();
    return;
  }
  Result<EndpointRecord> Decoded =
      platform::decodeEndpoint(Record.Key, Record.Value);
  if (!Decoded.has_value()) {
    logLine(LogLevel::Warn, "unreadable endpoint entry skipped",
            {{"endpoint", Record.Key}, {"cause", Decoded.error().Message}});
    return;
  }
  const auto Removal = this->RemovalTimers.find(Record.Key);
  if (Removal != this->RemovalTimers.end()) {
    this->Events.cancel(Removal->second);
    this->RemovalTimers.erase(Removal);
  }
  const std::string State = Decoded.value().Draining ? "draining" : "ready";
  const std::string Software = Decoded.value().Software;
  if (!this->Pool.put(std::move(Decoded.value())))
    return;
  this->Pool.noteChange(EndpointId{Record.Key}, steadyNow());
  logLine(LogLevel::Info, "endpoint changed",
          {{"endpoint", Record.Key},
           {"state", State},
           {"software", Software},
           {"offset", concat(Record.Offset)}});
  this->OnChanged();
}

void DirectoryTask::onComplete(const std::set<std::string> &Keys) {
  this->Complete = true;
  std::vector<std::string> Gone;
  for (const auto &[Id, State] : this->Pool.all())
    if (!Keys.contains(Id.Value))
      Gone.push_back(Id.Value);
  for (const std::string &Key : Gone)
    this->onRemoved(Key);
  this->OnChanged();
}

void DirectoryTask::onRemoved(const std::string &Key) {
  if (this->Pool.find(EndpointId{Key}) == nullptr ||
      this->RemovalTimers.contains(Key))
    return;
  const Millis RemoveAt = this->AvailableSince + ReregisterTime;
  const Millis Now = steadyNow();
  if (this->Available && Now >= RemoveAt) {
    this->remove(Key);
    return;
  }
  this->RemovalTimers[Key] =
      this->Events.callAt(RemoveAt, [this, Key] { this->remove(Key); });
}

void DirectoryTask::remove(const std::string &Key) {
  this->RemovalTimers.erase(Key);
  this->Pool.remove(EndpointId{Key});
  logLine(LogLevel::Info, "endpoint gone", {{"endpoint", Key}});
  this->OnChanged();
}

} // namespace camphornotch
