/// @file
/// Forwards callers' calls to the owners of the partitions they concern.

#ifndef CAMPHORNOTCH_GATEWAY_OWNER_CALL_BASE_H
#define CAMPHORNOTCH_GATEWAY_OWNER_CALL_BASE_H

#include "core/batch/batch_type.h"
#include "core/batch/owner_table_base.h"
#include "net/http_client_base.h"
#include "net/http_server_base.h"
#include "net/metrics_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphornotch {

/// A call about a partition that another process owns.
struct OwnerCall {
  PartitionId Partition;
  /// The submission that the call concerns.
  SubmissionId Submission;
  std::shared_ptr<HttpExchange> Exchange;
  /// Time that the owner may need, without the network delay.
  Millis Wait{0};
  /// Serves the call if this process follows the partition; returns whether it
  /// did.
  std::function<bool()> ServeIfFollowed;
  /// Follows the partition in this process and serves the call from that.
  std::function<void()> ServeLocally;
  /// Tells the caller to retry later; takes the reason.
  std::function<void(std::string_view)> RetryLater;
};

/// Finds out the owners of partitions from the store and forwards calls to
/// them.
class OwnerCallTask {
public:
  /// @param Group the store's group of the owners.
  OwnerCallTask(Loop &Events, HttpClient &Http, platform::StoreClient &Store,
                Metrics &Counts, std::string Group);

  /// Sets the member name of this process, to which no call is forwarded.
  void begin(const std::string &Self) { this->Owners = OwnerTable(Self); }

  /// Forwards a call to the owner and passes its answer to the caller, or
  /// serves the call without the owner.
  void dispatch(OwnerCall Call);

  /// Notes the group's generation, as returned by a join.
  void noteGeneration(int64_t Generation) {
    this->Owners.noteGeneration(Generation);
  }

private:
  /// A call under way.
  struct PendingCall {
    OwnerCall Call;
    int Steps = 0;
    Millis StartedAt{0};
  };

  /// Serves the call locally if possible, else decides on its next step.
  void proceed(const std::shared_ptr<PendingCall> &Pending);
  /// Carries out the next step of a call.
  void applyDecision(const std::shared_ptr<PendingCall> &Pending,
                     const OwnerDecision &Decision);
  /// Retries a call after a pause, or tells its caller to retry later.
  /// @param Cause why no owner serves the call.
  void retryOrRefuse(const std::shared_ptr<PendingCall> &Pending,
                     std::string_view Cause);
  /// Sends a call to its owner.
  /// @param NewConnection whether to use a new connection, because a kept one
  /// broke.
  void send(const std::shared_ptr<PendingCall> &Pending,
            const OwnerMember &Owner, bool NewConnection);
  void onAnswer(const std::shared_ptr<PendingCall> &Pending,
                const OwnerMember &Owner, Millis SentAt, HttpResponse Response);
  void onNoAnswer(const std::shared_ptr<PendingCall> &Pending,
                  const OwnerMember &Owner, Millis SentAt,
                  std::string_view Cause);
  /// Logs that an owner did not serve a call.
  static void logUnserved(const PendingCall &Pending, const OwnerMember &Owner,
                          Millis SentAt, std::string_view Cause);
  /// Asks the store for the owners if a lookup is due.
  void lookUp();
  /// Takes the store's answer and resumes the calls that wait for it.
  /// @param Elapsed the time since the lookup was sent.
  void onOwners(const StoreResult<std::vector<PartitionOwner>> &Found,
                Millis Elapsed);

  Loop &Events;
  HttpClient &Http;
  platform::StoreClient &Store;
  std::string Group;
  OwnerTable Owners{std::string()};
  /// Calls that wait for a lookup of the owners.
  std::vector<std::shared_ptr<PendingCall>> AwaitingLookup;
  /// Calls that owners answered.
  prometheus::Counter &Answered;
  /// Calls refused by members that do not own the partition.
  prometheus::Counter &Refused;
  /// Calls to owners that had not yet read the partition.
  prometheus::Counter &CatchingUp;
  /// Calls that got no answer.
  prometheus::Counter &Unanswered;
  /// Calls whose callers were told to retry later.
  prometheus::Counter &ToldToRetry;
  /// Calls served by this process in place of the owner.
  prometheus::Counter &ServedLocally;
};

/// @return the member for which a peer's request is meant; empty if none is
/// named.
std::string_view requestedMember(const HttpRequest &Request);

/// @return the id of the submission that a peer's request concerns; empty: the
/// request names it in its path alone.
std::string_view requestedSubmissionId(const HttpRequest &Request);

/// Names the requested member in an answer to a peer, so that the peer notices
/// when another process now listens at the address.
void addMemberHeader(const HttpRequest &Request, HttpResponse &Response);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_OWNER_CALL_BASE_H
