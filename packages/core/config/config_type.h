/// @file
/// Events and actions of the configuration controller.

#ifndef CAMPHORNOTCH_CORE_CONFIG_CONFIG_TYPE_H
#define CAMPHORNOTCH_CORE_CONFIG_CONFIG_TYPE_H

#include "base/error_type.h"
#include "base/millis_type.h"
#include "core/fold/fold_state_type.h"

#include <variant>

namespace camphornotch {

/// How configuration spreads.
struct ConfigSettings {
  /// This process's host.
  HostId Self;
  /// This process's data centre.
  DataCentreId DataCentre;
  /// Whether it reads the log; else it learns from peers alone.
  bool ReadsLog = false;
  /// Time for the entry that is responsible for a peer to push, before others
  /// do, and for a push to show in a heartbeat before it is repeated.
  Millis PushPatience{700};
  /// Time that a peer may show a newer configuration before it is asked.
  Millis PullPatience{300};
  /// How long a fresh process waits for peers while the log is down.
  Millis FreshWait{3000};
};

/// The fold accepted a configuration, or was restored.
struct ConfigFolded {
  AcceptedConfig Config;
};

/// Whether the log is read up to its end (its state is known), or is down.
struct ConfigLogState {
  bool Reachable = false;
  bool CaughtUp = false;
};

/// A peer was linked, or linked again.
struct ConfigPeerUp {
  HostId Peer;
  /// Whether it is an agent; else an entry.
  bool IsAgent = false;
  DataCentreId DataCentre;
  /// The configuration it has applied; NoOffset: none.
  LogOffset Offset = NoOffset;
};

/// A peer cannot be reached.
struct ConfigPeerDown {
  HostId Peer;
};

/// A peer's heartbeat.
struct ConfigPeerBeat {
  HostId Peer;
  LogOffset Offset = NoOffset;
  int64_t Hash = 0;
};

/// The entries of this data centre that are believed live, with this one.
struct ConfigEntries {
  std::vector<HostId> Entries;
};

/// A peer pushed a configuration.
struct ConfigPushed {
  HostId Peer;
  wire::ConfigPush Push;
};

/// A peer asked for the configuration.
struct ConfigPulled {
  HostId Peer;
  wire::ConfigPull Pull;
};

/// The deadline passed.
struct ConfigTick {};

/// What the controller handles.
using ConfigEvent = std::variant<ConfigFolded, ConfigLogState, ConfigPeerUp,
                                 ConfigPeerDown, ConfigPeerBeat, ConfigEntries,
                                 ConfigPushed, ConfigPulled, ConfigTick>;

/// Put this configuration in force.
struct ApplyConfig {
  AcceptedConfig Config;
};

/// Send a push to a peer.
struct SendConfigPush {
  HostId Peer;
  wire::ConfigPush Push;
};

/// Ask a peer for its configuration.
struct SendConfigPull {
  HostId Peer;
  wire::ConfigPull Pull;
};

/// A push could not be used; worth a log line.
struct ConfigPushBad {
  HostId Peer;
  LogOffset Offset;
  Error Cause;
};

/// What the controller asks for.
using ConfigAction =
    std::variant<ApplyConfig, SendConfigPush, SendConfigPull, ConfigPushBad>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CONFIG_CONFIG_TYPE_H
