/// @file
/// Sets up the limits on what clients make a gateway hold.

#include "gateway/client_limits_func.h"

#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/limits/limit_rules_func.h"
#include "platform/caller_func.h"

#include <algorithm>
#include <array>
#include <utility>

namespace camphornotch {

namespace {

constexpr int StatusRequestTimeout = 408;
/// h2o refuses a chunked body at its limit, and counts the framing of the part
/// that it has not decoded. The gateway checks the exact limit.
constexpr int64_t BodyMargin = 64 << 10;

/// The names of the reasons in metrics, in the order of LimitReason.
constexpr std::array<const char *, LimitReasonCount> ReasonNames{
    "incomplete", "unread", "slow_request", "idle", "connections", "no_memory"};

} // namespace

std::shared_ptr<ClientLimits> makeClientLimits(Loop &Events,
                                               const CommonSettings &Settings,
                                               size_t BodyBytes) {
  if (Settings.MemoryMb == 0 && Settings.FileDescriptors == 0)
    return nullptr;
  const LimitRules Rules =
      limitRules(Settings, static_cast<int64_t>(BodyBytes));
  if (Settings.MemoryMb > 0)
    returnFreedMemory();
  logLine(LogLevel::Info, "limits on clients",
          {{"held_bytes", concat(Rules.HeldBytes)},
           {"connections", concat(Rules.Connections[0])},
           {"per_address", concat(Rules.PerAddress[0])}});
  return std::make_shared<ClientLimits>(Events, Rules);
}

void limitServer(HttpServerConfig &Config,
                 const std::shared_ptr<ClientLimits> &Limits, ClientPort Kind) {
  Config.Limits = Limits;
  Config.ClientKind = Kind;
  Config.IncompleteRefusal = platform::encodeRefusal(
      StatusUnavailable, "memory is short", ShortMemoryRetryAfter);
  Config.SlowRefusal = platform::encodeRefusal(
      StatusRequestTimeout, "the request arrives too slowly", Millis{0});
}

HttpServerConfig probeServerConfig(Loop &Events,
                                   const CommonSettings &Settings) {
  HttpServerConfig Config;
  Config.Address = Settings.ListenHttp.Ip;
  Config.Port = Settings.ListenHttp.Port;
  limitServer(Config, makeClientLimits(Events, Settings, Config.MaxBodyBytes),
              ClientPort::Probes);
  return Config;
}

void applyBodyLimit(ClientLimits &Limits, HttpServer &Server,
                    const CommonSettings &Settings, int64_t BodyBytes) {
  if (BodyBytes <= 0)
    return;
  const auto PeerBodyBytes =
      static_cast<int64_t>(HttpServerConfig{}.MaxBodyBytes);
  Limits.setRules(limitRules(Settings, std::max(BodyBytes, PeerBodyBytes)));
  if (Settings.MemoryMb > 0)
    Server.setMaxBody(static_cast<size_t>(BodyBytes + BodyMargin));
}

void setLimitGauges(Metrics &Counts, const LimitController &Limits) {
  Counts
      .gauge("client_bytes_held",
             "Bytes held for clients, as they are counted.")
      .Set(static_cast<double>(Limits.held()));
  Counts
      .gauge("client_bytes_held_highest",
             "The most of client_bytes_held so far.")
      .Set(static_cast<double>(Limits.highest()));
  Counts.gauge("client_bytes_limit", "Limit on client_bytes_held; 0: none.")
      .Set(static_cast<double>(Limits.rules().HeldBytes));
  constexpr std::array Ports{
      std::pair{ClientPort::Callers, "callers"},
      std::pair{ClientPort::Peers, "peers"},
      std::pair{ClientPort::Probes, "probes"},
  };
  for (const auto &[Port, Name] : Ports)
    Counts
        .gauge("client_connections", "Open connections of clients.",
               {{"port", Name}})
        .Set(static_cast<double>(Limits.connections(Port)));
  for (size_t Reason = 0; Reason < LimitReasonCount; ++Reason)
    Counts
        .gauge("client_limits_applied",
               "Connections ended and requests refused so far, by reason.",
               {{"reason", ReasonNames[Reason]}})
        .Set(static_cast<double>(
            Limits.count(static_cast<LimitReason>(Reason))));
}

} // namespace camphornotch
