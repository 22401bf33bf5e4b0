/// @file
/// The settings of the daemon, as aggregates.

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

/// What both roles need; table/settings.h has names, defaults and ranges.
struct CommonSettings {
  /// What the process does.
  std::string Role;
  /// The host's name, as in the host list.
  std::string Host;
  /// The data centre it stands in.
  std::string DataCentre;
  /// The region it stands in.
  std::string Region;
  /// Where peers connect to.
  Address ListenLinks;
  /// Where callers, probes and metrics connect to.
  Address ListenHttp;
  /// The log service; entries need it.
  Address LogService;
  /// The host list; entries need it.
  Address HostList;
  /// The weight store; empty: versions come from the log.
  Address WeightStore;
  /// Time between heartbeats of a link.
  Millis Heartbeat;
  /// Silence after which a fresh connection is opened.
  Millis LinkSilence;
  /// Longest wait for a connection.
  Millis ConnectTimeout;
  /// First wait before connecting again; it doubles up to 16 times this.
  Millis ReconnectDelay;
  /// Time between reads of the host list.
  Millis HostListPoll;
  /// Longest time that a read of the log waits for a record.
  Millis LogPollWait;
  /// Longest time that a record waits for others to be appended with.
  Millis AppendFlush;
  /// How long the log keeps records; state is carried forward at half of it.
  Millis LogRetention;
  /// Time between questions for the newest version of a model.
  Millis WeightPoll;
  /// Size at which collected records are appended at once.
  int64_t AppendMaxBytes = 0;
  /// Appends that this process may send a second.
  int64_t AppendsPerSecond = 0;
  /// Longest request body.
  int64_t MaxBodyBytes = 0;
  /// Longest request header block.
  int64_t MaxHeaderBytes = 0;
  /// Requests open at once; more are refused.
  int64_t MaxOpenRequests = 0;
  /// Answers held for peers that have not acknowledged them.
  int64_t MaxAnswerBytesHeld = 0;
  /// Time for open requests to end after SIGTERM.
  Millis StopGrace;
  /// The least level that is written.
  std::string LogLevel;
  /// Where log lines go; empty: standard output.
  std::string LogFile;
};

/// What an entry needs.
struct EntrySettings {
  /// What both roles need.
  CommonSettings Common;
  /// Ranges of idempotency keys; equal on all entries.
  int64_t KeyShards = 0;
  /// Links to entries of each other data centre.
  int64_t RemoteLinks = 0;
  /// Finished samples held for trainers; more waits in agents.
  int64_t MaxSampleBytesHeld = 0;
  /// Deadline of a request that names none.
  Millis DefaultDeadline;
  /// Time after SIGTERM in which requests are still taken; StopGrace counts
  /// from its end.
  Millis StopAccept;
};

/// What an agent needs.
struct AgentSettings {
  /// What both roles need.
  CommonSettings Common;
  /// The endpoint's name.
  std::string EndpointName;
  /// What the endpoint is.
  std::string EndpointKind;
  /// The engine's model or the service's name.
  std::string Serves;
  /// Where the endpoint listens.
  Address EndpointAddress;
  /// Whether it refuses orders with an old fencing number.
  bool HonoursFencing = false;
  /// Work running at once.
  int64_t Slots = 0;
  /// Slots kept free for short work.
  int64_t ShortReserve = 0;
  /// Work waiting at once; more is refused.
  int64_t MaxQueued = 0;
  /// Loopback port whose bind keeps a second agent away; 0: none.
  int64_t GuardPort = 0;
  /// Calls that may run at most once, remembered with their answers.
  int64_t IntentMemory = 0;
  /// Time between reads of the endpoint's load.
  Millis LoadPoll;
  /// Time after which a weight swap counts as unanswered.
  Millis SwapTimeout;
};

/// What a gateway needs.
struct GatewaySettings {
  /// What all roles need.
  CommonSettings Common;
  /// Where other gateways connect to.
  Address ListenPeers;
  /// Where callers connect to.
  Address Front;
  /// The platform's store.
  Address Store;
  /// "data centre=region" for all data centres, separated by commas.
  std::string Regions;
  /// Time that the platform gives after SIGTERM, in seconds.
  std::string GraceSeconds;
  /// Partitions of batch submissions; equal on all gateways.
  int64_t Partitions = 0;
  /// Most bytes of one record of the store.
  int64_t RecordBytes = 0;
  /// How long an ended submission can still be read.
  Millis SubmissionLifetime;
  /// How to choose among endpoints that will do.
  std::string EndpointChoice;
  /// Which waiting items start first.
  std::string ItemOrder;
  /// Whether items move off engines that are much slower than others.
  bool MoveItems = true;
  /// Whether items that will probably be left open run a second time.
  bool SecondRuns = true;
};

/// What a loader needs.
struct LoaderSettings {
  /// What all roles need.
  CommonSettings Common;
  /// The platform's store.
  Address LoaderStore;
  /// Where the engine beside it listens.
  Address Engine;
  /// The engine's service.
  std::string EngineService;
  /// Time between reads of the engine's report.
  Millis ReportPoll;
};

/// The settings of one process, by its role.
using DaemonSettings =
    std::variant<EntrySettings, AgentSettings, GatewaySettings, LoaderSettings>;

/// Settings, or every fault found in them.
using SettingsResult =
    boost::outcome_v2::basic_result<DaemonSettings, std::vector<Error>,
                                    boost::outcome_v2::policy::terminate>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_SETTINGS_TYPE_H
