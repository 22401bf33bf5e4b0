/// @file
/// Second runs of items under newer weights, for the next submission.

#ifndef CAMPHORNOTCH_GATEWAY_SECOND_RUN_BASE_H
#define CAMPHORNOTCH_GATEWAY_SECOND_RUN_BASE_H

#include "core/batch/item_scheduler_base.h"
#include "gateway/event_stream_base.h"
#include "net/http_client_base.h"
#include "net/metrics_base.h"

#include <map>
#include <optional>
#include <vector>

namespace camphornotch {

/// Runs items again from their first event while their first runs continue. The
/// text of a second run is never the item's result: it is only kept as a
/// leftover for the next submission. A second run only uses slots that nothing
/// else needs. Any failure ends it, and a failed second run is not retried.
class SecondRuns {
public:
  SecondRuns(HttpClient &Http, EndpointPool &Pool, Metrics &Counts)
      : Http(Http), Pool(Pool), Counts(Counts) {}

  /// Starts a second run, if the item had none and an engine with the newest
  /// version has enough free slots.
  /// @param Item its entry in the scheduler.
  /// @param OldestVersion the oldest version in its first run's text; -1: no
  ///   text yet.
  /// @param FirstRunEngine the engine of its first run, which is not chosen.
  void startIfPossible(const ItemKey &Key, const ScheduledItem &Item,
                       int64_t OldestVersion, const SubmissionState &State,
                       const EndpointId &FirstRunEngine);

  /// Ends the runs that have received no event for a while.
  void stopStalled();

  /// Ends an item's second run; its text is kept.
  /// @param Cause for the log.
  void stop(const ItemKey &Key, std::string_view Cause);

  /// Ends a submission's second runs and forgets their texts.
  void removeSubmission(const SubmissionId &Id);

  /// @return the text of its second run; absent if there is none.
  std::optional<wire::LeftoverText> leftover(const ItemKey &Key) const;

  /// @return the number of second runs in progress.
  size_t running() const;

private:
  struct Run {
    EndpointId Endpoint;
    /// When the engine's lifetime began that the call was sent to.
    int64_t EngineStartedAtMs = 0;
    /// The call at the engine; 0 once it has ended.
    HttpCallId Call;
    /// Size of the text, checked against its limits.
    TextSize Size;
    /// Parser of the answer's events.
    EventStream Stream;
    std::vector<wire::TextEvent> Events;
    /// Version of the engine's software.
    std::string Software;
    /// Version of the weights that generates the next event; -1: not known.
    int64_t Version = -1;
    /// When the last event arrived, or the call started.
    Millis LastEventAt{0};
    /// Whether the text is complete.
    bool Complete = false;
  };

  void startCall(const ItemKey &Key, HttpCall Call);
  void onHead(const ItemKey &Key, const HttpResponse &Response);
  void onChunk(const ItemKey &Key, std::string_view Part);
  /// Handles the end of a stream.
  void onFinished(const ItemKey &Key);

  HttpClient &Http;
  EndpointPool &Pool;
  Metrics &Counts;
  /// All second runs, also those that have ended: an item gets one at most.
  std::map<ItemKey, Run> Runs;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_SECOND_RUN_BASE_H
