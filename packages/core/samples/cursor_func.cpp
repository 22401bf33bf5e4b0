/// @file
/// The opaque, checksummed cursor that a trainer carries between pulls.

#include "core/samples/cursor_func.h"

#include "base/hash_func.h"
#include "core/samples/step_table_base.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace camphornotch {

namespace {

/// First byte of every cursor; changes with the format.
constexpr uint64_t CursorFormat = 1;
/// Bytes of the checksum at the end.
constexpr size_t ChecksumBytes = 8;
/// Separates the checksum from other uses of the hash.
constexpr uint64_t ChecksumSeed = 0x63757273;
/// Largest number of slots a cursor may list.
constexpr int64_t MaxListedSlots = int64_t{1} << 20;

/// Appends an unsigned number, seven bits a byte.
/// @param Out receives the bytes.
/// @param Value the number.
void putNumber(std::string &Out, uint64_t Value) {
  while (Value >= 0x80) {
    Out.push_back(static_cast<char>(Value | 0x80));
    Value >>= 7;
  }
  Out.push_back(static_cast<char>(Value));
}

/// Takes one number from the front.
/// @param Bytes what remains; the number is removed.
/// @param Value receives it.
/// @return whether there was a whole number.
bool takeNumber(std::string_view &Bytes, uint64_t &Value) {
  Value = 0;
  for (int Shift = 0; Shift < 64 && !Bytes.empty(); Shift += 7) {
    const auto Byte = static_cast<uint8_t>(Bytes.front());
    Bytes.remove_prefix(1);
    Value |= static_cast<uint64_t>(Byte & 0x7f) << Shift;
    if (Byte < 0x80)
      return true;
  }
  return false;
}

/// Slots of one step with consecutive numbers.
struct SlotRun {
  /// The step.
  int64_t Step = 0;
  /// The first slot's number.
  int64_t First = 0;
  /// How many.
  int64_t Count = 0;
};

/// @param Slots slots in order.
/// @return the same as runs.
std::vector<SlotRun> toRuns(const std::set<SlotKey> &Slots) {
  std::vector<SlotRun> Runs;
  for (const SlotKey &Key : Slots) {
    const int64_t Number = slotNumber(Key);
    const bool Follows = !Runs.empty() && Runs.back().Step == Key.Step &&
                         Runs.back().First + Runs.back().Count == Number;
    if (Follows)
      ++Runs.back().Count;
    else
      Runs.push_back(SlotRun{Key.Step, Number, 1});
  }
  return Runs;
}

/// @param Body a cursor without its checksum.
/// @return the checksum's bytes.
std::string checksum(std::string_view Body) {
  const uint64_t Hash = hashBytes(Body, ChecksumSeed);
  std::string Bytes;
  for (size_t Index = 0; Index < ChecksumBytes; ++Index)
    Bytes.push_back(static_cast<char>(Hash >> (8 * Index)));
  return Bytes;
}

/// @param What what is wrong.
/// @return the error for the trainer.
Error cursorError(std::string_view What) {
  return Error{ErrorKind::BadInput, absl::StrCat("cursor: ", std::string(What)),
               "send the cursor of the last answer, unchanged"};
}

/// Reads the runs at the end of a cursor.
/// @param Bytes the cursor after its batch number.
/// @param Out receives the slots.
/// @return whether they are whole and within bounds.
bool takeRuns(std::string_view Bytes, std::set<SlotKey> &Out) {
  uint64_t Runs = 0;
  if (!takeNumber(Bytes, Runs))
    return false;
  int64_t Listed = 0;
  for (uint64_t Index = 0; Index < Runs; ++Index) {
    uint64_t Step = 0;
    uint64_t First = 0;
    uint64_t Count = 0;
    if (!takeNumber(Bytes, Step) || !takeNumber(Bytes, First) ||
        !takeNumber(Bytes, Count))
      return false;
    if (Count > MaxListedSlots || Listed + int64_t(Count) > MaxListedSlots)
      return false;
    Listed += int64_t(Count);
    for (uint64_t Place = 0; Place < Count; ++Place)
      Out.insert(slotOfNumber(int64_t(Step), int64_t(First + Place)));
  }
  return Bytes.empty();
}

} // namespace

std::string encodeCursor(const Cursor &Value) {
  std::string Body;
  putNumber(Body, CursorFormat);
  putNumber(Body, Value.Trainer.Value.size());
  Body += Value.Trainer.Value;
  putNumber(Body, static_cast<uint64_t>(Value.Made.Value + 1));
  putNumber(Body, static_cast<uint64_t>(Value.Batch));
  const auto Runs = toRuns(Value.Delivered);
  putNumber(Body, Runs.size());
  for (const SlotRun &Run : Runs) {
    putNumber(Body, static_cast<uint64_t>(Run.Step));
    putNumber(Body, static_cast<uint64_t>(Run.First));
    putNumber(Body, static_cast<uint64_t>(Run.Count));
  }
  return absl::WebSafeBase64Escape(Body + checksum(Body));
}

Result<Cursor> parseCursor(std::string_view Text, const TrainerId &Trainer) {
  std::string Bytes;
  const absl::string_view Escaped(Text.data(), Text.size());
  if (!absl::WebSafeBase64Unescape(Escaped, &Bytes))
    return cursorError("not a cursor");
  if (Bytes.size() <= ChecksumBytes)
    return cursorError("too short");
  std::string_view Rest(Bytes);
  const std::string_view Sum = Rest.substr(Rest.size() - ChecksumBytes);
  Rest.remove_suffix(ChecksumBytes);
  if (Sum != checksum(Rest))
    return cursorError("altered on the way");
  uint64_t Format = 0;
  uint64_t NameSize = 0;
  if (!takeNumber(Rest, Format) || Format != CursorFormat)
    return cursorError("of another version");
  if (!takeNumber(Rest, NameSize) || NameSize > Rest.size())
    return cursorError("cut short");
  if (Rest.substr(0, NameSize) != Trainer.Value)
    return cursorError("of another trainer");
  Rest.remove_prefix(NameSize);
  uint64_t Made = 0;
  uint64_t Batch = 0;
  if (!takeNumber(Rest, Made) || !takeNumber(Rest, Batch))
    return cursorError("cut short");
  Cursor Value{Trainer, Epoch{int64_t(Made) - 1}, int64_t(Batch), {}};
  if (!takeRuns(Rest, Value.Delivered))
    return cursorError("cut short");
  return Value;
}

} // namespace camphornotch
