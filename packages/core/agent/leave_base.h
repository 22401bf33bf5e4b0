/// @file
/// Takes an agent out of service: first no new work, then the rest is moved.

#ifndef CAMPHORNOTCH_CORE_AGENT_LEAVE_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_LEAVE_BASE_H

#include "base/millis_type.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace camphornotch {

/// Times of leaving.
struct LeaveSettings {
  /// How long running work is kept before it is moved; the rule's time.
  Millis KeepWork = seconds(30);
  /// How long finished answers are held for entries that must fetch them.
  Millis KeepAnswers = seconds(10);
};

/// Who asked for the leaving.
enum class LeaveCause : uint8_t {
  Signal,     ///< SIGTERM: the process ends once done.
  HostList,   ///< The host list says leaving.
  Order,      ///< An operator's order in the log.
  Superseded, ///< A newer agent has taken over the endpoint.
};

/// Leave.
struct LeaveAsked {
  /// Who asked.
  LeaveCause Cause = LeaveCause::Signal;
};

/// The host list or the operator takes the leaving back.
struct LeaveWithdrawn {
  /// Whose leaving is taken back; a signal cannot be.
  LeaveCause Cause = LeaveCause::Order;
};

/// What the agent still holds.
struct HoldingsChanged {
  /// Runs at the endpoint.
  size_t Running = 0;
  /// Finished answers that no entry has acknowledged.
  size_t Unacknowledged = 0;
};

/// The deadline of nextDeadline() was reached.
struct LeaveTick {};

/// What the leave controller reacts to.
using LeaveEvent =
    std::variant<LeaveAsked, LeaveWithdrawn, HoldingsChanged, LeaveTick>;

/// Refuse new work, hand back what has not started, say so on every link.
struct StopAdmission {};
/// Take new work again.
struct ResumeAdmission {};
/// Stop running work that can be resumed elsewhere.
struct MoveRuns {};
/// Nothing is left to do: the process may end.
struct ExitProcess {};

/// What the leave controller asks for.
using LeaveAction =
    std::variant<StopAdmission, ResumeAdmission, MoveRuns, ExitProcess>;

/// The leave controller of one agent.
class LeaveController {
public:
  /// @param Settings the times.
  explicit LeaveController(LeaveSettings Settings) : Settings(Settings) {}

  /// @param Event what happened.
  /// @param Now when.
  /// @return what to do, in order.
  std::vector<LeaveAction> handle(const LeaveEvent &Event, Millis Now);

  /// @return when LeaveTick is due.
  [[nodiscard]] Millis nextDeadline() const;

  /// @return whether the agent is leaving; attached to every reply.
  [[nodiscard]] bool leaving() const { return this->Causes != 0; }

  /// @param NewSettings the times from now on.
  void change(LeaveSettings NewSettings) { this->Settings = NewSettings; }

private:
  /// Actions under construction.
  using Actions = std::vector<LeaveAction>;

  /// @name Handlers, one for each event; each adds to the actions.
  /// @{
  void on(const LeaveAsked &Event, Millis Now, Actions &Out);
  void on(const LeaveWithdrawn &Event, Millis Now, Actions &Out);
  void on(const HoldingsChanged &Event, Millis Now, Actions &Out);
  void on(const LeaveTick &Event, Millis Now, Actions &Out);
  /// @}

  /// Moves runs and ends the process when it is time.
  void advance(Millis Now, Actions &Out);
  /// @return whether the process ends once all is done.
  [[nodiscard]] bool ends() const;

  /// The times.
  LeaveSettings Settings;
  /// A bit for each present cause.
  uint32_t Causes = 0;
  /// When running work is moved.
  Millis MoveAt = Never;
  /// When unacknowledged answers are given up.
  Millis EndAt = Never;
  /// What the agent holds.
  HoldingsChanged Holdings;
  /// Whether runs were told to move.
  bool Moved = false;
  /// Whether the end was announced.
  bool Ended = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_LEAVE_BASE_H
