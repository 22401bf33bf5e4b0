/// @file
/// Computes who holds each duty, and which usage windows are settled, from the
/// records of the duties' partition.

#ifndef CAMPHORNOTCH_CORE_DUTIES_DUTY_FOLD_BASE_H
#define CAMPHORNOTCH_CORE_DUTIES_DUTY_FOLD_BASE_H

#include "base/error_type.h"
#include "base/millis_type.h"
#include "camphornotch_types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch {

/// The newest claim of a duty.
struct DutyClaim {
  /// The claiming host and the boot of its process.
  std::string Host;
  int64_t Boot = 0;
  /// Increases with each claim; never given to two holders.
  int64_t FencingNumber = 0;
  /// Whether the holder gave it up.
  bool Released = false;
  /// The host of the claim before; empty: none.
  std::string PreviousHost;
  /// When this process read the holder's newest record, by bootNow().
  Millis SeenAt{0};
};

/// Requests that began to run, by client account. Ordered, so that equal counts
/// have equal encodings.
using UsageCounts = std::map<std::string, int64_t>;

/// State of all duties. The same records give the same state in every process,
/// SeenAt aside.
class DutyFold {
public:
  /// Applies the record at an offset.
  /// @param Now by bootNow().
  /// @return nothing, or why the record cannot be read; it changes nothing
  ///   then.
  Result<void> apply(int64_t Offset, std::string_view Bytes, Millis Now);

  /// @return the newest claim of the duty, or null.
  const DutyClaim *claim(std::string_view Duty) const;

  /// @return the counts of a window as they were settled first, or null.
  const UsageCounts *settled(int64_t Window) const;

  /// @return the oldest settled window after the given one whose report is not
  ///   acknowledged; -1: none.
  int64_t unreportedAfter(int64_t Window) const;

  /// @return the newest settled window; -1: none.
  int64_t newestSettled() const { return this->NewestSettled; }

  /// Forgets windows before the given one, whether they are reported or not.
  void forgetBefore(int64_t Window);

private:
  void applyClaim(int64_t Offset, const wire::DutyClaimRecord &Record,
                  Millis Now);
  /// @return the claim with the fencing number, or null.
  DutyClaim *claimOf(const std::string &Duty, int64_t FencingNumber);

  std::map<std::string, DutyClaim, std::less<>> Claims;
  std::map<int64_t, UsageCounts> Settled;
  std::set<int64_t> Reported;
  int64_t NewestSettled = -1;
  /// Windows before this one are ignored.
  int64_t FirstKept = 0;
};

/// Encodes counts in the order of the accounts' names.
std::vector<wire::AccountCount> encodeCounts(const UsageCounts &Counts);

/// @return the record that settles a window.
wire::UsageSettledRecord settledRecord(int64_t Window, int64_t FencingNumber,
                                       const UsageCounts &Counts);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_DUTIES_DUTY_FOLD_BASE_H
