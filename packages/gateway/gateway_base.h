/// @file
/// A gateway: takes callers' requests and brings them to endpoints.

#ifndef CAMPHORNOTCH_GATEWAY_GATEWAY_BASE_H
#define CAMPHORNOTCH_GATEWAY_GATEWAY_BASE_H

#include "base/settings_type.h"
#include "core/gateway/suspect_table_base.h"
#include "gateway/batch_task_base.h"
#include "gateway/directory_task_base.h"
#include "gateway/forward_task_base.h"
#include "gateway/peer_task_base.h"
#include "gateway/published_values_base.h"
#include "net/http_server_base.h"

#include <memory>
#include <random>
#include <set>

namespace camphornotch {

/// Owns everything of a gateway and joins its tasks.
class Gateway {
public:
  /// @param Events the loop.
  /// @param Settings the settings.
  Gateway(Loop &Events, const GatewaySettings &Settings);

  /// Opens the sockets and begins.
  /// @return nothing, or why an address cannot be had.
  Result<void> begin();

  /// @return where callers connect to.
  /// @pre begin() succeeded.
  HttpTarget front() const;

private:
  /// @param Exchange a request to the address of probes and metrics.
  void onProbe(const std::shared_ptr<HttpExchange> &Exchange);
  /// Opens the sockets of probes, other gateways and callers.
  /// @return nothing, or why an address cannot be had.
  Result<void> listen();
  /// Brings the gauges up to date.
  void setGauges();
  /// @param Exchange a request of a caller.
  void onRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// @param Exchange a request of a caller.
  /// @param Asked what its headers say.
  void onRouted(const std::shared_ptr<HttpExchange> &Exchange,
                const platform::RoutedRequest &Asked);
  /// @param Exchange a request of a caller.
  /// @param Asked what its headers say.
  /// @param By its route.
  void forward(const std::shared_ptr<HttpExchange> &Exchange,
               const platform::RoutedRequest &Asked, const Route &By);
  /// @param Exchange a request of a caller.
  /// @param Status the status.
  /// @param Reason why.
  /// @param RetryAfter when to come again.
  void refuse(const std::shared_ptr<HttpExchange> &Exchange, int Status,
              std::string_view Reason, Millis RetryAfter);
  /// @param Record what an operator or trainer published.
  void onPublished(const KeyedRecord &Record);
  /// Puts a configuration in force, unless a newer one is.
  /// @param Record the configuration.
  void applyConfig(const KeyedRecord &Record);
  /// Links to the loaders of all engines.
  void linkLoaders();
  /// @param State what a loader says.
  void onEngineState(const wire::EngineStatePush &State);
  /// Tells all loaders which version of a model submitted work needs.
  /// @param Model the model.
  /// @param Version the version.
  void demand(const std::string &Model, int64_t Version);
  /// Tells all gateways that a connection broke while an endpoint had a
  /// request.
  /// @param Digest the request.
  /// @param Endpoint the endpoint.
  void reportBroken(RequestDigest Digest, const EndpointId &Endpoint);
  /// @return why this gateway takes no callers; empty: it does.
  std::string_view whyNotReady() const;
  /// Stops in an orderly way.
  void beginStop();
  /// Ends the process if nothing is under way any more, or time is over.
  void lookForEnd();

  /// The loop.
  Loop &Events;
  /// The settings.
  GatewaySettings Settings;
  /// Sends requests to endpoints.
  HttpClient Http;
  /// Sends calls to the store, apart from those.
  HttpClient StoreHttp;
  /// Counters and histograms.
  Metrics Counts;
  /// The store.
  platform::StoreClient Store;
  /// What was published.
  PublishedValues Values;
  /// The routes in force.
  RouteTable Routes;
  /// The endpoints.
  EndpointPool Pool;
  /// Requests that break endpoints.
  SuspectTable Suspects;
  /// Links to loaders.
  PeerTask Peers;
  /// Addresses of loaders linked to, by engine address.
  std::set<HttpTarget> Loaders;
  /// Versions demanded, by model.
  std::map<std::string, int64_t> Demands;
  /// Follows what is published.
  KeyedFollower Published;
  /// Follows the endpoints.
  DirectoryTask Directory;
  /// Requests under way.
  ForwardTask Forward;
  /// Batch submissions.
  BatchTask Batches;
  /// For callers.
  std::unique_ptr<HttpServer> Front;
  /// For probes and metrics.
  std::unique_ptr<HttpServer> Probes;
  /// For other gateways.
  std::unique_ptr<HttpServer> ForPeers;
  /// Draws shares of routes.
  std::mt19937_64 Draws;
  /// When SIGTERM came; 0: it did not.
  Millis StopAt{0};
  /// Whether the partitions are handed over.
  bool HandedOver = false;
  /// Time from a request's arrival to its answer, in seconds.
  prometheus::Histogram &RequestSeconds;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_GATEWAY_BASE_H
