/// @file
/// Shares what gateways and loaders know of requests that break endpoints.

#ifndef CAMPHORNOTCH_GATEWAY_SUSPECT_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_SUSPECT_TASK_BASE_H

#include "core/gateway/suspect_table_base.h"
#include "gateway/peer_task_base.h"
#include "gateway/suspect_log_base.h"
#include "net/metrics_base.h"

#include <string_view>

namespace camphornotch {

/// Whether a process passes on what it learns from a peer. Loaders do, since
/// gateways have no links among themselves.
enum class SuspectRelay { None, AllPeers };

/// Owns the table of requests that break endpoints. Each change goes to all
/// peers, and the whole table to a peer whose link comes up: a process that was
/// started, added or cut off knows what the others know as soon as it is linked
/// to one of them. A gateway keeps quarantined requests in the store as well,
/// for when no process is left that knows of them, and all breaks while it is
/// linked to none.
class SuspectTask {
public:
  SuspectTask(PeerTask &Peers, Metrics &Counts, SuspectRelay Relay);

  /// Sets where records are kept.
  /// @param Log lives as long as this object.
  void keepIn(SuspectLog &Log) { this->Log = &Log; }

  /// @return whether the request must not be sent to an endpoint.
  bool isQuarantined(RequestDigest Digest) const;

  /// @return what is known of all requests.
  const SuspectTable &table() const { return this->Table; }

  /// A connection broke while an endpoint had the request.
  /// @param RanFor how long the endpoint had had it by then.
  void onBroken(RequestDigest Digest, const EndpointLifetime &Endpoint,
                Millis BrokenAt, Millis RanFor);

  /// An endpoint executed the request completely.
  void onSucceeded(RequestDigest Digest);

  /// A process of an earlier version reported a break.
  void onReport(const wire::CrashReport &Report);

  /// A peer sent what it knows.
  void onPush(const HostId &Peer, const wire::SuspectsPush &Push);

  /// A record was read from the store.
  void onRecord(const wire::SuspectState &State);

  /// A link to a peer was established.
  void onLinkUp(const HostId &Peer);

private:
  /// Adds what a peer knows of a request.
  /// @return whether this process knew less.
  bool learn(const HostId &Peer, const wire::SuspectState &State);
  /// Sends what is known of a request to all peers.
  void announce(RequestDigest Digest);
  /// Keeps a change that this process saw in the store, if it has to.
  void keep(RequestDigest Digest);
  /// Logs a change of what is known of a request.
  /// @param Source who found it.
  void logChange(RequestDigest Digest, std::string_view Source) const;

  PeerTask &Peers;
  SuspectRelay Relay;
  /// Null: none.
  SuspectLog *Log = nullptr;
  SuspectTable Table;
  /// Breaks that this process saw.
  prometheus::Counter &Breaks;
  /// Requests that this process saw succeed after breaks.
  prometheus::Counter &Acquittals;
  /// Changes that left a request quarantined, by own breaks or those of others.
  prometheus::Counter &Quarantines;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_SUSPECT_TASK_BASE_H
