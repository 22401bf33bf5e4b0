/// @file
/// Conversion of the common settings to those of packages/net.

#include "net/link_settings_func.h"

#include <random>

namespace camphornotch {

namespace {

/// The longest reconnect delay, as a multiple of the shortest.
constexpr int64_t BackoffFactor = 16;

/// All gateways may connect to a loader at the same time after its restart.
constexpr int64_t WithoutHelloShare = 4;

} // namespace

HttpTarget targetOf(const Address &Value) {
  return HttpTarget{Value.Ip, Value.Port};
}

LinkSettings linkSettingsOf(const CommonSettings &Settings) {
  LinkSettings Links;
  Links.HeartbeatInterval = Settings.Heartbeat;
  Links.SilenceAfter = Settings.LinkSilence;
  Links.ConnectTimeout = Settings.ConnectTimeout;
  Links.BackoffMin = Settings.ReconnectDelay;
  Links.BackoffMax = Settings.ReconnectDelay * BackoffFactor;
  Links.MaxQueuedBytes = static_cast<size_t>(Settings.MaxAnswerBytesHeld);
  Links.LimitsAccepted = Settings.MemoryMb > 0;
  Links.MaxWithoutHello =
      static_cast<size_t>(Settings.FileDescriptors / WithoutHelloShare);
  return Links;
}

LogAppenderSettings appenderSettingsOf(const CommonSettings &Settings) {
  LogAppenderSettings Appends;
  Appends.FlushAfter = Settings.AppendFlush;
  Appends.FlushBytes = static_cast<size_t>(Settings.AppendMaxBytes);
  return Appends;
}

BootId randomBootId() {
  std::random_device Device;
  std::uniform_int_distribution<int64_t> Numbers(1, INT64_MAX);
  return BootId{Numbers(Device)};
}

} // namespace camphornotch
