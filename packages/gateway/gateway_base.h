/// @file
/// Gateway process: accepts callers' requests and forwards them to endpoints.

#ifndef CAMPHORNOTCH_GATEWAY_GATEWAY_BASE_H
#define CAMPHORNOTCH_GATEWAY_GATEWAY_BASE_H

#include "base/settings_type.h"
#include "gateway/batch_task_base.h"
#include "gateway/caller_access_base.h"
#include "gateway/directory_task_base.h"
#include "gateway/forward_task_base.h"
#include "gateway/peer_task_base.h"
#include "gateway/published_values_base.h"
#include "gateway/stream_origins_base.h"
#include "gateway/suspect_task_base.h"
#include "gateway/usage_task_base.h"
#include "gateway/work_tracker_base.h"
#include "net/client_limits_base.h"
#include "net/http_server_base.h"

#include <memory>
#include <optional>
#include <random>
#include <set>

namespace camphornotch {

/// The gateway process: owns its tasks, servers and clients and connects them.
class Gateway {
public:
  Gateway(Loop &Events, const GatewaySettings &Settings);

  /// Opens the listening sockets and starts all tasks.
  /// @return nothing, or why a listening address cannot be bound.
  Result<void> begin();

  /// @return the address that callers connect to.
  /// @pre begin() succeeded.
  HttpTarget callerTarget() const;

private:
  /// Answers readiness probes and metrics scrapes.
  void onProbe(const std::shared_ptr<HttpExchange> &Exchange);
  /// Opens the sockets for probes, other gateways and callers.
  /// @return nothing, or why a listening address cannot be bound.
  Result<void> listen();
  /// Updates the gauges before a scrape.
  void setGauges();
  void onRequest(const std::shared_ptr<HttpExchange> &Exchange);
  void onRouted(const std::shared_ptr<HttpExchange> &Exchange,
                platform::RoutedRequest Routed);
  /// Serves a call about a submission or one of its items.
  void onSubmissionCall(const std::shared_ptr<HttpExchange> &Exchange,
                        platform::DecodedRequest Call);
  /// Checks the request's key and refuses the request without access.
  /// @param MatchedRoute the request's route; null: a call about a submission.
  /// @return the name of the request's account, empty if it has none; nothing
  ///   if it was refused.
  std::optional<std::string>
  admit(const std::shared_ptr<HttpExchange> &Exchange,
        const Route *MatchedRoute);
  /// @return the account's name; nothing if the configuration has no accounts.
  std::optional<std::string>
  accountIfUsed(const std::string &AccountName) const;
  /// Forwards a request, or takes up the stream that it goes on with.
  void forward(const std::shared_ptr<HttpExchange> &Exchange,
               const platform::RoutedRequest &Routed, const Route &MatchedRoute,
               const std::string &AccountName);
  /// A request that has passed all checks.
  struct AdmittedRequest {
    std::shared_ptr<HttpExchange> Exchange;
    platform::RoutedRequest Routed;
    Route MatchedRoute;
    std::string AccountName;
    RequestDigest Digest;
    Millis ArrivedAt;
  };
  /// Looks up what began a caller's stream, and goes on with it there.
  void takeUpStream(const AdmittedRequest &Admitted);
  /// @return the only service and software that a stream of the route can have
  ///   begun at, by the endpoints of now; nothing if there are several.
  std::optional<StreamOrigin> soleOrigin(const Route &MatchedRoute) const;
  /// Sends a request to an endpoint and returns the answer.
  /// @param Origin where the stream began that it goes on with; null: it begins
  ///   anew.
  void send(const AdmittedRequest &Admitted, const StreamOrigin *Origin);
  /// The end of a forwarded request, for its log line.
  struct ForwardedRequest;
  /// Logs the answer to a forwarded request, and learns from it.
  void onForwarded(const ForwardedRequest &Request, int Status,
                   std::string_view Cause);
  /// @param RetryAfter the Retry-After of the answer; 0: none.
  void refuse(const std::shared_ptr<HttpExchange> &Exchange, int Status,
              std::string_view Reason, Millis RetryAfter);
  /// @param Record a value that an operator or trainer published.
  void onPublished(const KeyedRecord &Record);
  /// Applies a configuration unless it is unreadable or not newer than the
  /// current one.
  void applyConfig(const KeyedRecord &Record);
  /// @return whether a loader runs beside the endpoint.
  bool hasLoader(const EndpointRecord &Record) const;
  /// Connects to the loaders of all engines, and disconnects from those whose
  /// engine is gone.
  void connectLoaders();
  /// Stores the state that a loader reports for its engine.
  void onEngineState(const wire::EngineStatePush &State);
  /// Tells all loaders which version of a model the submitted work needs.
  void requireVersion(const std::string &Model, int64_t Version);
  /// @return whether this gateway chooses engines by their loads: it owns
  ///   partitions or forwarded a request to an engine lately.
  bool wantsLoad() const;
  /// @return why this gateway does not accept callers; empty: it does.
  std::string_view whyNotReady() const;
  /// @return when the process ends after SIGTERM, even if it is not idle.
  Millis stopLimit() const;
  /// @return how long after SIGTERM requests are served whatever their
  /// deadline.
  Millis serveAllTime() const;
  /// @param Deadline when a new request ends at the latest.
  /// @return whether it may be handled; a gateway that stops refuses requests
  ///   that it might have to cut off.
  bool mayStart(Millis Deadline) const;
  /// Refuses a request because this gateway stops.
  void refuseStopping(const std::shared_ptr<HttpExchange> &Exchange);
  /// Drains the servers and hands the partitions over, after SIGTERM.
  void beginStop();
  /// Ends the process once it is idle or its grace period is over; otherwise
  /// checks again later.
  void stopWhenIdle();

  Loop &Events;
  GatewaySettings Settings;
  /// The limits on what clients make this process hold; null: none.
  std::shared_ptr<ClientLimits> Limits;
  HttpClient Http;
  /// Sends calls to the store, separately from callers' requests.
  HttpClient StoreHttp;
  Metrics Counts;
  platform::StoreClient Store;
  PublishedValues Values;
  RouteTable Routes;
  CallerAccess Access;
  EndpointPool Pool;
  /// Counts the requests of client accounts.
  UsageTask Usage;
  PeerTask Peers;
  /// Requests during which connections to endpoints broke.
  SuspectTask Suspects;
  /// Keeps them beyond the end of all processes.
  SuspectLog SuspectRecords;
  /// Link addresses of the connected loaders.
  std::set<HttpTarget> Loaders;
  /// Newest version that submitted work needs, by model.
  std::map<std::string, int64_t> RequiredVersions;
  /// When a request was last forwarded to an engine; 0: never.
  Millis EngineUsedAt{0};
  /// Follows the topic of published values.
  KeyedFollower Published;
  /// Follows the registered endpoints.
  DirectoryTask Directory;
  ForwardTask Forward;
  /// What began the streams of callers.
  StreamOrigins Origins;
  BatchTask Batches;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> ProbeServer;
  std::unique_ptr<HttpServer> PeerServer;
  /// Learns how long plain requests take.
  WorkTracker RequestWork;
  /// Random source for choosing a service by its share of a route.
  std::mt19937_64 Random;
  /// When SIGTERM arrived; 0: not yet.
  Millis StopRequestedAt{0};
  bool PartitionsHandedOver = false;
  /// Whether the server of callers no longer accepts connections.
  bool CallerServerStopped = false;
  prometheus::Histogram &RequestSeconds;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_GATEWAY_BASE_H
