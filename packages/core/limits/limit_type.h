/// @file
/// Limits on what clients can make a process hold.

#ifndef CAMPHORNOTCH_CORE_LIMITS_LIMIT_TYPE_H
#define CAMPHORNOTCH_CORE_LIMITS_LIMIT_TYPE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <array>
#include <cstdint>

namespace camphornotch {

/// One connection of a client; 0: none.
using ConnectionId = StrongId<struct ClientConnectionTag, uint64_t>;

/// Who connects to a port. Each kind has connections of its own, so that
/// callers do not keep out other gateways and probes.
enum class ClientPort : uint8_t { Callers, Peers, Probes };
inline constexpr size_t ClientPortCount = 3;

/// The limits of a process.
struct LimitRules {
  /// Bytes held for all clients together; 0: no limit.
  int64_t HeldBytes = 0;
  /// Connections of each kind; 0: no limit.
  std::array<int64_t, ClientPortCount> Connections{};
  /// Connections of each kind from one address; 0: no limit.
  std::array<int64_t, ClientPortCount> PerAddress{};
  /// Bytes a second at which a request has to arrive; 0: any.
  int64_t MinRequestRate = 0;
  /// Time from the first byte of a request before the rate applies.
  Millis RateGrace{0};
  /// Time without progress after which a response that its client does not
  /// read may be dropped.
  Millis UnreadGrace{0};
};

/// Why a connection is ended or a request refused.
enum class LimitReason : uint8_t {
  Incomplete,         ///< An incomplete request, because memory is short.
  Unread,             ///< An unread response, because memory is short.
  SlowRequest,        ///< A request that arrives too slowly.
  Idle,               ///< An idle connection, for a new one.
  TooManyConnections, ///< A new connection that no idle one makes room for.
  NoMemory,           ///< A complete request, because memory is short.
};
inline constexpr size_t LimitReasonCount = 6;

/// A connection to end.
struct EndConnection {
  ConnectionId Id;
  LimitReason Reason = LimitReason::Incomplete;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LIMITS_LIMIT_TYPE_H
