/// @file
/// The table of the settings of all roles, one row for each.

#ifndef CAMPHORNOTCH_BASE_TABLE_SETTINGS_H
#define CAMPHORNOTCH_BASE_TABLE_SETTINGS_H

#include "base/settings_type.h"

#include <array>
#include <string_view>
#include <variant>

namespace camphornotch {

/// The member that a setting is assigned to; it also determines the type.
using SettingTarget =
    std::variant<std::string CommonSettings::*, Address CommonSettings::*,
                 Millis CommonSettings::*, int64_t CommonSettings::*,
                 Millis EntrySettings::*, int64_t EntrySettings::*,
                 std::string AgentSettings::*, Address AgentSettings::*,
                 bool AgentSettings::*, bool GatewaySettings::*,
                 Millis AgentSettings::*, int64_t AgentSettings::*,
                 std::string GatewaySettings::*, Address GatewaySettings::*,
                 int64_t GatewaySettings::*, Millis GatewaySettings::*,
                 std::string LoaderSettings::*, Address LoaderSettings::*,
                 Millis LoaderSettings::*>;

/// The default of a setting that must be given.
inline constexpr std::string_view NoDefault = "<required>";

/// What becomes of a value that is empty, mistyped or out of range.
enum class BadValue : uint8_t {
  Refused, ///< The process does not start.
  /// A gateway or loader uses the nearest number or the default, and logs it:
  /// the platform fills in the value, and nobody is there to correct it.
  Replaced,
};

/// The description of one setting.
struct SettingSpec {
  std::string_view Section;
  std::string_view Name;
  SettingTarget Target;
  /// The value if the file gives none; NoDefault: the file must give one.
  std::string_view Default;
  /// The smallest valid number; unused for text and addresses.
  int64_t Min;
  /// The largest valid number; unused for text and addresses.
  int64_t Max;
  /// The allowed words, separated by "|"; empty: any text.
  std::string_view Words;
  std::string_view Help;
  BadValue WhenBad = BadValue::Refused;
};

// Keep the layout of the table.
// clang-format off

/// All settings, by section.
inline constexpr std::array SettingsTable{
    SettingSpec{"process", "role", &CommonSettings::Role, NoDefault, 0, 0,
                "entry|agent|gateway|loader", "What the process does."},
    SettingSpec{"process", "host", &CommonSettings::Host, NoDefault, 0, 0,
                "", "The host's name, as in the host list.",
                BadValue::Replaced},
    SettingSpec{"process", "data_centre", &CommonSettings::DataCentre,
                NoDefault, 0, 0, "", "The data centre it stands in.",
                BadValue::Replaced},
    SettingSpec{"process", "region", &CommonSettings::Region, NoDefault, 0, 0,
                "", "The region it stands in.",
                BadValue::Replaced},
    SettingSpec{"process", "stop_grace_ms", &CommonSettings::StopGrace,
                "30000", 0, 3600000, "",
                "Time for open requests to end after SIGTERM."},
    SettingSpec{"process", "stop_accept_ms", &EntrySettings::StopAccept,
                "2000", 0, 60000, "",
                "Time after SIGTERM in which an entry, no longer ready, still takes requests; stop_grace_ms counts from its end."},

    SettingSpec{"listen", "links", &CommonSettings::ListenLinks, NoDefault,
                0, 0, "", "Where peers connect to."},
    SettingSpec{"listen", "http", &CommonSettings::ListenHttp, NoDefault,
                0, 0, "", "Where callers, probes and metrics connect to."},
    SettingSpec{"listen", "peers", &GatewaySettings::ListenPeers, NoDefault,
                0, 0, "",
                "Where other gateways ask for submissions of owned partitions."},

    SettingSpec{"platform", "log", &CommonSettings::LogService, "", 0, 0,
                "", "The log service; entries need it."},
    SettingSpec{"platform", "host_list", &CommonSettings::HostList, "", 0, 0,
                "", "The host list; entries need it."},
    SettingSpec{"duties", "service", &CommonSettings::DutyService, "", 0, 0,
                "",
                "The operator's interface for duties (gateways and loaders); empty: there are no duties.",
                BadValue::Replaced},
    SettingSpec{"duties", "usage_window_s",
                &CommonSettings::UsageWindowSeconds, "", 0, 0, "",
                "Seconds of one window of usage reports; empty: 5.",
                BadValue::Replaced},

    SettingSpec{"platform", "weight_store", &CommonSettings::WeightStore, "",
                0, 0, "", "The weight store; empty: versions come from the log."},
    SettingSpec{"platform", "log_retention_ms", &CommonSettings::LogRetention,
                "86400000", 1000, 31536000000, "",
                "How long the log keeps records; state is carried forward at half of it."},

    SettingSpec{"intervals", "heartbeat_ms", &CommonSettings::Heartbeat,
                "1000", 20, 60000, "", "Time between heartbeats of a link."},
    SettingSpec{"intervals", "link_silence_ms", &CommonSettings::LinkSilence,
                "3000", 50, 600000, "",
                "Silence after which a fresh connection is opened."},
    SettingSpec{"intervals", "connect_timeout_ms",
                &CommonSettings::ConnectTimeout, "1000", 10, 60000, "",
                "Longest wait for a connection."},
    SettingSpec{"intervals", "reconnect_delay_ms",
                &CommonSettings::ReconnectDelay, "200", 10, 60000, "",
                "First wait before connecting again; it doubles up to 16 times this."},
    SettingSpec{"intervals", "host_list_poll_ms",
                &CommonSettings::HostListPoll, "1000", 50, 600000, "",
                "Time between reads of the host list."},
    SettingSpec{"intervals", "log_poll_wait_ms", &CommonSettings::LogPollWait,
                "1000", 10, 60000, "",
                "Longest time that a read of the log waits for a record."},
    SettingSpec{"intervals", "append_flush_ms", &CommonSettings::AppendFlush,
                "5", 0, 10000, "",
                "Longest time that a record waits for others to be appended with."},
    SettingSpec{"intervals", "weight_poll_ms", &CommonSettings::WeightPoll,
                "1000", 50, 600000, "",
                "Time between questions for the newest version of a model."},

    SettingSpec{"limits", "append_max_bytes", &CommonSettings::AppendMaxBytes,
                "262144", 1024, 4194304, "",
                "Size at which collected records are appended at once."},
    SettingSpec{"limits", "appends_per_second",
                &CommonSettings::AppendsPerSecond, "50", 1, 10000, "",
                "Appends that this process may send a second."},
    SettingSpec{"limits", "max_body_bytes", &CommonSettings::MaxBodyBytes,
                "8388608", 1024, 16777216, "", "Longest request body."},
    SettingSpec{"limits", "max_header_bytes", &CommonSettings::MaxHeaderBytes,
                "65536", 1024, 1048576, "", "Longest request header block."},
    SettingSpec{"limits", "max_open_requests",
                &CommonSettings::MaxOpenRequests, "4096", 1, 1000000, "",
                "Requests open at once; more are refused."},
    SettingSpec{"limits", "max_answer_bytes_held",
                &CommonSettings::MaxAnswerBytesHeld, "33554432", 65536,
                1073741824, "",
                "Answers held for peers that have not acknowledged them."},
    SettingSpec{"limits", "memory_mb", &CommonSettings::MemoryMb, "0", 0,
                1048576, "",
                "Memory of the host for this process in megabytes; 0: what clients make it hold has no limit.",
                BadValue::Replaced},
    SettingSpec{"limits", "file_descriptors",
                &CommonSettings::FileDescriptors, "0", 0, 1048576, "",
                "File descriptors that the host allows this process; 0: the number of connections has no limit.",
                BadValue::Replaced},
    SettingSpec{"limits", "max_client_connections",
                &CommonSettings::MaxClientConnections, "0", 0, 1048576, "",
                "Connections of callers; 0: half of file_descriptors."},
    SettingSpec{"limits", "max_connections_per_address",
                &CommonSettings::MaxConnectionsPerAddress, "0", 0, 1048576, "",
                "Connections of callers from one address; 0: three quarters of those in all, since a balancer may be in front."},
    SettingSpec{"limits", "min_request_bytes_per_s",
                &CommonSettings::MinRequestRate, "1024", 0, 1000000000, "",
                "Rate at which a request has to arrive once request_rate_grace_ms is over; with memory_mb."},
    SettingSpec{"limits", "request_rate_grace_ms",
                &CommonSettings::RequestRateGrace, "30000", 0, 3600000, "",
                "Time from a request's first byte before min_request_bytes_per_s applies."},
    SettingSpec{"limits", "unread_grace_ms", &CommonSettings::UnreadGrace,
                "1000", 0, 3600000, "",
                "Time without progress after which an unread response may be dropped when memory is short."},

    SettingSpec{"logging", "level", &CommonSettings::LogLevel, "info", 0, 0,
                "debug|info|warn|error", "The least level that is written."},
    SettingSpec{"logging", "file", &CommonSettings::LogFile, "", 0, 0, "",
                "Where log lines go; empty: standard output."},

    SettingSpec{"entry", "key_shards", &EntrySettings::KeyShards, "16", 1,
                4096, "",
                "Ranges of idempotency keys; equal on all entries."},
    SettingSpec{"entry", "remote_links", &EntrySettings::RemoteLinks, "2", 1,
                64, "", "Links to entries of each other data centre."},
    SettingSpec{"entry", "max_sample_bytes_held",
                &EntrySettings::MaxSampleBytesHeld, "67108864", 65536,
                1073741824, "",
                "Finished samples held for trainers; more waits in agents."},
    SettingSpec{"entry", "default_deadline_ms",
                &EntrySettings::DefaultDeadline, "60000", 100, 3600000, "",
                "Deadline of a request that names none."},

    SettingSpec{"endpoint", "name", &AgentSettings::EndpointName, NoDefault,
                0, 0, "", "The endpoint's name."},
    SettingSpec{"endpoint", "kind", &AgentSettings::EndpointKind, NoDefault,
                0, 0, "engine|service", "What the endpoint is."},
    SettingSpec{"endpoint", "serves", &AgentSettings::Serves, NoDefault, 0, 0,
                "", "The engine's model or the service's name."},
    SettingSpec{"endpoint", "address", &AgentSettings::EndpointAddress,
                NoDefault, 0, 0, "", "Where the endpoint listens."},
    SettingSpec{"endpoint", "honours_fencing", &AgentSettings::HonoursFencing,
                "no", 0, 0, "yes|no",
                "Whether it refuses orders with an old fencing number."},
    SettingSpec{"endpoint", "slots", &AgentSettings::Slots, "8", 1, 4096, "",
                "Work running at once."},
    SettingSpec{"endpoint", "short_reserve", &AgentSettings::ShortReserve,
                "1", 0, 4096, "", "Slots kept free for short work."},
    SettingSpec{"endpoint", "max_queued", &AgentSettings::MaxQueued, "256", 0,
                100000, "", "Work waiting at once; more is refused."},
    SettingSpec{"endpoint", "guard_port", &AgentSettings::GuardPort, "0", 0,
                65535, "",
                "Loopback port whose bind keeps a second agent away; 0: none."},
    SettingSpec{"endpoint", "intent_memory", &AgentSettings::IntentMemory,
                "10000", 16, 10000000, "",
                "Calls that may run at most once, remembered with their answers."},
    SettingSpec{"endpoint", "load_poll_ms", &AgentSettings::LoadPoll, "500",
                20, 60000, "", "Time between reads of the endpoint's load."},
    SettingSpec{"endpoint", "swap_timeout_ms", &AgentSettings::SwapTimeout,
                "30000", 100, 3600000, "",
                "Time after which a weight swap counts as unanswered."},

    SettingSpec{"gateway", "front", &GatewaySettings::Front, NoDefault, 0, 0,
                "", "Where callers connect to."},
    SettingSpec{"gateway", "store", &GatewaySettings::Store, NoDefault, 0, 0,
                "", "The platform's store."},
    SettingSpec{"gateway", "regions", &GatewaySettings::Regions, "", 0, 0, "",
                "\"data centre=region\" for all data centres, separated by commas."},
    SettingSpec{"gateway", "grace_s", &GatewaySettings::GraceSeconds, "8", 0,
                0, "", "Seconds that the platform gives after SIGTERM.",
                BadValue::Replaced},
    SettingSpec{"gateway", "partitions", &GatewaySettings::Partitions, "12",
                1, 1200, "",
                "Partitions of batch submissions; equal on all gateways.",
                BadValue::Replaced},
    SettingSpec{"gateway", "record_bytes", &GatewaySettings::RecordBytes,
                "262144", 1024, 1048576, "",
                "Most bytes of one record of the store.",
                BadValue::Replaced},
    SettingSpec{"gateway", "submission_lifetime_ms",
                &GatewaySettings::SubmissionLifetime, "240000", 1000,
                86400000, "",
                "How long an ended submission can still be read."},
    SettingSpec{"gateway", "endpoint_choice",
                &GatewaySettings::EndpointChoice, "expected_time", 0, 0,
                "expected_time|remaining_work|least_outstanding|round_robin",
                "How to choose among endpoints; the last two are baselines."},
    SettingSpec{"gateway", "item_order", &GatewaySettings::ItemOrder,
                "wanted_groups", 0, 0, "wanted_groups|arrival|fair_share",
                "Which waiting items start first; the second is a baseline, "
                "the third shares engines among client accounts."},
    SettingSpec{"gateway", "move_items", &GatewaySettings::MoveItems, "yes", 0,
                0, "", "Whether items move off much slower engines."},
    SettingSpec{"gateway", "second_runs", &GatewaySettings::SecondRuns, "yes",
                0, 0, "",
                "Whether items likely to be left open run a second time."},

    SettingSpec{"loader", "store", &LoaderSettings::LoaderStore, NoDefault, 0,
                0, "", "The platform's store."},
    SettingSpec{"loader", "engine", &LoaderSettings::Engine, NoDefault, 0, 0,
                "", "Where the engine beside it listens."},
    SettingSpec{"loader", "service", &LoaderSettings::EngineService,
                NoDefault, 0, 0, "", "The engine's service.",
                BadValue::Replaced},
    SettingSpec{"loader", "report_poll_ms", &LoaderSettings::ReportPoll,
                "200", 20, 60000, "",
                "Time between reads of the engine's report."},
};

// clang-format on

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_TABLE_SETTINGS_H
