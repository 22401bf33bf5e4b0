/// @file
/// A loader: stands beside one engine and orders it to load newer weights.

#ifndef CAMPHORNOTCH_GATEWAY_LOADER_BASE_H
#define CAMPHORNOTCH_GATEWAY_LOADER_BASE_H

#include "base/settings_type.h"
#include "core/gateway/suspect_table_base.h"
#include "core/loads/load_controller_base.h"
#include "gateway/directory_task_base.h"
#include "gateway/peer_task_base.h"
#include "gateway/published_values_base.h"
#include "net/http_server_base.h"
#include "net/metrics_base.h"

#include <memory>
#include <set>

namespace camphornotch {

/// Owns everything of a loader. It is the only one to order its engine, so no
/// two hosts ever do.
class Loader {
public:
  /// @param Events the loop.
  /// @param Settings the settings.
  Loader(Loop &Events, const LoaderSettings &Settings);

  /// Opens the sockets and begins.
  /// @return nothing, or why an address cannot be had.
  Result<void> begin();

private:
  /// @param Record what an operator or trainer published.
  void onPublished(const KeyedRecord &Record);
  /// Passes a gateway's report on to the other gateways, once.
  /// @param Report a request that broke an endpoint.
  void passOn(const wire::CrashReport &Report);
  /// Takes a fencing number from the store, once.
  void takeFence();
  /// Asks the engine what it does.
  void askEngine();
  /// @param Report what the engine says.
  void onReport(const EngineReport &Report);
  /// @param Order what to load.
  void sendOrder(const LoadOrder &Order);
  /// Notes this engine's place among those of its service.
  void place();
  /// @return the message that tells gateways of the engine.
  wire::PeerMessage stateMessage() const;

  /// The loop.
  Loop &Events;
  /// The settings.
  LoaderSettings Settings;
  /// Sends calls.
  HttpClient Http;
  /// Counters.
  Metrics Counts;
  /// The store.
  platform::StoreClient Store;
  /// What was published.
  PublishedValues Values;
  /// The endpoints.
  EndpointPool Pool;
  /// Reports that were passed on.
  SuspectTable Suspects;
  /// Links to gateways.
  PeerTask Peers;
  /// Follows what is published.
  KeyedFollower Published;
  /// Follows the endpoints.
  DirectoryTask Directory;
  /// Decides on loads.
  LoadController Controller;
  /// The engine's id; empty: not registered.
  EndpointId Engine;
  /// Ids at the engine's address that it said not to have.
  std::set<EndpointId> WrongIds;
  /// The last report; none yet if Sequence is below 0.
  EngineReport Report;
  /// The model of the order that the engine carries out; empty: none.
  std::string LoadingModel;
  /// The fencing number; 0: none yet.
  int64_t Fence = 0;
  /// For metrics.
  std::unique_ptr<HttpServer> Probes;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_LOADER_BASE_H
