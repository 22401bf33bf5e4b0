/// @file
/// The settings of the daemon for each role.

#ifndef CAMPHORNOTCH_BASE_SETTINGS_TYPE_H
#define CAMPHORNOTCH_BASE_SETTINGS_TYPE_H

#include "base/address_type.h"
#include "base/error_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// Settings of all roles; table/settings.h has names, defaults and ranges.
struct CommonSettings {
  /// The role of the process: entry, agent, gateway or loader.
  std::string Role;
  /// The name of the host in the host list.
  std::string Host;
  /// The data centre of the host.
  std::string DataCentre;
  /// The region of the host.
  std::string Region;
  /// The address that peers connect to.
  Address ListenLinks;
  /// The HTTP address for callers, health probes and metrics.
  Address ListenHttp;
  /// The address of the log service; required for entries.
  Address LogService;
  /// The address of the host list; required for entries.
  Address HostList;
  /// The operator's interface for duties; port 0: there are no duties.
  Address DutyService;
  /// Length of a window of usage reports, in seconds; empty: 5.
  std::string UsageWindowSeconds;
  /// The address of the weight store; empty: versions come from the log.
  Address WeightStore;
  /// Time between heartbeats of a link.
  Millis Heartbeat;
  /// Time without messages after which a link opens a new connection.
  Millis LinkSilence;
  /// Timeout for opening a connection.
  Millis ConnectTimeout;
  /// Initial delay before reconnecting; it doubles up to 16 times this value.
  Millis ReconnectDelay;
  /// Time between reads of the host list.
  Millis HostListPoll;
  /// Longest time that a read of the log waits for a record.
  Millis LogPollWait;
  /// Longest time that a record waits to be appended in one batch with others.
  Millis AppendFlush;
  /// How long the log keeps records; state is carried forward at half of it.
  Millis LogRetention;
  /// Time between queries for the newest version of a model.
  Millis WeightPoll;
  /// Size at which collected records are appended immediately.
  int64_t AppendMaxBytes = 0;
  /// Maximum rate of appends by this process.
  int64_t AppendsPerSecond = 0;
  int64_t MaxBodyBytes = 0;
  /// Largest size of all headers of a request.
  int64_t MaxHeaderBytes = 0;
  /// Maximum number of open requests; more are refused.
  int64_t MaxOpenRequests = 0;
  /// Maximum size of the answers kept for peers until they acknowledge them.
  int64_t MaxAnswerBytesHeld = 0;
  /// Memory of the host for this process, in megabytes (10^6 bytes); 0: the
  /// memory held for clients has no limit.
  int64_t MemoryMb = 0;
  /// File descriptors that the host allows the process; 0: the number of
  /// connections has no limit.
  int64_t FileDescriptors = 0;
  /// Connections of callers; 0: half of FileDescriptors.
  int64_t MaxClientConnections = 0;
  /// Connections of callers from one address; 0: three quarters of those in
  /// all.
  int64_t MaxConnectionsPerAddress = 0;
  /// Bytes a second at which a request has to arrive; 0: any.
  int64_t MinRequestRate = 0;
  /// Time from the first byte of a request before MinRequestRate applies.
  Millis RequestRateGrace;
  /// Time without progress after which an unread response may be dropped to
  /// make room.
  Millis UnreadGrace;
  /// Time that open requests have to finish after SIGTERM.
  Millis StopGrace;
  /// The lowest level that is written.
  std::string LogLevel;
  /// The path of the log file; empty: standard output.
  std::string LogFile;
  /// Given values that could not be used, each with the one in its place.
  std::vector<std::string> Replaced;
};

/// Settings of an entry.
struct EntrySettings {
  CommonSettings Common;
  /// Number of ranges of idempotency keys; must be equal on all entries.
  int64_t KeyShards = 0;
  /// Number of links to entries of each other data centre.
  int64_t RemoteLinks = 0;
  /// Maximum size of finished samples kept for trainers; further samples wait
  /// in agents.
  int64_t MaxSampleBytesHeld = 0;
  /// Deadline of a request that gives none.
  Millis DefaultDeadline;
  /// Time after SIGTERM in which requests are still accepted; StopGrace starts
  /// at its end.
  Millis StopAccept;
};

/// Settings of an agent.
struct AgentSettings {
  CommonSettings Common;
  std::string EndpointName;
  /// The kind of endpoint.
  std::string EndpointKind;
  /// The model of the engine or the name of the service.
  std::string Serves;
  Address EndpointAddress;
  /// Whether the endpoint refuses orders with an old fencing number.
  bool HonoursFencing = false;
  /// Maximum number of units of work that run concurrently.
  int64_t Slots = 0;
  /// Slots reserved for short work.
  int64_t ShortReserve = 0;
  /// Maximum number of waiting units of work; more are refused.
  int64_t MaxQueued = 0;
  /// Loopback port that the agent binds to prevent a second agent from
  /// starting; 0: none.
  int64_t GuardPort = 0;
  /// Number of calls that may run at most once whose answers are kept.
  int64_t IntentMemory = 0;
  /// Time between reads of the load of the endpoint.
  Millis LoadPoll;
  /// Time after which a weight swap counts as unanswered.
  Millis SwapTimeout;
};

/// Settings of a gateway.
struct GatewaySettings {
  CommonSettings Common;
  /// The address that other gateways connect to.
  Address ListenPeers;
  /// The address that callers connect to.
  Address Front;
  /// The address of the store of the platform.
  Address Store;
  /// "data centre=region" for all data centres, separated by commas.
  std::string Regions;
  /// Time that the platform gives the process after SIGTERM, in seconds.
  std::string GraceSeconds;
  /// Number of partitions of batch submissions; must be equal on all gateways.
  int64_t Partitions = 0;
  /// Largest record of the store.
  int64_t RecordBytes = 0;
  /// How long an ended submission can still be read.
  Millis SubmissionLifetime;
  /// How to choose among suitable endpoints.
  std::string EndpointChoice;
  /// The order in which waiting items start.
  std::string ItemOrder;
  /// Whether items move away from engines that are much slower than others.
  bool MoveItems = true;
  /// Whether items that will probably be left unfinished run a second time.
  bool SecondRuns = true;
};

/// Settings of a loader.
struct LoaderSettings {
  CommonSettings Common;
  /// The address of the store of the platform.
  Address LoaderStore;
  /// The address of the engine of this loader.
  Address Engine;
  /// The service of the engine.
  std::string EngineService;
  /// Time between reads of the report of the engine.
  Millis ReportPoll;
};

/// The settings of one process, by its role.
using DaemonSettings =
    std::variant<EntrySettings, AgentSettings, GatewaySettings, LoaderSettings>;

/// Settings, or all their errors.
using SettingsResult =
    boost::outcome_v2::basic_result<DaemonSettings, std::vector<Error>,
                                    boost::outcome_v2::policy::terminate>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_SETTINGS_TYPE_H
