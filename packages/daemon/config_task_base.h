/// @file
/// The entry's task for configuration: from the log and peers to all peers.

#ifndef CAMPHORNOTCH_DAEMON_CONFIG_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_CONFIG_TASK_BASE_H

#include "core/config/config_base.h"
#include "core/fold/fold_change_type.h"
#include "daemon/link_task_base.h"
#include "daemon/log_task_base.h"

namespace camphornotch {

/// Runs the configuration controller of an entry.
class ConfigTask {
public:
  /// @param Events the loop.
  /// @param Links carries the messages.
  /// @param Log holds the folded state.
  /// @param Settings the common settings.
  ConfigTask(Loop &Events, LinkTask &Links, const LogTask &Log,
             const CommonSettings &Settings);

  /// Begins to look at deadlines.
  void start();

  /// A peer's link is up.
  /// @param Up the event.
  void linkUp(const LinkUp &Up);

  /// A peer cannot be reached any more.
  /// @param Peer its host.
  void linkDown(const HostId &Peer);

  /// Takes a peer's message about configuration, heartbeats included.
  /// @param Peer the sender.
  /// @param Message the message.
  void take(const HostId &Peer, const wire::PeerMessage &Message);

  /// The folded state changed.
  /// @param Changes what changed.
  void changed(const std::vector<FoldChange> &Changes);

  /// Fills the heartbeats of this entry.
  /// @param Beat the heartbeat.
  void fill(wire::Heartbeat &Beat) const;

  /// @return the configuration in force.
  const AcceptedConfig &inForce() const {
    return this->Controller.activeConfig();
  }

  /// @return whether the configuration is as new as can be known.
  bool ready();

private:
  /// Hands an event to the controller and does what it asks for.
  /// @param Event the event.
  void handle(const ConfigEvent &Event);
  /// Tells the controller which entries are present in this data centre.
  void tellEntries();
  /// Looks at the deadline, again and again.
  void tick();

  /// @name What the controller asks for
  /// @{
  void act(const ApplyConfig &Action);
  void act(const SendConfigPush &Action);
  void act(const SendConfigPull &Action);
  void act(const PeerConfigRejected &Action);
  /// @}

  /// The loop.
  Loop &Events;
  /// Carries the messages.
  LinkTask &Links;
  /// Holds the folded state.
  const LogTask &Log;
  /// The common settings.
  const CommonSettings &Settings;
  /// Decides.
  ConfigController Controller;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_CONFIG_TASK_BASE_H
