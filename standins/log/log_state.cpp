/// @file
/// State of the append-only log.

#include "standins/log/log_state.h"

#include <algorithm>

namespace camphornotch::standin {

namespace {

/// Cost of one append in the token bucket, in thousandths of a token.
constexpr int64_t MilliTokensPerAppend = 1000;

/// A page takes no further record above this size.
constexpr size_t MaxPageBytes = size_t{4} << 20;

} // namespace

bool LogState::takeToken(Millis Now) {
  const int64_t Refill =
      (Now - this->RefilledAt).Count * this->Settings.AppendsPerSecond;
  this->RefilledAt = Now;
  this->MilliTokens = std::min(this->MilliTokens + Refill,
                               this->Settings.Burst * MilliTokensPerAppend);
  if (this->MilliTokens < MilliTokensPerAppend) {
    return false;
  }
  this->MilliTokens -= MilliTokensPerAppend;
  return true;
}

int64_t LogState::append(std::span<const std::string> Records, Millis Now) {
  const int64_t First = this->nextOffset();
  for (const std::string &Record : Records) {
    this->Stored.push_back({Now, Record});
  }
  return First;
}

LogPage LogState::read(int64_t FirstOffset, int64_t MaxRecords) const {
  LogPage Page;
  Page.OldestOffset = this->OldestOffset;
  Page.FirstOffset =
      std::clamp(FirstOffset, this->OldestOffset, this->nextOffset());
  size_t Bytes = 0;
  for (auto Index = static_cast<size_t>(Page.FirstOffset - this->OldestOffset);
       Index < this->Stored.size(); ++Index) {
    if (static_cast<int64_t>(Page.Records.size()) >= MaxRecords ||
        Bytes > MaxPageBytes) {
      break;
    }
    Bytes += this->Stored[Index].Data.size();
    Page.Records.push_back(this->Stored[Index].Data);
  }
  return Page;
}

void LogState::expire(Millis Now) {
  while (!this->Stored.empty() &&
         this->Stored.front().AppendedAt + this->Settings.Retention < Now) {
    this->Stored.pop_front();
    ++this->OldestOffset;
  }
}

} // namespace camphornotch::standin
