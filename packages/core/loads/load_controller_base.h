/// @file
/// Decides when the engine beside this process loads newer weights.

#ifndef CAMPHORNOTCH_CORE_LOADS_LOAD_CONTROLLER_BASE_H
#define CAMPHORNOTCH_CORE_LOADS_LOAD_CONTROLLER_BASE_H

#include "core/loads/load_type.h"

#include <optional>
#include <vector>

namespace camphornotch {

/// The engine's rank among the engines of its service.
struct EnginePlace {
  /// Rank by id, from 0.
  int64_t Rank = 0;
  /// Number of engines.
  int64_t Count = 1;

  bool operator==(const EnginePlace &) const = default;
};

/// Decides when one engine loads which version; deterministic, without I/O.
/// Several trainers publish weights every few seconds, but only few engines can
/// load at once without slowing each other. Each engine keeps two of the models
/// current. The engines of a model form two halves that load alternate
/// versions: when a version is announced, one half already has the previous
/// one, which a step may use. Within a half the engines load one after another.
class LoadController {
public:
  /// Notes a version that a trainer announced.
  /// @param Version a version older than the newest is ignored.
  void versionAnnounced(const std::string &Model, int64_t Version, Millis Now);

  /// Notes the oldest version that submitted work accepts.
  void versionRequired(const std::string &Model, int64_t Version);

  /// Notes the engine's rank. A change takes effect after PlaceSettleTime,
  /// since engines that are replaced or register again shift the ranks of
  /// others.
  void placeChanged(EnginePlace Place, Millis Now);

  /// Notes that the engine did not answer or has another id, so may be
  /// restarting. Loading waits until it is stable: a load that a crash aborts
  /// only slows the loads of other engines.
  void engineLost() { this->IsLost = true; }

  /// @return the order to send; absent if none is due.
  std::optional<LoadOrder> decide(const EngineReport &Report, Millis Now);

  /// Notes that an order was sent; the next waits for UnansweredWait.
  void orderSent(Millis Now);

  /// Notes that the engine answered the order.
  /// @param Accepted whether it is being executed or the engine already has the
  ///        version.
  void orderAnswered(bool Accepted, Millis Now);

private:
  /// Versions of a model that trainers announced and work requires.
  struct ModelVersionInfo {
    /// The newest version announced.
    int64_t Announced = 0;
    Millis AnnouncedAt{0};
    /// The oldest version that submitted work accepts.
    int64_t Required = 0;
  };

  /// @param ModelIndex index of a model among the engine's models.
  /// @param ModelCount number of models of the engine.
  /// @return 0 or 1, the half of the model's engines that includes this one;
  ///         absent if this engine does not keep the model.
  std::optional<int64_t> halfOf(int64_t ModelIndex, int64_t ModelCount) const;
  /// @return how long the engine waits for others to load first.
  Millis turnDelay(int64_t ModelCount) const;
  /// Delays the next order if the engine restarted or was lost.
  void delayAfterRestart(const EngineReport &Report, Millis Now);
  /// @return whether the engine should load the announced version now.
  bool isDue(const ModelVersionInfo &Info, int64_t ModelIndex,
             int64_t ModelCount, int64_t Current, Millis Now) const;

  std::map<std::string, ModelVersionInfo> Models;
  /// The rank in effect.
  EnginePlace Place;
  /// The rank reported last; takes effect after PlaceSettleTime.
  EnginePlace PendingPlace;
  /// When PendingPlace was first reported.
  Millis PendingSince{0};
  /// Whether a rank was reported.
  bool HasPlace = false;
  /// No order before this time.
  Millis NotBefore{0};
  /// Whether the engine was lost since its last report.
  bool IsLost = false;
  /// Orders that the engine had accepted by its last report.
  int64_t LastSequence = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_LOAD_CONTROLLER_BASE_H
