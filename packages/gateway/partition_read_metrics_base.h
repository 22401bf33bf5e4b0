/// @file
/// Metrics of the reads of partitions.

#ifndef CAMPHORNOTCH_GATEWAY_PARTITION_READ_METRICS_BASE_H
#define CAMPHORNOTCH_GATEWAY_PARTITION_READ_METRICS_BASE_H

#include "core/store/store_type.h"
#include "net/metrics_base.h"

namespace camphornotch {

/// Counts the reads of all partitions of a process.
class PartitionReadMetrics {
public:
  /// @param Counts where the metrics are registered.
  explicit PartitionReadMetrics(Metrics &Counts);

  /// Notes that a read was sent.
  void begun();

  /// Notes the outcome of a read.
  /// @param Page the records, or why there are none.
  /// @param Took the time since it was sent.
  void ended(const StoreResult<ReadPage> &Page, Millis Took);

private:
  /// Reads that are not answered yet.
  prometheus::Gauge &Open;
  /// Reads that were answered.
  prometheus::Counter &Answered;
  /// Reads that failed.
  prometheus::Counter &Failed;
  /// Bytes of the records that were read.
  prometheus::Counter &Bytes;
  /// Time of reads that were answered, in seconds.
  prometheus::Histogram &Seconds;
};

/// @param Page records.
/// @return their bytes.
size_t recordBytes(const ReadPage &Page);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_READ_METRICS_BASE_H
