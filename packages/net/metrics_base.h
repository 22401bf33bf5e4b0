/// @file
/// The metrics of a process, in Prometheus's text format.

#ifndef CAMPHORNOTCH_NET_METRICS_BASE_H
#define CAMPHORNOTCH_NET_METRICS_BASE_H

#include "base/refusal_type.h"
#include "base/retry_type.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace camphornotch {

/// Registry with the counters that both roles have.
class Metrics {
public:
  /// Registers a counter for each row of the refusal and retry tables.
  Metrics();

  /// Counts one refusal.
  /// @param Reason why.
  void countRefusal(RefusalReason Reason);

  /// Counts one retry.
  /// @param Reason why.
  void countRetry(RetryReason Reason);

  /// @param Name the metric's name, without the common prefix.
  /// @param Help what it counts.
  /// @param Labels its labels.
  /// @return the counter, valid as long as this object.
  prometheus::Counter &counter(const std::string &Name, const std::string &Help,
                               const prometheus::Labels &Labels = {});

  /// @param Name the metric's name, without the common prefix.
  /// @param Help what it measures.
  /// @param Labels its labels.
  /// @return the gauge, valid as long as this object.
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help,
                           const prometheus::Labels &Labels = {});

  /// @param Name the metric's name, without the common prefix.
  /// @param Help what it measures, with its unit.
  /// @param Bounds upper bounds of the buckets.
  /// @return the histogram, valid as long as this object.
  prometheus::Histogram &
  histogram(const std::string &Name, const std::string &Help,
            const prometheus::Histogram::BucketBoundaries &Bounds);

  /// @return all metrics, as /metrics answers them.
  std::string text() const;

private:
  /// Holds every family.
  std::shared_ptr<prometheus::Registry> Registry;
  /// One counter a refusal reason, in the order of the table.
  std::vector<prometheus::Counter *> Refusals;
  /// One counter a retry reason, in the order of the table.
  std::vector<prometheus::Counter *> Retries;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_METRICS_BASE_H
