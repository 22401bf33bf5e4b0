/// @file
/// The metrics of a process.

#include "net/metrics_base.h"

#include "base/log_func.h"
#include "base/table/refusal_reasons.h"
#include "base/table/retry_reasons.h"

#include <cassert>
#include <prometheus/text_serializer.h>

namespace camphornotch {

namespace {

constexpr const char *Prefix = "camphornotch_";

} // namespace

Metrics::Metrics() : Registry(std::make_shared<prometheus::Registry>()) {
  for (const RefusalSpec &Row : RefusalTable)
    this->Refusals.push_back(
        &this->counter("refusals_total", "Refused requests by reason",
                       {{"reason", std::string(Row.Name)}}));
  for (const RetrySpec &Row : RetryTable)
    this->Retries.push_back(
        &this->counter("retries_total", "Retries by reason",
                       {{"reason", std::string(Row.Name)}}));
}

void Metrics::countRefusal(RefusalReason Reason) {
  const auto Index = static_cast<size_t>(Reason);
  assert(Index < this->Refusals.size());
  this->Refusals[Index]->Increment();
}

void Metrics::countRetry(RetryReason Reason) {
  const auto Index = static_cast<size_t>(Reason);
  assert(Index < this->Retries.size());
  this->Retries[Index]->Increment();
}

prometheus::Counter &Metrics::counter(const std::string &Name,
                                      const std::string &Help,
                                      const prometheus::Labels &Labels) {
  return prometheus::BuildCounter()
      .Name(Prefix + Name)
      .Help(Help)
      .Register(*this->Registry)
      .Add(Labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &Name,
                                  const std::string &Help,
                                  const prometheus::Labels &Labels) {
  return prometheus::BuildGauge()
      .Name(Prefix + Name)
      .Help(Help)
      .Register(*this->Registry)
      .Add(Labels);
}

prometheus::Histogram &
Metrics::histogram(const std::string &Name, const std::string &Help,
                   const prometheus::Histogram::BucketBoundaries &Bounds) {
  return prometheus::BuildHistogram()
      .Name(Prefix + Name)
      .Help(Help)
      .Register(*this->Registry)
      .Add({}, Bounds);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

void setLogGauge(Metrics &Counts) {
  Counts
      .gauge("log_lines_dropped",
             "Log lines dropped since nobody read the standard output.")
      .Set(static_cast<double>(logLinesDropped()));
}

} // namespace camphornotch
