/// @file
/// Decides whether an owner would know by now that a submission has ended.

#ifndef CAMPHORNOTCH_CORE_BATCH_END_KNOWLEDGE_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_END_KNOWLEDGE_BASE_H

#include "base/millis_type.h"

namespace camphornotch {

/// An item of an ended submission must not reach an engine later than 3 s after
/// the end was acknowledged. An owner that has not read its partition lately
/// may only start items if the store has answered nobody since its last read,
/// as it acknowledged no end then. A process that stood still cannot know that
/// and has to read first. All times are of a clock that goes on while the
/// process is suspended. Deterministic, without I/O.
class EndKnowledge {
public:
  /// Notes that the process runs; called several times a second.
  void tick(Millis Now);

  /// Notes that the store answered a join.
  void joined(Millis Now) { this->JoinedAt = Now; }

  /// @param UpToDateAt the time whose state of the partition is known.
  /// @return whether items of that partition may start.
  bool permitsStart(Millis UpToDateAt, Millis Now);

private:
  /// When the store last answered a join.
  Millis JoinedAt{0};
  /// When the process was last known to run; 0: not yet.
  Millis RanAt{0};
  /// When the process ran again after it had stood still; 0: it never did.
  Millis ResumedAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_END_KNOWLEDGE_BASE_H
