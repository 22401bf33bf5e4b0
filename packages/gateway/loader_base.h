/// @file
/// Loader process: runs next to one engine and orders it to load newer weights.

#ifndef CAMPHORNOTCH_GATEWAY_LOADER_BASE_H
#define CAMPHORNOTCH_GATEWAY_LOADER_BASE_H

#include "base/settings_type.h"
#include "core/loads/engine_pace_base.h"
#include "core/loads/load_controller_base.h"
#include "core/loads/state_push_base.h"
#include "gateway/directory_task_base.h"
#include "gateway/duty_task_base.h"
#include "gateway/peer_task_base.h"
#include "gateway/published_values_base.h"
#include "gateway/suspect_task_base.h"
#include "net/http_server_base.h"
#include "net/metrics_base.h"

#include <memory>
#include <set>

namespace camphornotch {

/// The loader process. It is the only process that sends orders to its engine,
/// so two hosts never do.
class Loader {
public:
  Loader(Loop &Events, const LoaderSettings &Settings);

  /// Opens the listening sockets and starts all tasks.
  /// @return nothing, or why a listening address cannot be bound.
  Result<void> begin();

private:
  /// @param Record a value that an operator or trainer published.
  void onPublished(const KeyedRecord &Record);
  DutyTaskCallbacks dutyCallbacks();
  /// Requests a fencing number from the store until one is given.
  void requestFencingNumber();
  /// Requests the engine's report, and repeats this after each answer or
  /// failure.
  void requestReport();
  /// Handles a report: sends an order if one is due, and tells the gateways the
  /// engine's state.
  void onReport(const EngineReport &Report);
  void sendOrder(const LoadOrder &Order);
  /// Finds this engine's id and place among the engines of its service.
  void updatePlace();
  /// Sends the engine's state to the gateways that need it now.
  void pushState();
  /// @return the message with the engine's state for gateways.
  wire::PeerMessage stateMessage() const;

  Loop &Events;
  LoaderSettings Settings;
  HttpClient Http;
  Metrics Counts;
  platform::StoreClient Store;
  PublishedValues Values;
  EndpointPool Pool;
  /// Which gateways get the engine's state.
  StatePush Pushes;
  /// Holds duties for the operator.
  DutyTask Duties;
  PeerTask Peers;
  /// Requests during which connections to endpoints broke.
  SuspectTask Suspects;
  /// Follows the topic of published values.
  KeyedFollower Published;
  /// Follows the registered endpoints.
  DirectoryTask Directory;
  /// Decides when to load which version.
  LoadController Controller;
  /// Id of the engine; empty: not registered.
  EndpointId EngineId;
  /// Ids registered for the engine's address that the engine rejected as not
  /// its own.
  std::set<EndpointId> RejectedIds;
  /// The last report; Sequence is below 0 if there is none.
  EngineReport LastReport;
  /// The engine's pace by its reports.
  EnginePace Pace;
  /// Model of the load in progress; empty: none.
  std::string LoadingModel;
  /// 0 until the store has given one.
  int64_t FencingNumber = 0;
  /// Serves the metrics.
  std::unique_ptr<HttpServer> MetricsServer;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_LOADER_BASE_H
