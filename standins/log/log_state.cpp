/// @file
/// The append-only log's state.

#include "standins/log/log_state.h"

#include <algorithm>

namespace camphornotch::standin {

namespace {

/// One append in the unit of the rate limit.
constexpr int64_t TokenMillis = 1000;

/// Most bytes of records in one page.
constexpr size_t MaxPageBytes = size_t{4} << 20;

} // namespace

bool LogState::takeToken(Millis Now) {
  const int64_t Refill =
      (Now - this->RefilledAt).Count * this->Settings.AppendsPerSecond;
  this->RefilledAt = Now;
  this->MilliTokens =
      std::min(this->MilliTokens + Refill, this->Settings.Burst * TokenMillis);
  if (this->MilliTokens < TokenMillis) {
    return false;
  }
  this->MilliTokens -= TokenMillis;
  return true;
}

int64_t LogState::append(std::span<const std::string> Records, Millis Now) {
  const int64_t First = this->next();
  for (const std::string &Record : Records) {
    this->Kept.push_back({Now, Record});
  }
  return First;
}

LogPage LogState::read(int64_t From, int64_t Limit) const {
  LogPage Page;
  Page.Oldest = this->Oldest;
  Page.First = std::clamp(From, this->Oldest, this->next());
  size_t Bytes = 0;
  for (auto Index = static_cast<size_t>(Page.First - this->Oldest);
       Index < this->Kept.size(); ++Index) {
    if (static_cast<int64_t>(Page.Records.size()) >= Limit ||
        Bytes > MaxPageBytes) {
      break;
    }
    Bytes += this->Kept[Index].Data.size();
    Page.Records.push_back(this->Kept[Index].Data);
  }
  return Page;
}

void LogState::expire(Millis Now) {
  while (!this->Kept.empty() &&
         this->Kept.front().At + this->Settings.Retention < Now) {
    this->Kept.pop_front();
    ++this->Oldest;
  }
}

} // namespace camphornotch::standin
