/// @file
/// Decides whether an owner would know by now that a submission has ended.

#include "core/batch/end_knowledge_base.h"

namespace camphornotch {

namespace {

/// If a partition was not read for this long while the store answers joins, its
/// items do not start.
constexpr Millis MaxUnreadTime{2'000};
/// Longest time between two answered reads of a followed partition.
constexpr Millis MaxReadInterval{1'000};
/// Time without a sign of running after which the process counts as having
/// stood still.
constexpr Millis MaxStandstill{1'000};

} // namespace

void EndKnowledge::tick(Millis Now) {
  if (this->RanAt > Millis{0} && Now - this->RanAt > MaxStandstill)
    this->ResumedAt = Now;
  this->RanAt = Now;
}

bool EndKnowledge::permitsStart(Millis UpToDateAt, Millis Now) {
  this->tick(Now);
  if (UpToDateAt < this->ResumedAt)
    return false;
  const bool StoreAnsweredSince = this->JoinedAt - UpToDateAt > MaxReadInterval;
  return Now - UpToDateAt < MaxUnreadTime || !StoreAnsweredSince;
}

} // namespace camphornotch
