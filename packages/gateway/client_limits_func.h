/// @file
/// Sets up the limits on what clients make a gateway hold.

#ifndef CAMPHORNOTCH_GATEWAY_CLIENT_LIMITS_FUNC_H
#define CAMPHORNOTCH_GATEWAY_CLIENT_LIMITS_FUNC_H

#include "base/settings_type.h"
#include "net/client_limits_base.h"
#include "net/http_server_base.h"
#include "net/metrics_base.h"

#include <memory>

namespace camphornotch {

/// Retry-After while memory is short: most incomplete requests are ended by
/// then.
inline constexpr Millis ShortMemoryRetryAfter{1'000};

/// @param BodyBytes the largest request body.
/// @return the limits that the settings ask for; null: none.
std::shared_ptr<ClientLimits> makeClientLimits(Loop &Events,
                                               const CommonSettings &Settings,
                                               size_t BodyBytes);

/// Puts a server under the limits.
/// @param Limits null: none.
void limitServer(HttpServerConfig &Config,
                 const std::shared_ptr<ClientLimits> &Limits, ClientPort Kind);

/// @return the configuration of a server for probes and metrics alone, with
///   limits of its own.
HttpServerConfig probeServerConfig(Loop &Events,
                                   const CommonSettings &Settings);

/// Applies the body limit of the configuration in force, so that a body above
/// it is refused before it is complete.
/// @param BodyBytes 0: none.
void applyBodyLimit(ClientLimits &Limits, HttpServer &Server,
                    const CommonSettings &Settings, int64_t BodyBytes);

/// Updates the gauges of the limits before a scrape.
void setLimitGauges(Metrics &Counts, const LimitController &Limits);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_CLIENT_LIMITS_FUNC_H
