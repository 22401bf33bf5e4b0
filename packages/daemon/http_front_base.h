/// @file
/// The entry's HTTP front: probes, metrics and the filter chain.

#ifndef CAMPHORNOTCH_DAEMON_HTTP_FRONT_BASE_H
#define CAMPHORNOTCH_DAEMON_HTTP_FRONT_BASE_H

#include "core/filters/filter_chain_base.h"
#include "daemon/caller_exchange_base.h"
#include "daemon/config_task_base.h"
#include "daemon/log_task_base.h"
#include "net/metrics_base.h"

#include <functional>
#include <memory>

namespace camphornotch {

/// Takes a request that passed the filters.
using RequestSink = std::function<void(std::shared_ptr<CallerExchange>)>;

/// What the front asks the process.
struct FrontQuestions {
  /// @return whether the process can serve; else why not.
  std::function<std::string()> WhyNotReady;
  /// Brings gauges up to date before they are read.
  std::function<void()> BeforeMetrics;
};

/// Owns the HTTP server of an entry.
class HttpFront {
public:
  /// @param Events the loop.
  /// @param Settings the entry's settings.
  /// @param Log holds the rules and the quarantine.
  /// @param Configs holds the rules in force.
  /// @param Counters the process's metrics.
  /// @param Sink takes requests that passed.
  /// @param Questions what the front asks.
  HttpFront(Loop &Events, const EntrySettings &Settings, const LogTask &Log,
            const ConfigTask &Configs, Metrics &Counters, RequestSink Sink,
            FrontQuestions Questions);

  /// Opens the socket.
  /// @return the port, or why the address cannot be had.
  Result<uint16_t> listen();

  /// Runs the filters over a request that another entry forwarded.
  /// @param Exchange the request.
  void takeForwarded(std::shared_ptr<CallerExchange> Exchange);

  /// Goes on accepting for the time that the settings give, so that balancers
  /// see by then that the process is not ready; then stops accepting and waits
  /// for the requests in flight.
  /// @param Done called once none is left.
  void beginStop(std::function<void()> Done);

  /// @return whether no request is open, those of other entries included.
  bool idle() const;

private:
  /// Takes a request from the server.
  /// @param Exchange the request.
  void take(std::shared_ptr<HttpExchange> Exchange);
  /// Answers probes and metrics.
  /// @param Exchange the request.
  /// @return whether it was one of them.
  bool answerProbe(HttpExchange &Exchange);
  /// Runs the filters and hands the request on, or refuses it.
  /// @param Exchange the request.
  void filter(std::shared_ptr<CallerExchange> Exchange);
  /// Counts and logs the end of a request.
  /// @param End what is known of it.
  void note(const ExchangeEnd &End);

  /// The loop.
  Loop &Events;
  /// The entry's settings.
  const EntrySettings &Settings;
  /// Holds the rules and the quarantine.
  const LogTask &Log;
  /// Holds the rules in force.
  const ConfigTask &Configs;
  /// The process's metrics.
  Metrics &Counters;
  /// Takes requests that passed.
  RequestSink Sink;
  /// What the front asks.
  FrontQuestions Questions;
  /// The filters.
  FilterChain Chain;
  /// The server.
  std::unique_ptr<HttpServer> Server;
  /// In front of the ids of requests that bring none.
  std::string IdPrefix;
  /// The last number used in such an id.
  uint64_t LastId = 0;
  /// Requests answered.
  prometheus::Counter &Answered;
  /// Requests whose caller went away first.
  prometheus::Counter &Gone;
  /// Milliseconds from receipt to answer.
  prometheus::Histogram &Latency;
  /// Requests open.
  size_t Open = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_HTTP_FRONT_BASE_H
