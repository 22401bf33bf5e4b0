/// @file
/// The metrics of a process, in the Prometheus text format.

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

/// A registry with the counters that all roles have.
class Metrics {
public:
  /// Registers a counter for each row of the refusal and retry tables.
  Metrics();

  void countRefusal(RefusalReason Reason);

  void countRetry(RetryReason Reason);

  /// @param Name without the prefix that all metrics have.
  /// @param Help description of what is counted.
  /// @return the counter, which lives as long as this object.
  prometheus::Counter &counter(const std::string &Name, const std::string &Help,
                               const prometheus::Labels &Labels = {});

  /// @param Name without the prefix that all metrics have.
  /// @param Help description of what is measured.
  /// @return the gauge, which lives as long as this object.
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help,
                           const prometheus::Labels &Labels = {});

  /// @param Name without the prefix that all metrics have.
  /// @param Help description of what is measured, with its unit.
  /// @param Bounds upper bounds of the buckets.
  /// @return the histogram, which lives as long as this object.
  prometheus::Histogram &
  histogram(const std::string &Name, const std::string &Help,
            const prometheus::Histogram::BucketBoundaries &Bounds);

  /// @return all metrics, as served at /metrics.
  std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> Registry;
  /// One counter per refusal reason, in the order of the table.
  std::vector<prometheus::Counter *> Refusals;
  /// One counter per retry reason, in the order of the table.
  std::vector<prometheus::Counter *> Retries;
};

/// Sets the gauge of log lines that were dropped.
void setLogGauge(Metrics &Counts);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_METRICS_BASE_H
