/// @file
/// Has the agent's boot recorded, and asks for its standing after a pause.

#ifndef CAMPHORNOTCH_CORE_AGENT_BOOT_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_BOOT_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "camphornotch_types.h"

#include <optional>
#include <set>

namespace camphornotch {

/// Whether this boot may send orders and start calls under intents.
enum class BootPhase : uint8_t {
  Recording, ///< The record is not known to be in the log yet.
  Standing,  ///< The record is in the log and no later boot was seen.
  InDoubt,   ///< The process was paused: the standing has to be asked for.
  Replaced,  ///< A later boot stands: this one must leave.
};

/// One request to an entry.
struct EntryRequest {
  /// The entry.
  HostId Peer;
  /// The request.
  wire::PeerMessage Message;
};

/// Keeps at most one request to an entry outstanding and moves on to another
/// entry when no answer comes.
class BootRecorder {
public:
  /// @param Record what goes into the log.
  /// @param Timeout time for an entry to answer.
  BootRecorder(wire::BootRecord Record, Millis Timeout);

  /// @param Peer an entry that can be reached.
  void onUp(const HostId &Peer);
  /// @param Peer an entry that cannot be reached any more.
  void onDown(const HostId &Peer);
  /// The process was paused.
  void onPaused();
  /// @param Reply an entry's answer to the append.
  /// @return whether the boot stands since this answer.
  bool onReply(const wire::AppendReply &Reply);
  /// @param Reply an entry's answer to the question for the standing.
  void onReply(const wire::StandingReply &Reply);

  /// @param Now the present.
  /// @return the request that is due now, if any.
  std::optional<EntryRequest> next(Millis Now);

  /// @return when next() may have a request, if nothing else happens.
  [[nodiscard]] Millis nextDeadline() const;

  /// @return the phase.
  [[nodiscard]] BootPhase phase() const { return this->Phase; }

  /// @return the fencing number; NoOffset while it is not known.
  [[nodiscard]] LogOffset fence() const { return this->Fence; }

private:
  /// @return whether an answer of an entry is needed.
  [[nodiscard]] bool needsEntry() const;
  /// @return the append of the boot's record.
  [[nodiscard]] wire::PeerMessage appendRequest() const;
  /// @return the question for the standing.
  [[nodiscard]] wire::PeerMessage standingQuery() const;

  /// What goes into the log.
  wire::BootRecord Record;
  /// Time for an entry to answer.
  Millis Timeout;
  /// The phase.
  BootPhase Phase = BootPhase::Recording;
  /// The fencing number.
  LogOffset Fence = NoOffset;
  /// Entries that can be reached.
  std::set<HostId> Peers;
  /// The entry asked last.
  HostId Asked;
  /// Number of the outstanding request; answers to others are ignored.
  int64_t Number = 0;
  /// When the outstanding request counts as unanswered; zero: none is out.
  Millis GiveUpAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_BOOT_BASE_H
