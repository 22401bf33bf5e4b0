/// @file
/// Keeps output and answers until the entry acknowledges them.

#include "core/agent/work_store_base.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphornotch {

namespace {

/// Bytes that any ended work counts for besides its output.
constexpr size_t EntryOverheadBytes = 512;

/// @param End how work ended.
/// @return bytes of the texts in it.
size_t bytesOf(const WorkEnd &End) {
  if (const auto *Finished = std::get_if<wire::WorkFinished>(&End))
    return Finished->Body.size();
  return std::get<wire::WorkRefused>(End).KeptText.size();
}

} // namespace

bool WorkStore::open(WorkKey Key) {
  return this->Entries.try_emplace(Key).second;
}

int64_t WorkStore::append(WorkKey Key, std::string_view Data) {
  Entry &Open = this->Entries.at(Key);
  assert(!Open.End);
  const auto Offset = static_cast<int64_t>(Open.Output.size());
  Open.Output.append(Data);
  return Offset;
}

void WorkStore::close(WorkKey Key, WorkEnd End) {
  Entry &Ended = this->Entries[Key];
  assert(!Ended.End);
  // Only streamed output is asked for again in parts.
  if (bytesOf(End) > 0)
    Ended.Output = std::string{};
  Ended.Bytes = Ended.Output.size() + bytesOf(End) + EntryOverheadBytes;
  Ended.End = std::move(End);
  this->EndedBytes += Ended.Bytes;
  ++this->EndedCount;
  this->EndedOrder.push_back(Key);
  this->trim();
}

void WorkStore::acknowledge(WorkKey Key) {
  const auto Found = this->Entries.find(Key);
  if (Found != this->Entries.end() && Found->second.End)
    this->forget(Key);
}

bool WorkStore::knows(WorkKey Key) const { return this->Entries.contains(Key); }

const WorkEnd *WorkStore::end(WorkKey Key) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end() || !Found->second.End)
    return nullptr;
  return &*Found->second.End;
}

std::string_view WorkStore::output(WorkKey Key, int64_t From) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end() || From < 0)
    return {};
  const std::string_view Whole = Found->second.Output;
  return Whole.substr(std::min(static_cast<size_t>(From), Whole.size()));
}

void WorkStore::forget(WorkKey Key) {
  const auto Found = this->Entries.find(Key);
  assert(Found != this->Entries.end());
  this->EndedBytes -= Found->second.Bytes;
  --this->EndedCount;
  this->Entries.erase(Found);
  while (!this->EndedOrder.empty() &&
         this->end(this->EndedOrder.front()) == nullptr)
    this->EndedOrder.pop_front();
}

void WorkStore::trim() {
  while (this->EndedCount > 1 &&
         (this->EndedCount > this->Settings.MaxEnded ||
          this->EndedBytes > this->Settings.MaxEndedBytes)) {
    const WorkKey Oldest = this->EndedOrder.front();
    this->EndedOrder.pop_front();
    if (this->end(Oldest) == nullptr)
      continue;
    ++this->Dropped;
    this->forget(Oldest);
  }
}

} // namespace camphornotch
