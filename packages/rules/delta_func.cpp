/// @file
/// Line-based deltas between two versions of a text.

#include "rules/delta_func.h"

#include "base/text_func.h"
#include "rules/parse_func.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <span>
#include <vector>

namespace camphornotch {

namespace {

/// The lines of a text, without line ends.
using Lines = std::vector<std::string_view>;

/// Largest table of the line comparison; if it would be larger, the whole
/// differing part is replaced.
constexpr size_t MaxTableCells = size_t{1} << 22;

/// @return the lines; the part after the last line end counts as one.
Lines splitLines(std::string_view Text) {
  Lines Out;
  size_t Start = 0;
  for (size_t End = Text.find('\n'); End != std::string_view::npos;
       End = Text.find('\n', Start)) {
    Out.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  Out.push_back(Text.substr(Start));
  return Out;
}

/// Builds a delta and merges adjacent steps of one kind.
class DeltaWriter {
public:
  /// Keeps the next Count lines of the old text.
  void keep(size_t Count) {
    this->flushDropped();
    this->Kept += Count;
  }

  /// Removes the next line of the old text.
  void drop() {
    this->flushKept();
    ++this->Dropped;
  }

  void add(std::string_view Line) {
    this->flushKept();
    this->flushDropped();
    this->Text += concat("+", Line, "\n");
  }

  /// @return the whole delta; call only once.
  std::string finish() {
    this->flushKept();
    this->flushDropped();
    return std::move(this->Text);
  }

private:
  void flushKept() {
    if (this->Kept > 0)
      this->Text += concat("=", this->Kept, "\n");
    this->Kept = 0;
  }

  void flushDropped() {
    if (this->Dropped > 0)
      this->Text += concat("-", this->Dropped, "\n");
    this->Dropped = 0;
  }

  std::string Text;
  size_t Kept = 0;
  size_t Dropped = 0;
};

/// Lengths of the longest common subsequences of all pairs of suffixes.
class SubsequenceTable {
public:
  SubsequenceTable(std::span<const std::string_view> Before,
                   std::span<const std::string_view> After)
      : Width(After.size() + 1), Cells((Before.size() + 1) * this->Width, 0) {
    for (size_t Row = Before.size(); Row-- > 0;)
      for (size_t Column = After.size(); Column-- > 0;)
        this->at(Row, Column) = Before[Row] == After[Column]
                                    ? this->at(Row + 1, Column + 1) + 1
                                    : std::max(this->at(Row + 1, Column),
                                               this->at(Row, Column + 1));
  }

  /// @param Row an index into the old lines.
  /// @param Column an index into the new lines.
  /// @return the length of the longest common subsequence from there on.
  uint32_t &at(size_t Row, size_t Column) {
    return this->Cells[Row * this->Width + Column];
  }

private:
  size_t Width;
  std::vector<uint32_t> Cells;
};

/// Writes the delta of the part between the common first and last lines.
void writeDifference(std::span<const std::string_view> Before,
                     std::span<const std::string_view> After,
                     DeltaWriter &Out) {
  size_t Row = 0;
  size_t Column = 0;
  if ((Before.size() + 1) * (After.size() + 1) <= MaxTableCells) {
    SubsequenceTable Common(Before, After);
    while (Row < Before.size() && Column < After.size()) {
      if (Before[Row] == After[Column]) {
        Out.keep(1);
        ++Row;
        ++Column;
      } else if (Common.at(Row + 1, Column) >= Common.at(Row, Column + 1)) {
        Out.drop();
        ++Row;
      } else {
        Out.add(After[Column++]);
      }
    }
  }
  for (; Row < Before.size(); ++Row)
    Out.drop();
  for (; Column < After.size(); ++Column)
    Out.add(After[Column]);
}

/// @return the error for a delta that does not match its base text.
Error deltaMismatch() {
  return Error{ErrorKind::BadInput, "the change does not fit its base text",
               "send the whole text"};
}

/// Applies a delta step by step.
struct DeltaApplier {
  Lines Before;
  size_t NextLine = 0;
  Lines After;
  size_t Bytes = 0;

  /// @param Step one line of the delta.
  /// @return whether the step is valid here and the result is not over
  ///         MaxRuleFileBytes.
  bool applyStep(std::string_view Step) {
    if (Step.starts_with('+')) {
      this->appendLine(Step.substr(1));
      return this->Bytes <= MaxRuleFileBytes;
    }
    uint64_t Count = 0;
    if (Step.size() < 2 || !absl::SimpleAtoi(toAbsl(Step.substr(1)), &Count) ||
        Count > this->Before.size() - this->NextLine)
      return false;
    if (Step.front() == '=')
      for (uint64_t Index = 0; Index < Count; ++Index)
        this->appendLine(this->Before[this->NextLine + Index]);
    else if (Step.front() != '-')
      return false;
    this->NextLine += Count;
    return true;
  }

  void appendLine(std::string_view Line) {
    this->After.push_back(Line);
    this->Bytes += Line.size() + 1;
  }

  std::string join() const {
    std::string Text;
    Text.reserve(this->Bytes);
    for (size_t Index = 0; Index < this->After.size(); ++Index) {
      if (Index > 0)
        Text += '\n';
      Text += this->After[Index];
    }
    return Text;
  }
};

} // namespace

std::string encodeDelta(std::string_view Before, std::string_view After) {
  const Lines Old = splitLines(Before);
  const Lines New = splitLines(After);
  const size_t Shorter = std::min(Old.size(), New.size());
  size_t Prefix = 0;
  while (Prefix < Shorter && Old[Prefix] == New[Prefix])
    ++Prefix;
  size_t Suffix = 0;
  while (Suffix < Shorter - Prefix &&
         Old[Old.size() - 1 - Suffix] == New[New.size() - 1 - Suffix])
    ++Suffix;
  DeltaWriter Out;
  Out.keep(Prefix);
  writeDifference(std::span(Old).subspan(Prefix, Old.size() - Prefix - Suffix),
                  std::span(New).subspan(Prefix, New.size() - Prefix - Suffix),
                  Out);
  Out.keep(Suffix);
  return Out.finish();
}

Result<std::string> applyDelta(std::string_view Before,
                               std::string_view Delta) {
  DeltaApplier Applier;
  Applier.Before = splitLines(Before);
  while (!Delta.empty()) {
    const size_t End = Delta.find('\n');
    if (End == std::string_view::npos ||
        !Applier.applyStep(Delta.substr(0, End)))
      return deltaMismatch();
    Delta.remove_prefix(End + 1);
  }
  if (Applier.NextLine != Applier.Before.size())
    return deltaMismatch();
  return Applier.join();
}

} // namespace camphornotch
