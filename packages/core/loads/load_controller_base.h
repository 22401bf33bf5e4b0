/// @file
/// Decides when the engine beside this process loads newer weights.

#ifndef CAMPHORNOTCH_CORE_LOADS_LOAD_CONTROLLER_BASE_H
#define CAMPHORNOTCH_CORE_LOADS_LOAD_CONTROLLER_BASE_H

#include "core/loads/load_type.h"

#include <optional>
#include <vector>

namespace camphornotch {

/// The engine's place among those of its service.
struct EnginePlace {
  /// Its rank by id, from 0.
  int64_t Rank = 0;
  /// How many there are.
  int64_t Count = 1;

  /// Compares both.
  bool operator==(const EnginePlace &) const = default;
};

/// One loader's decisions; deterministic, without I/O. Answers the load of
/// several trainers whose weights change every few seconds, while only few
/// engines can load at once without slowing each other. Each engine keeps two
/// of the models current, each model is kept by two halves of engines that load
/// every second version: at a new version one half already has the one before,
/// which a step may use. Within a half the engines load in turns.
class LoadController {
public:
  /// Notes a version that a trainer named.
  /// @param Model the model.
  /// @param Version the version; an older one is ignored.
  /// @param Now the time.
  void named(const std::string &Model, int64_t Version, Millis Now);

  /// Notes the oldest version that submitted work will do with.
  /// @param Model the model.
  /// @param Version the version.
  void demanded(const std::string &Model, int64_t Version);

  /// Notes the engine's place. A change counts only after a while, since
  /// engines that are replaced or register again shift the others' places.
  /// @param Place its place.
  /// @param Now the time.
  void placed(EnginePlace Place, Millis Now);

  /// Notes that the engine did not answer, or has another id: it may restart.
  /// Answers the load of engines that crash again and again: a load that a
  /// crash ends slows those of the other engines in vain.
  void lost() { this->Lost = true; }

  /// @param Report what the engine says now.
  /// @param Now the time.
  /// @return the order to send, if one is due.
  std::optional<LoadOrder> decide(const EngineReport &Report, Millis Now);

  /// Notes that an order was sent; none is decided for a while.
  /// @param Now the time.
  void sent(Millis Now);

  /// Notes that the engine answered the order.
  /// @param Accepted whether it is being carried out or already holds.
  /// @param Now the time.
  void answered(bool Accepted, Millis Now);

private:
  /// What is known of a model.
  struct ModelNews {
    /// The newest version named.
    int64_t Named = 0;
    /// When it was named.
    Millis NamedAt{0};
    /// The oldest version that will do for submitted work.
    int64_t Demanded = 0;
  };

  /// @param ModelIndex a model's place among the engine's models.
  /// @param ModelCount how many models the engine has.
  /// @return the half of the model's engines that this one is in; absent: it
  ///         does not keep the model.
  std::optional<int64_t> halfOf(int64_t ModelIndex, int64_t ModelCount) const;
  /// @param ModelCount how many models the engine has.
  /// @return how long the engine waits for others to load first.
  Millis turnDelay(int64_t ModelCount) const;
  /// Waits a while after the engine's return.
  /// @param Report what the engine says now.
  /// @param Now the time.
  void noteReturn(const EngineReport &Report, Millis Now);
  /// @param News a model.
  /// @param ModelIndex its place among the engine's models.
  /// @param ModelCount how many models the engine has.
  /// @param Current the engine's version.
  /// @param Now the time.
  /// @return whether the engine should load the named version now.
  bool isDue(const ModelNews &News, int64_t ModelIndex, int64_t ModelCount,
             int64_t Current, Millis Now) const;

  /// The models.
  std::map<std::string, ModelNews> Models;
  /// The engine's place.
  EnginePlace Place;
  /// A place that differs, and since when it has been told.
  EnginePlace NextPlace;
  /// When the next place was first told.
  Millis NextSince{0};
  /// Whether a place was told.
  bool HasPlace = false;
  /// No order before this time.
  Millis NotBefore{0};
  /// Whether the engine was lost since its last report.
  bool Lost = false;
  /// Orders that the engine had accepted by its last report.
  int64_t LastSequence = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_LOAD_CONTROLLER_BASE_H
