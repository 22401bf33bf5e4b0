/// @file
/// Batch submissions: calls that go to a partition's owner, and those of peers.

#include "gateway/batch_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"

#include <optional>

namespace camphornotch {

namespace {

/// How long a partition of another process is read here once its owner could
/// not be had, or its ownership was lost.
constexpr Millis ReadHereFor{15'000};
/// Retry-After while a partition's owner is missing or reading.
constexpr Millis RetryOwner{400};

/// @param Ask what a peer asks.
/// @return the submission that it is about; none: it is no call for peers.
std::optional<SubmissionId>
submissionAsked(const platform::DecodedRequest &Ask) {
  if (const auto *Read = std::get_if<platform::ResultsRead>(&Ask))
    return Read->Id;
  if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
    return Body->Key.Submission;
  if (const auto *Ending = std::get_if<platform::SubmissionEndRequest>(&Ask))
    return Ending->Id;
  return std::nullopt;
}

/// @param Exchange a request of a peer.
/// @param Status the status.
/// @param Why why.
void refusePeer(const std::shared_ptr<HttpExchange> &Exchange, int Status,
                std::string_view Why) {
  logLine(LogLevel::Info, "call of a peer refused",
          {{"path", Exchange->request().Path},
           {"peer", Exchange->request().Peer},
           {"status", concat(Status)},
           {"cause", Why}});
  HttpResponse Response = platform::encodeRefusal(Status, Why, RetryOwner);
  markAnswer(Exchange->request(), Response);
  Exchange->answer(Response);
}

} // namespace

bool BatchTask::readsHere(const PartitionId &Where, Millis Now) {
  if (this->Owned.contains(Where))
    return true;
  const auto Until = this->HereUntil.find(Where);
  if (Until == this->HereUntil.end())
    return false;
  if (Now < Until->second)
    return this->follower(Where).fresh();
  this->HereUntil.erase(Until);
  return false;
}

void BatchTask::readHere(const PartitionId &Where) {
  const Millis Until = steadyNow() + ReadHereFor;
  this->HereUntil[Where] = Until;
  this->follower(Where).keep(Until);
}

void BatchTask::route(const std::shared_ptr<HttpExchange> &Exchange,
                      const SubmissionId &Id, Millis Wait,
                      const std::function<void()> &Here) {
  const PartitionId Where = this->partitionOf(Id);
  OwnerCall Call;
  Call.Where = Where;
  Call.Exchange = Exchange;
  Call.Wait = Wait;
  Call.ServeIfRead = [this, Where, Here] {
    const bool Reads = this->readsHere(Where, steadyNow());
    if (Reads)
      Here();
    return Reads;
  };
  Call.ReadHere = [this, Where, Here] {
    this->readHere(Where);
    Here();
  };
  Call.ComeAgain = [this, Exchange](std::string_view Why) {
    this->refuse(Exchange, StatusUnavailable, Why, RetryOwner);
  };
  this->OwnerCalls.ask(std::move(Call));
}

void BatchTask::onPeer(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const platform::DecodedRequest Ask = platform::decodeCallerRequest(Request);
  const std::optional<SubmissionId> Id = submissionAsked(Ask);
  if (!Id.has_value() || memberAsked(Request) != this->member()) {
    refusePeer(Exchange, StatusMisdirected, "not a call for this member");
    return;
  }
  const PartitionId Where = this->partitionOf(*Id);
  if (!this->readsHere(Where, steadyNow())) {
    refusePeer(Exchange, StatusMisdirected, "not the partition's owner");
    return;
  }
  const PartitionFollower &Following = this->follower(Where);
  if (!Following.caughtUp() && Following.fold().find(*Id) == nullptr) {
    refusePeer(Exchange, StatusUnavailable, "partition not read yet");
    return;
  }
  if (const auto *Read = std::get_if<platform::ResultsRead>(&Ask))
    this->readResultsHere(Exchange, *Read);
  else if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
    this->readBodyHere(Exchange, *Body);
  else
    this->endHere(Exchange, std::get<platform::SubmissionEndRequest>(Ask));
}

} // namespace camphornotch
