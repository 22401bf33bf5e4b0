/// @file
/// Identities and outcomes of work at an agent, shared by its controllers.

#ifndef CAMPHORNOTCH_CORE_AGENT_WORK_TYPE_H
#define CAMPHORNOTCH_CORE_AGENT_WORK_TYPE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "base/refusal_type.h"
#include "camphornotch_types.h"

#include <cstdint>
#include <utility>

namespace camphornotch {

/// One attempt at the endpoint, unique within the agent's boot. It is part of
/// the request id that the endpoint sees, so that late answers of an earlier
/// attempt are told apart.
using RunId = StrongId<struct RunTag, int64_t>;

/// Names a piece of work: work ids are unique only for their sender's boot.
struct WorkKey {
  /// The boot of the entry that sent the work.
  BootId Sender;
  /// The id that it gave the work.
  WorkId Work;

  /// Orders by sender, then work.
  auto operator<=>(const WorkKey &) const = default;

  /// Hash support for the absl containers.
  /// @param State the running hash.
  /// @param Key the key to add.
  /// @return the running hash with the key in it.
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by absl.
  template <typename HashT>
  friend HashT AbslHashValue(HashT State, const WorkKey &Key) {
    return HashT::combine(std::move(State), Key.Sender, Key.Work);
  }
};

/// How an attempt at the endpoint ended.
enum class RunOutcome : uint8_t {
  Finished, ///< The whole answer arrived.
  Failed,   ///< The endpoint failed or its connection broke.
  Stopped,  ///< It was cancelled before its end.
};

/// @param Work the work.
/// @return whether it is for trainers, that is not short.
inline bool isLong(const wire::StartWork &Work) {
  return Work.Class != wire::WorkClass::Short;
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_WORK_TYPE_H
