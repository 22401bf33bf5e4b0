/// @file
/// Events and actions of the configuration controller.

#ifndef CAMPHORNOTCH_CORE_CONFIG_CONFIG_TYPE_H
#define CAMPHORNOTCH_CORE_CONFIG_CONFIG_TYPE_H

#include "base/error_type.h"
#include "base/millis_type.h"
#include "core/fold/fold_state_type.h"

#include <variant>

namespace camphornotch {

/// Settings of the configuration controller.
struct ConfigSettings {
  /// This process's host.
  HostId Self;
  /// This process's data centre.
  DataCentreId DataCentre;
  /// Whether the process reads the log; else it learns from peers only.
  bool ReadsLog = false;
  /// Time for the responsible entry to push before other entries do, and for a
  /// push to show in a heartbeat before it is repeated.
  Millis PushTimeout{700};
  /// How long a peer may report a newer configuration before it is requested.
  Millis PullDelay{300};
  /// How long a process waits for peers after its start while the log is down.
  Millis StartupPeerWait{3000};
};

/// The fold of the log accepted a configuration, or was restored.
struct ConfigFolded {
  AcceptedConfig Config;
};

/// Whether the log can be reached, and whether it is read up to its end.
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
struct ConfigPeerHeartbeat {
  HostId Peer;
  LogOffset Offset = NoOffset;
  int64_t Hash = 0;
};

/// The entries of this data centre that are taken as live, including this one.
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

using ConfigEvent =
    std::variant<ConfigFolded, ConfigLogState, ConfigPeerUp, ConfigPeerDown,
                 ConfigPeerHeartbeat, ConfigEntries, ConfigPushed, ConfigPulled,
                 ConfigTick>;

/// Activate this configuration.
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

/// A peer's configuration cannot be used, to be logged: a push that fails, or a
/// heartbeat with another hash at the same offset.
struct PeerConfigRejected {
  HostId Peer;
  LogOffset Offset;
  Error Cause;
};

using ConfigAction = std::variant<ApplyConfig, SendConfigPush, SendConfigPull,
                                  PeerConfigRejected>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CONFIG_CONFIG_TYPE_H
