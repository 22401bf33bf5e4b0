/// @file
/// Metrics of the reads of partitions.

#ifndef CAMPHORNOTCH_GATEWAY_PARTITION_READ_METRICS_BASE_H
#define CAMPHORNOTCH_GATEWAY_PARTITION_READ_METRICS_BASE_H

#include "core/store/store_type.h"
#include "net/metrics_base.h"

namespace camphornotch {

/// Metrics of the reads of all partitions of a process.
class PartitionReadMetrics {
public:
  explicit PartitionReadMetrics(Metrics &Counts);

  void readStarted();

  /// Counts the outcome of a read.
  /// @param Elapsed the time since the read was sent.
  void readEnded(const StoreResult<ReadPage> &Page, Millis Elapsed);

private:
  /// Reads that are not answered yet.
  prometheus::Gauge &OpenReads;
  prometheus::Counter &Answered;
  prometheus::Counter &Failed;
  prometheus::Counter &Bytes;
  /// Duration of successful reads.
  prometheus::Histogram &Seconds;
};

/// @return the total size of the records of a page, in bytes.
size_t recordBytes(const ReadPage &Page);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_READ_METRICS_BASE_H
