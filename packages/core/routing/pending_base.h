/// @file
/// The slots of one pool that wait for an endpoint, in the order to send.

#ifndef CAMPHORNOTCH_CORE_ROUTING_PENDING_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_PENDING_BASE_H

#include "core/routing/rollout_type.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphornotch {

/// Waiting slots: trainers in turn by what they have running, older steps
/// first. Of each group one member goes first; what it turns out to need
/// orders the rest, the longest groups first, since members of a group have
/// like lengths and a long sample that starts last makes the step late.
/// Among groups of like length an endpoint gets the one whose prompt it has.
class PendingSlots {
public:
  /// Adds a slot that was not sent yet.
  /// @param Spec the slot.
  void add(const RolloutSpec &Spec);

  /// Adds a slot that is to be sent again, before all fresh ones.
  /// @param Spec the slot.
  /// @param NotBefore when.
  void addAgain(const RolloutSpec &Spec, Millis NotBefore);

  /// A sample of a group is whole: what is left of the group is expected to
  /// be like it.
  /// @param Spec its slot.
  /// @param Tokens its length.
  void noteLength(const RolloutSpec &Spec, int64_t Tokens);

  /// Takes the slot to send next.
  /// @param Endpoint where a place is free.
  /// @param Now the time.
  /// @param Running attempts of each trainer; fewer goes first.
  /// @return the slot, if one may go now.
  std::optional<SlotRef> take(EndpointIndex Endpoint, Millis Now,
                              const std::map<TrainerId, int64_t> &Running);

  /// @param Now the time.
  /// @param Running attempts of each trainer.
  /// @return attempts of the trainer whose turn it is; -1 if a slot that is
  ///         to be sent again goes first.
  /// @pre hasReady().
  int64_t turn(Millis Now, const std::map<TrainerId, int64_t> &Running) const;

  /// @return whether no slot waits.
  bool empty() const { return this->Count == 0; }

  /// @return how many slots wait.
  size_t size() const { return this->Count; }

  /// @param Now the time.
  /// @return whether a slot may be sent now.
  bool hasReady(Millis Now) const;

  /// @return when the next slot that is to be sent again may go; Never if
  ///         none.
  Millis nextRetry() const;

private:
  /// A group's slots that were never sent.
  struct PendingGroup {
    /// The slots, last one first.
    std::vector<SlotRef> Slots;
    /// Members that were sent.
    int64_t Sent = 0;
    /// Members that are whole.
    int64_t Whole = 0;
    /// Tokens of the members that are whole.
    int64_t WholeTokens = 0;

    /// @return the mean length of the members that are whole; if there are
    ///         none, Unknown.
    double meanLength() const;
  };

  /// The waiting slots of one step.
  struct PendingStep {
    /// Groups by name that still have slots.
    std::map<std::string, PendingGroup> Groups;
    /// Groups of which none was sent, in the order of arrival.
    std::deque<std::string> Unsent;
    /// The group whose prompt an endpoint got last.
    std::map<EndpointIndex, std::string> Homes;
  };

  /// The waiting slots of one trainer.
  using PendingTrainer = std::map<int64_t, PendingStep>;

  /// A slot that waits for its time to be sent again.
  struct Again {
    /// When.
    Millis NotBefore;
    /// In which order.
    int64_t Step = 0;
    /// Which.
    SlotRef Slot;
    /// Orders by time, then step.
    auto operator<=>(const Again &) const = default;
  };

  /// @param Running attempts of each trainer.
  /// @return the trainer whose turn it is.
  PendingTrainer &nextTrainer(const std::map<TrainerId, int64_t> &Running);

  /// Takes one slot of a step.
  /// @param Step the step.
  /// @param Endpoint where a place is free.
  /// @return the slot.
  static SlotRef takeFromStep(PendingStep &Step, EndpointIndex Endpoint);

  /// @param Step the step.
  /// @return the group expected to have the longest samples.
  static const std::string &longestGroup(const PendingStep &Step);

  /// Chooses the group to send from.
  /// @param Step the step.
  /// @param Endpoint where a place is free.
  /// @return a group that has slots.
  static std::string chooseGroup(PendingStep &Step, EndpointIndex Endpoint);

  /// Fresh slots by trainer and step.
  std::map<TrainerId, PendingTrainer> Fresh;
  /// Slots that are to be sent again.
  std::set<Again> Retries;
  /// How many slots wait.
  size_t Count = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_PENDING_BASE_H
