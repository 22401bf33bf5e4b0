/// @file
/// Settings, events and actions of the weight controller.

#ifndef CAMPHORNOTCH_CORE_AGENT_WEIGHT_TYPE_H
#define CAMPHORNOTCH_CORE_AGENT_WEIGHT_TYPE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// Baseline policy: every engine swaps as soon as it hears of a version.
struct SwapAllAtOnce {};

/// Default policy: engines swap in waves, each engine in the wave that its
/// rendezvous rank for the version gives it.
struct SwapStaggered {
  /// Share of a model's engines that swap at once at most, in percent.
  int64_t MaxSwappingPercent = 50;
  /// Engines that swap at once at most; 0: no bound but the share.
  int64_t MaxSwapping = 0;
  /// Time within which all engines must have begun.
  Millis Spread = seconds(10);
  /// How long one swap is expected to take, until the engine has seen one.
  Millis ExpectedSwap = seconds(2);
};

/// When an engine swaps after it heard of a version.
using SwapPolicy = std::variant<SwapStaggered, SwapAllAtOnce>;

/// Settings of a weight controller.
struct WeightSettings {
  /// The endpoint, for its rank.
  EndpointId Endpoint;
  /// The model that it serves.
  std::string Model;
  /// When to swap.
  SwapPolicy Policy = SwapStaggered{};
  /// Silence after which an order is taken for unanswered.
  Millis OrderTimeout = seconds(8);
  /// Silence after which a question for the version is asked again.
  Millis QueryTimeout = seconds(1);
  /// Wait after the first failure; doubles with each further one.
  Millis FirstBackoff = Millis{100};
  /// Longest wait after a failure.
  Millis MaxBackoff = seconds(1);
};

/// A version was announced.
struct WeightsAnnounced {
  /// The version.
  WeightVersion Version;
  /// Where its weights are.
  std::string Location;
  /// Engines of the model, for the number of waves; at least 1.
  int Engines = 1;
  /// Rank of this engine among them by rendezvous; -1: use the hash alone.
  int Rank = -1;
};

/// The boot's record is committed or its standing was confirmed: orders may
/// go out under this number.
struct OrdersAllowed {
  /// The fencing number of the boot.
  LogOffset Fence;
};

/// The boot's standing is in doubt: no orders.
struct OrdersForbidden {};

/// The endpoint answered an order: the swap is done.
struct OrderDone {
  /// The number of the order.
  int64_t Order = 0;
  /// The version that the endpoint says it has now.
  WeightVersion Version;
};

/// The endpoint answered an order: it failed, or the number is stale.
struct OrderFailed {
  /// The number of the order.
  int64_t Order = 0;
  /// Whether a newer agent's order was seen by the endpoint.
  bool StaleFence = false;
};

/// An order's answer cannot come any more.
struct OrderLost {
  /// The number of the order.
  int64_t Order = 0;
};

/// The endpoint told its version.
struct VersionAnswered {
  /// The number of the question.
  int64_t Query = 0;
  /// The version.
  WeightVersion Version;
};

/// The question was not answered.
struct VersionUnanswered {
  /// The number of the question.
  int64_t Query = 0;
};

/// The endpoint crashed or restarted: what it runs is not known.
struct EndpointRestarted {};

/// The deadline of nextDeadline() was reached.
struct WeightTick {};

/// What the weight controller reacts to.
using WeightEvent =
    std::variant<WeightsAnnounced, OrdersAllowed, OrdersForbidden, OrderDone,
                 OrderFailed, OrderLost, VersionAnswered, VersionUnanswered,
                 EndpointRestarted, WeightTick>;

/// Order the endpoint to load a version.
struct SendOrder {
  /// The number of the order.
  int64_t Order = 0;
  /// The version.
  WeightVersion Version;
  /// Where its weights are.
  std::string Location;
  /// The fencing number.
  LogOffset Fence;
};

/// Ask the endpoint for its version.
struct AskVersion {
  /// The number of the question.
  int64_t Query = 0;
};

/// What the endpoint reports of its version is in doubt from now on.
struct LabelInDoubt {};

/// The endpoint has confirmed its version: its reports count again.
struct LabelConfirmed {
  /// The version.
  WeightVersion Version;
};

/// A newer agent is in charge of the endpoint: this one must leave.
struct Superseded {};

/// What the weight controller asks for.
using WeightAction = std::variant<SendOrder, AskVersion, LabelInDoubt,
                                  LabelConfirmed, Superseded>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_WEIGHT_TYPE_H
