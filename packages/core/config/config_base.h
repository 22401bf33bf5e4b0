/// @file
/// Spreads the accepted configuration from the log to every process.

#ifndef CAMPHORNOTCH_CORE_CONFIG_CONFIG_BASE_H
#define CAMPHORNOTCH_CORE_CONFIG_CONFIG_BASE_H

#include "core/config/config_type.h"

#include <deque>
#include <map>
#include <vector>

namespace camphornotch {

/// Applies configuration that the fold or a peer shows, never below an offset
/// that was applied, and brings peers that are behind up to date.
class ConfigController {
public:
  /// @param Settings how configuration spreads.
  explicit ConfigController(ConfigSettings Settings);

  /// @param Event what happened.
  /// @param Now the time.
  /// @return what to do, in order.
  std::vector<ConfigAction> handle(const ConfigEvent &Event, Millis Now);

  /// @return when handle(ConfigTick{}, Now) is due.
  Millis nextDeadline() const;

  /// @return the configuration in force.
  const AcceptedConfig &inForce() const { return this->Current; }

  /// Whether this process may serve: it holds the highest configuration that
  /// the log shows or, with the log down, the highest that its peers show.
  /// @param Now the time.
  /// @return whether it may.
  bool ready(Millis Now) const;

  /// @return the offset that each linked peer showed last.
  std::map<HostId, LogOffset> peerOffsets() const;

private:
  /// A linked peer.
  struct Peer {
    bool IsAgent = false;
    DataCentreId DataCentre;
    /// What it showed last.
    LogOffset Held = NoOffset;
    /// What was pushed to it last.
    LogOffset Pushed = NoOffset;
    /// When this process may push to it, should it still be behind.
    Millis PushAt = Never;
    /// When it is to be asked, should it still be ahead.
    Millis PullAt = Never;
    /// The next push carries the whole text.
    bool NeedsWhole = false;
  };

  /// The list that actions are put into.
  using Actions = std::vector<ConfigAction>;

  void on(const ConfigFolded &Event, Millis Now, Actions &Out);
  void on(const ConfigLogState &Event, Millis Now, Actions &Out);
  void on(const ConfigPeerUp &Event, Millis Now, Actions &Out);
  void on(const ConfigPeerDown &Event, Millis Now, Actions &Out);
  void on(const ConfigPeerBeat &Event, Millis Now, Actions &Out);
  void on(const ConfigEntries &Event, Millis Now, Actions &Out);
  void on(const ConfigPushed &Event, Millis Now, Actions &Out);
  void on(const ConfigPulled &Event, Millis Now, Actions &Out);
  void on(const ConfigTick &Event, Millis Now, Actions &Out);

  /// Puts a newer configuration in force and plans pushes to peers.
  void apply(AcceptedConfig Config, Millis Now, Actions &Out);
  /// Plans what a peer's offset calls for.
  void review(const HostId &Host, Peer &State, Millis Now, Actions &Out);
  /// Sends what a peer lacks.
  void push(const HostId &Host, Peer &State, Millis Now, Actions &Out);
  /// @param Offset an offset.
  /// @return the earlier configuration of that offset; null if forgotten.
  const AcceptedConfig *earlier(LogOffset Offset) const;
  /// @param Host a peer.
  /// @param State the peer.
  /// @return whether this process is the one that pushes to it first.
  bool responsibleFor(const HostId &Host, const Peer &State) const;
  /// Applies a push.
  /// @return the error if the push cannot be used.
  Result<AcceptedConfig> read(const wire::ConfigPush &Push) const;

  /// How configuration spreads.
  ConfigSettings Settings;
  /// The configuration in force.
  AcceptedConfig Current;
  /// The ones before, the newest last, as bases of deltas.
  std::deque<AcceptedConfig> Earlier;
  /// Linked peers.
  std::map<HostId, Peer> Peers;
  /// Live entries of this data centre.
  std::vector<HostId> Entries;
  /// What is known of the log.
  ConfigLogState Log;
  /// When the first peer was linked.
  Millis FirstPeerAt = Never;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CONFIG_CONFIG_BASE_H
