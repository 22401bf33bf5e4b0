/// @file
/// Batch submissions: calls forwarded to a partition's owner, and calls of
/// peers.

#include "gateway/batch_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"

#include <optional>

namespace camphornotch {

namespace {

/// How long a partition of another owner is followed here after its owner could
/// not be reached, or after this process lost the partition.
constexpr Millis LocalFollowTime{15'000};
/// Retry-After while a partition has no owner or its owner still reads it.
constexpr Millis OwnerRetryAfter{400};

/// @return the submission that a call concerns; nothing if peers may not make
/// such a call.
std::optional<SubmissionId>
requestedSubmission(const platform::DecodedRequest &Ask) {
  if (const auto *Read = std::get_if<platform::ResultsRead>(&Ask))
    return Read->Id;
  if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
    return Body->Key.Submission;
  if (const auto *Ending = std::get_if<platform::SubmissionEndRequest>(&Ask))
    return Ending->Id;
  return std::nullopt;
}

/// Sets the submission that a peer's call concerns. The path of the call has
/// the caller's id, which lacks the account.
/// @param Id the id within this system; empty: that of the path stays.
void setSubmission(platform::DecodedRequest &Ask, std::string_view Id) {
  if (Id.empty())
    return;
  const SubmissionId Named{std::string(Id)};
  if (auto *Read = std::get_if<platform::ResultsRead>(&Ask))
    Read->Id = Named;
  else if (auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
    Body->Key.Submission = Named;
  else if (auto *Ending = std::get_if<platform::SubmissionEndRequest>(&Ask))
    Ending->Id = Named;
}

/// Answers a peer's request with an error.
void refusePeer(const std::shared_ptr<HttpExchange> &Exchange, int Status,
                std::string_view Reason) {
  logLine(LogLevel::Info, "call of a peer refused",
          {{"path", Exchange->request().Path},
           {"peer", Exchange->request().Peer},
           {"status", concat(Status)},
           {"cause", Reason}});
  HttpResponse Response =
      platform::encodeRefusal(Status, Reason, OwnerRetryAfter);
  addMemberHeader(Exchange->request(), Response);
  Exchange->answer(Response);
}

} // namespace

bool BatchTask::servesLocally(const PartitionId &Partition, Millis Now) {
  if (this->Owned.contains(Partition))
    return true;
  const auto Until = this->FollowedUntil.find(Partition);
  if (Until == this->FollowedUntil.end())
    return false;
  if (Now < Until->second)
    return this->follower(Partition).fresh();
  this->FollowedUntil.erase(Until);
  return false;
}

void BatchTask::followLocally(const PartitionId &Partition) {
  const Millis Until = steadyNow() + LocalFollowTime;
  this->FollowedUntil[Partition] = Until;
  this->follower(Partition).followUntil(Until);
}

void BatchTask::route(const std::shared_ptr<HttpExchange> &Exchange,
                      const SubmissionId &Id, Millis Wait,
                      const std::function<void()> &ServeLocally) {
  const PartitionId Partition = this->partitionOf(Id);
  OwnerCall Call;
  Call.Partition = Partition;
  Call.Submission = Id;
  Call.Exchange = Exchange;
  Call.Wait = Wait;
  Call.ServeIfFollowed = [this, Partition, ServeLocally] {
    const bool Reads = this->servesLocally(Partition, steadyNow());
    if (Reads)
      ServeLocally();
    return Reads;
  };
  Call.ServeLocally = [this, Partition, ServeLocally] {
    this->followLocally(Partition);
    ServeLocally();
  };
  Call.RetryLater = [this, Exchange](std::string_view Reason) {
    this->refuse(Exchange, StatusUnavailable, Reason, OwnerRetryAfter);
  };
  this->OwnerCalls.dispatch(std::move(Call));
}

void BatchTask::onPeerRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  platform::DecodedRequest Ask = platform::decodeCallerRequest(Request);
  setSubmission(Ask, requestedSubmissionId(Request));
  const std::optional<SubmissionId> Id = requestedSubmission(Ask);
  if (!Id.has_value() || requestedMember(Request) != this->member()) {
    refusePeer(Exchange, StatusMisdirected, "not a call for this member");
    return;
  }
  const PartitionId Partition = this->partitionOf(*Id);
  if (!this->servesLocally(Partition, steadyNow())) {
    refusePeer(Exchange, StatusMisdirected, "not the partition's owner");
    return;
  }
  const PartitionFollower &Follower = this->follower(Partition);
  if (!Follower.caughtUp() && Follower.fold().find(*Id) == nullptr) {
    refusePeer(Exchange, StatusUnavailable, "partition not read yet");
    return;
  }
  if (const auto *Read = std::get_if<platform::ResultsRead>(&Ask))
    this->readResultsLocally(Exchange, *Read);
  else if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
    this->readBodyLocally(Exchange, *Body);
  else
    this->endLocally(Exchange, std::get<platform::SubmissionEndRequest>(Ask));
}

} // namespace camphornotch
