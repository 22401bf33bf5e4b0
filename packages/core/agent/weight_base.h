/// @file
/// Brings an endpoint to the newest announced weight version.

#ifndef CAMPHORNOTCH_CORE_AGENT_WEIGHT_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_WEIGHT_BASE_H

#include "core/agent/weight_type.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace camphornotch {

/// Counts of swaps since the boot.
struct WeightCounts {
  /// Swaps confirmed.
  int64_t Swapped = 0;
  /// Orders that the endpoint refused or failed.
  int64_t Failed = 0;
  /// Orders without an answer.
  int64_t Unanswered = 0;
};

/// The weight controller of one engine. At most one order is outstanding, and
/// none goes out before the boot's standing and the endpoint's version are
/// known.
class WeightController {
public:
  /// @param Settings the settings.
  explicit WeightController(WeightSettings Settings);

  /// @param Event what happened.
  /// @param Now when.
  /// @return what to do, in order.
  std::vector<WeightAction> handle(const WeightEvent &Event, Millis Now);

  /// @return when WeightTick is due.
  [[nodiscard]] Millis nextDeadline() const;

  /// @return the version that the endpoint confirmed last, unless in doubt.
  ///         While an order is out the endpoint may have a newer one.
  [[nodiscard]] std::optional<WeightVersion> confirmed() const;

  /// @return the newest version announced, if any.
  [[nodiscard]] std::optional<WeightVersion> wanted() const;

  /// @return whether a swap is under way.
  [[nodiscard]] bool swapping() const;

  /// An order without an answer may still take effect. Until the endpoint has
  /// the ordered version, or answers a later order, no label can be trusted.
  /// @return whether what the endpoint reports is in doubt.
  [[nodiscard]] bool inDoubt() const { return this->Doubt; }

  /// @param Policy when to swap, for versions announced from now on.
  void change(SwapPolicy Policy) { this->Settings.Policy = Policy; }

  /// @return counts since the boot.
  [[nodiscard]] const WeightCounts &counts() const { return this->Counts; }

private:
  /// What is outstanding at the endpoint.
  enum class Phase : uint8_t {
    Unknown,  ///< The version has to be asked for.
    Asking,   ///< The version was asked for.
    Settled,  ///< The version is known; no order is out.
    Swapping, ///< An order is out.
  };

  /// Actions under construction.
  using Actions = std::vector<WeightAction>;

  /// @name Handlers, one for each event; each adds to the actions.
  /// @{
  void on(const WeightsAnnounced &Event, Millis Now, Actions &Out);
  void on(const OrdersAllowed &Event, Millis Now, Actions &Out);
  void on(const OrdersForbidden &Event, Millis Now, Actions &Out);
  void on(const OrderDone &Event, Millis Now, Actions &Out);
  void on(const OrderFailed &Event, Millis Now, Actions &Out);
  void on(const OrderLost &Event, Millis Now, Actions &Out);
  void on(const VersionAnswered &Event, Millis Now, Actions &Out);
  void on(const VersionUnanswered &Event, Millis Now, Actions &Out);
  void on(const EndpointRestarted &Event, Millis Now, Actions &Out);
  void on(const WeightTick &Event, Millis Now, Actions &Out);
  /// @}

  /// Takes the next step towards the wanted version, if one is due.
  void advance(Millis Now, Actions &Out);
  /// Asks the endpoint for its version.
  void ask(Millis Now, Actions &Out);
  /// Sends the order for the wanted version.
  void order(Millis Now, Actions &Out);
  /// The endpoint's version became known.
  void settle(WeightVersion Version, Actions &Out);
  /// Doubts what the endpoint reports from now on.
  void doubt(Actions &Out);
  /// Gives the outstanding order up without an answer.
  void loseOrder(Millis Now, Actions &Out);
  /// Takes the duration of a swap into the average.
  void learnDuration(Millis Took);
  /// Puts the next try off after a failure.
  void backOff(Millis Now);

  /// The settings in force.
  WeightSettings Settings;
  /// What is outstanding.
  Phase State = Phase::Unknown;
  /// The confirmed version, while Settled, else the last one.
  WeightVersion Version{-1};
  /// The version to reach.
  std::optional<WeightsAnnounced> Wanted;
  /// When the wanted version's turn comes.
  Millis Turn;
  /// Earliest time of the next try after a failure.
  Millis RetryAt;
  /// When the outstanding order or question counts as unanswered.
  Millis GiveUpAt = Never;
  /// When the outstanding order was sent.
  Millis OrderedAt;
  /// How long swaps take here; zero: none was seen.
  Millis Duration;
  /// Failures in a row.
  int Failures = 0;
  /// The number of the last order or question.
  int64_t LastNumber = 0;
  /// Whether what the endpoint reports is in doubt.
  bool Doubt = true;
  /// The version of the last order.
  WeightVersion Ordered{-1};
  /// The version of an order that may still take effect.
  std::optional<WeightVersion> Pending;
  /// The fencing number, while orders are allowed.
  std::optional<LogOffset> Fence;
  /// Counts since the boot.
  WeightCounts Counts;
};

/// @param Policy the policy.
/// @param Endpoint the engine.
/// @param Announced the version, with the number of engines and the rank.
/// @return how long after the announcement the engine's turn comes.
Millis swapDelay(const SwapPolicy &Policy, const EndpointId &Endpoint,
                 const WeightsAnnounced &Announced);

/// @param Engines all engines of the model, in any order.
/// @param Endpoint one of them.
/// @param Version the version to swap to.
/// @return the engine's place in the order of swapping, equal on every host;
///         -1 if it is not among them.
int swapRank(std::span<const EndpointId> Engines, const EndpointId &Endpoint,
             WeightVersion Version);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_WEIGHT_BASE_H
