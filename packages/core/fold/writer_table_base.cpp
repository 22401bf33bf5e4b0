/// @file
/// Which sequences of which writers were seen, in bounded memory.

#include "core/fold/writer_table_base.h"

namespace camphornotch {

bool WriterTable::firstSight(BootId Writer, int64_t Sequence,
                             LogOffset Offset) {
  const auto [Place, IsNew] = this->Windows.try_emplace(Writer);
  Window &Seen = Place->second;
  bool First = true;
  if (IsNew) {
    Seen.Highest = Sequence;
    Seen.Recent = 1;
  } else if (Sequence > Seen.Highest) {
    const int64_t Step = Sequence - Seen.Highest;
    Seen.Recent = Step < SequenceWindow ? Seen.Recent << Step : 0;
    Seen.Recent |= 1;
    Seen.Highest = Sequence;
  } else if (Seen.Highest - Sequence >= SequenceWindow) {
    First = false;
  } else {
    const uint64_t Bit = uint64_t{1} << (Seen.Highest - Sequence);
    First = (Seen.Recent & Bit) == 0;
    Seen.Recent |= Bit;
  }
  this->touch(Writer, Offset);
  return First;
}

std::vector<wire::WriterWindow> WriterTable::exportWindows() const {
  std::vector<wire::WriterWindow> Out;
  Out.reserve(this->ByOffset.size());
  for (const auto &[Offset, Writer] : this->ByOffset) {
    const Window &Seen = this->Windows.at(Writer);
    wire::WriterWindow &Entry = Out.emplace_back();
    Entry.Boot = Writer.Value;
    Entry.Highest = Seen.Highest;
    Entry.Recent = static_cast<int64_t>(Seen.Recent);
    Entry.LastOffset = Offset.Value;
  }
  return Out;
}

void WriterTable::restoreWindows(
    const std::vector<wire::WriterWindow> &Exported) {
  this->Windows.clear();
  this->ByOffset.clear();
  for (const wire::WriterWindow &Entry : Exported) {
    Window &Seen = this->Windows[BootId{Entry.Boot}];
    Seen.Highest = Entry.Highest;
    Seen.Recent = static_cast<uint64_t>(Entry.Recent);
    this->touch(BootId{Entry.Boot}, LogOffset{Entry.LastOffset});
  }
}

void WriterTable::touch(BootId Writer, LogOffset Offset) {
  Window &Seen = this->Windows.at(Writer);
  this->ByOffset.erase(Seen.LastOffset);
  Seen.LastOffset = Offset;
  this->ByOffset[Offset] = Writer;
  if (this->ByOffset.size() <= this->Capacity)
    return;
  const auto Oldest = this->ByOffset.begin();
  this->Windows.erase(Oldest->second);
  this->ByOffset.erase(Oldest);
}

} // namespace camphornotch
