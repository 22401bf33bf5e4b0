/// @file
/// How long a connection to a server may stay idle.

#include "net/idle_time_internal.h"

#include <absl/strings/numbers.h>
#include <algorithm>

namespace camphornotch {

namespace {

/// Idle time of a pooled connection if the server sends no keep-alive timeout.
constexpr Millis DefaultIdleTime{4'000};
/// Limit on the idle time, whatever the server allows.
constexpr Millis MaxIdleTime{30'000};
/// Idle connections are closed this long before the server's timeout, so that
/// no request is sent while the server closes.
constexpr Millis IdleTimeMargin{700};

} // namespace

Millis idleTime(const HttpResponse &Response) {
  constexpr std::string_view Parameter = "timeout=";
  const std::string_view KeepAlive = findHeader(Response.Headers, "keep-alive");
  const size_t ParameterAt = KeepAlive.find(Parameter);
  if (ParameterAt == std::string_view::npos)
    return DefaultIdleTime;
  const std::string_view Rest =
      KeepAlive.substr(ParameterAt + Parameter.size());
  int64_t Seconds = 0;
  if (!absl::SimpleAtoi(
          absl::string_view(Rest.data(), std::min(Rest.find(','), Rest.size())),
          &Seconds))
    return DefaultIdleTime;
  return std::min(MaxIdleTime, seconds(Seconds) - IdleTimeMargin);
}

} // namespace camphornotch
