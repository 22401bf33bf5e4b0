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

/// What both roles need; table/settings.h describes each member.
struct CommonSettings {
  std::string Role;
  std::string Host;
  std::string DataCentre;
  std::string Region;
  Address ListenLinks;
  Address ListenHttp;
  Address LogService;
  Address HostList;
  Address WeightStore;
  Millis Heartbeat;
  Millis LinkSilence;
  Millis ConnectTimeout;
  Millis ReconnectDelay;
  Millis HostListPoll;
  Millis LogPollWait;
  Millis AppendFlush;
  Millis LogRetention;
  Millis WeightPoll;
  int64_t AppendMaxBytes = 0;
  int64_t AppendsPerSecond = 0;
  int64_t MaxBodyBytes = 0;
  int64_t MaxHeaderBytes = 0;
  int64_t MaxOpenRequests = 0;
  int64_t MaxAnswerBytesHeld = 0;
  Millis StopGrace;
  std::string LogLevel;
  std::string LogFile;
};

/// What an entry needs.
struct EntrySettings {
  CommonSettings Common;
  int64_t KeyShards = 0;
  int64_t RemoteLinks = 0;
  int64_t MaxSampleBytesHeld = 0;
  Millis DefaultDeadline;
};

/// What an agent needs.
struct AgentSettings {
  CommonSettings Common;
  std::string EndpointName;
  std::string EndpointKind;
  std::string Serves;
  Address EndpointAddress;
  bool HonoursFencing = false;
  int64_t Slots = 0;
  int64_t ShortReserve = 0;
  int64_t MaxQueued = 0;
  int64_t GuardPort = 0;
  int64_t IntentMemory = 0;
  Millis LoadPoll;
  Millis SwapTimeout;
};

/// The settings of one process, by its role.
using DaemonSettings = std::variant<EntrySettings, AgentSettings>;

/// Settings, or every fault found in them.
using SettingsResult =
    boost::outcome_v2::basic_result<DaemonSettings, std::vector<Error>,
                                    boost::outcome_v2::policy::terminate>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_SETTINGS_TYPE_H
