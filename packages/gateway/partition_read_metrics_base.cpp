/// @file
/// Metrics of the reads of partitions.

#include "gateway/partition_read_metrics_base.h"

namespace camphornotch {

namespace {

/// Upper bounds of the histogram's buckets, in seconds.
const prometheus::Histogram::BucketBoundaries ReadSecondsBuckets{
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

} // namespace

PartitionReadMetrics::PartitionReadMetrics(Metrics &Counts)
    : OpenReads(Counts.gauge("partition_reads_open",
                             "Reads of partitions that are not answered yet.")),
      Answered(Counts.counter("partition_reads_total",
                              "Reads of partitions by outcome.",
                              {{"outcome", "answered"}})),
      Failed(Counts.counter("partition_reads_total",
                            "Reads of partitions by outcome.",
                            {{"outcome", "failed"}})),
      Bytes(Counts.counter("partition_read_bytes_total",
                           "Bytes of the records read from partitions.")),
      Seconds(Counts.histogram("partition_read_seconds",
                               "Time of answered reads of partitions.",
                               ReadSecondsBuckets)) {}

void PartitionReadMetrics::readStarted() { this->OpenReads.Increment(); }

void PartitionReadMetrics::readEnded(const StoreResult<ReadPage> &Page,
                                     Millis Elapsed) {
  this->OpenReads.Decrement();
  if (!Page.has_value()) {
    this->Failed.Increment();
    return;
  }
  constexpr double MillisPerSecond = 1000.0;
  this->Answered.Increment();
  this->Bytes.Increment(static_cast<double>(recordBytes(Page.value())));
  this->Seconds.Observe(static_cast<double>(Elapsed.Count) / MillisPerSecond);
}

size_t recordBytes(const ReadPage &Page) {
  size_t Bytes = 0;
  for (const std::string &Record : Page.Records)
    Bytes += Record.size();
  return Bytes;
}

} // namespace camphornotch
