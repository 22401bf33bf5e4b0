/// @file
/// Numbers for pieces of work, unique within one boot of an entry.

#ifndef CAMPHORNOTCH_CORE_ROUTING_WORK_ID_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_WORK_ID_BASE_H

#include "base/id_type.h"

namespace camphornotch {

/// Hands out work numbers; all controllers of an entry share one.
class WorkIdSource {
public:
  /// @return a number not handed out before.
  WorkId next() { return WorkId{++this->Last}; }

private:
  /// The last number handed out.
  int64_t Last = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_WORK_ID_BASE_H
