/// @file
/// Distributes the accepted configuration from the log to every process.

#ifndef CAMPHORNOTCH_CORE_CONFIG_CONFIG_BASE_H
#define CAMPHORNOTCH_CORE_CONFIG_CONFIG_BASE_H

#include "core/config/config_type.h"

#include <deque>
#include <map>
#include <vector>

namespace camphornotch {

/// Applies configurations from the log or from peers, only ever newer ones, and
/// sends the active one to peers that are behind.
class ConfigController {
public:
  explicit ConfigController(ConfigSettings Settings);

  /// Handles an event.
  /// @return what to do, in order.
  std::vector<ConfigAction> handle(const ConfigEvent &Event, Millis Now);

  /// When handle(ConfigTick{}, Now) is due.
  Millis nextDeadline() const;

  const AcceptedConfig &activeConfig() const { return this->Current; }

  /// Whether this process may serve: it has the newest configuration of the log
  /// or, while the log is down, the newest that its peers reported.
  bool ready(Millis Now) const;

  /// The offset that each linked peer reported last.
  std::map<HostId, LogOffset> peerOffsets() const;

private:
  /// A linked peer.
  struct Peer {
    bool IsAgent = false;
    DataCentreId DataCentre;
    /// The offset of its configuration as it reported last.
    LogOffset ReportedOffset = NoOffset;
    /// The offset that was pushed to it last.
    LogOffset PushedOffset = NoOffset;
    /// When to push to it if it is still behind.
    Millis PushAt = Never;
    /// When to request its configuration if it is still ahead.
    Millis PullAt = Never;
    /// The next push carries the full text instead of a delta.
    bool NeedsFullText = false;
  };

  using Actions = std::vector<ConfigAction>;

  void on(const ConfigFolded &Event, Millis Now, Actions &Out);
  void on(const ConfigLogState &Event, Millis Now, Actions &Out);
  void on(const ConfigPeerUp &Event, Millis Now, Actions &Out);
  void on(const ConfigPeerDown &Event, Millis Now, Actions &Out);
  void on(const ConfigPeerHeartbeat &Event, Millis Now, Actions &Out);
  void on(const ConfigEntries &Event, Millis Now, Actions &Out);
  void on(const ConfigPushed &Event, Millis Now, Actions &Out);
  void on(const ConfigPulled &Event, Millis Now, Actions &Out);
  void on(const ConfigTick &Event, Millis Now, Actions &Out);

  /// Activates a newer configuration and schedules pushes to peers.
  void apply(AcceptedConfig Config, Millis Now, Actions &Out);
  /// Schedules a pull from a peer that is ahead, or a push to one that is
  /// behind; pushes at once if this process is responsible for the peer.
  void scheduleTransfer(const HostId &Host, Peer &State, Millis Now,
                        Actions &Out);
  /// Sends a delta if the peer's configuration is still held and the delta is
  /// shorter, else the full text.
  void push(const HostId &Host, Peer &State, Millis Now, Actions &Out);
  /// The earlier configuration with that offset; null if no longer held.
  const AcceptedConfig *findEarlier(LogOffset Offset) const;
  /// Whether this process is the one that pushes to the peer first.
  bool isResponsibleFor(const HostId &Host, const Peer &State) const;
  /// Decodes a push.
  /// @return the error if it cannot be used.
  Result<AcceptedConfig> decodePush(const wire::ConfigPush &Push) const;

  ConfigSettings Settings;
  /// The active configuration.
  AcceptedConfig Current;
  /// The configurations before it, newest last, as bases of deltas.
  std::deque<AcceptedConfig> Earlier;
  std::map<HostId, Peer> Peers;
  /// Live entries of this data centre, including this process.
  std::vector<HostId> Entries;
  ConfigLogState Log;
  /// When the first peer was linked.
  Millis FirstPeerAt = Never;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CONFIG_CONFIG_BASE_H
