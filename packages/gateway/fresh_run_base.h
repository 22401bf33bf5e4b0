/// @file
/// Second runs of items under newer weights, for the submission after.

#ifndef CAMPHORNOTCH_GATEWAY_FRESH_RUN_BASE_H
#define CAMPHORNOTCH_GATEWAY_FRESH_RUN_BASE_H

#include "core/batch/item_scheduler_base.h"
#include "gateway/event_stream_base.h"
#include "net/http_client_base.h"

#include <map>
#include <optional>
#include <vector>

namespace camphornotch {

/// Runs items anew, from their first event, while their own runs go on. What a
/// second run makes is never the item's result: it is only kept as a leftover.
/// It gives way to everything else, and any trouble ends it for good.
class FreshRuns {
public:
  /// @param Http sends the runs.
  /// @param Pool the endpoints.
  FreshRuns(HttpClient &Http, EndpointPool &Pool) : Http(Http), Pool(Pool) {}

  /// Starts a second run, if there was none and an engine with the newest
  /// version has slots to spare.
  /// @param Key the item.
  /// @param Item what the scheduler knows of it.
  /// @param Oldest the oldest version in its own run's text; -1: no text yet.
  /// @param State its submission.
  /// @param Own the engine of its own run.
  void consider(const ItemKey &Key, const ScheduledItem &Item, int64_t Oldest,
                const SubmissionState &State, const EndpointId &Own);

  /// Ends the runs that no event came from for a while.
  void dropSilent();

  /// Ends an item's second run; its text stays.
  /// @param Key the item.
  /// @param Cause why, for the log.
  void stop(const ItemKey &Key, std::string_view Cause);

  /// Ends a submission's second runs and forgets their texts.
  /// @param Id the submission.
  void forgetAll(const SubmissionId &Id);

  /// @param Key an item.
  /// @return what its second run made; absent: nothing.
  std::optional<wire::LeftoverText> leftover(const ItemKey &Key) const;

  /// @return second runs that go on.
  size_t running() const;

private:
  /// One second run.
  struct Run {
    /// The engine.
    EndpointId Endpoint;
    /// The call; 0 once it has ended.
    HttpCallId Call;
    /// How long the text is.
    TextSize Size;
    /// What is not taken of its answer yet.
    EventStream Stream;
    /// The events.
    std::vector<wire::TextEvent> Events;
    /// The version that makes the next event.
    int64_t Version = -1;
    /// When the last event came.
    Millis LastAt{0};
    /// Whether the text is whole.
    bool Whole = false;
  };

  /// @param Key the item.
  /// @param Call its call.
  void begin(const ItemKey &Key, HttpCall Call);
  /// @param Key the item.
  /// @param Response the head of the answer.
  void onHead(const ItemKey &Key, const HttpResponse &Response);
  /// @param Key the item.
  /// @param Part a part of the stream.
  void onChunk(const ItemKey &Key, std::string_view Part);
  /// Takes in the end of a stream.
  /// @param Key the item.
  void onEnd(const ItemKey &Key);

  /// Sends the runs.
  HttpClient &Http;
  /// The endpoints.
  EndpointPool &Pool;
  /// The runs so far, also those that have ended: an item has one at most.
  std::map<ItemKey, Run> Runs;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_FRESH_RUN_BASE_H
