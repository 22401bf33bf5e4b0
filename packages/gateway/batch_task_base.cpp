/// @file
/// Batch submissions: accepting them and serving their results.

#include "gateway/batch_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/store/store_func.h"

#include <utility>

namespace camphornotch {

namespace {

constexpr const char *BatchTopic = "batch";
/// The store's group in which gateways share the partitions.
constexpr const char *BatchGroup = "gateways";
/// Time after its last join at which a member loses its partitions. The store's
/// minimum is 1 s; links between regions and a slow store delay joins.
constexpr Millis MemberLifetime{1'800};
/// How long a partition is followed after a call that used it: the longest wait
/// of a read plus time to answer it.
constexpr Millis FollowGrace{2'000};
/// Time for the owner to append the end of a submission.
constexpr Millis OwnerAppendTime{1'500};
/// Time for the append of a submission or its end. After it the caller is told
/// that the outcome is unknown.
constexpr Millis CallerAppendTime{3'500};
/// Retry-After when the store does not answer.
constexpr Millis StoreRetryAfter{400};

/// Answers a request of a caller or a peer.
void reply(const std::shared_ptr<HttpExchange> &Exchange,
           HttpResponse Response) {
  addMemberHeader(Exchange->request(), Response);
  Exchange->answer(Response);
}

void answerEmpty(const std::shared_ptr<HttpExchange> &Exchange, int Status) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = "{}";
  reply(Exchange, std::move(Response));
}

void answerResults(const std::shared_ptr<HttpExchange> &Exchange,
                   const platform::ResultsRead &Query,
                   const SubmissionState &State) {
  HttpResponse Response;
  Response.Status = StatusOk;
  Response.Body = platform::encodeResults(State, Query.FirstIndex);
  reply(Exchange, std::move(Response));
}

} // namespace

BatchTask::BatchTask(
    const BatchTaskDependencies &Dependencies, const GatewaySettings &Settings,
    std::function<const RouteTable &()> Routes,
    std::function<void(const std::string &, int64_t)> OnVersionNeeded)
    : Events(Dependencies.Events), Store(Dependencies.Store),
      Counts(Dependencies.Counts), ReadCounts(Dependencies.Counts),
      HistoryReads(Dependencies.Events, Dependencies.Store), Settings(Settings),
      Routes(std::move(Routes)), OnVersionNeeded(std::move(OnVersionNeeded)),
      Appender(Dependencies.Events, Dependencies.Store,
               static_cast<size_t>(Settings.RecordBytes)),
      OwnerCalls(Dependencies.Events, Dependencies.Http, Dependencies.Store,
                 Dependencies.Counts, BatchGroup),
      Leftovers(Dependencies.Events, Dependencies.Store, HistoryReads,
                Settings.Partitions, static_cast<size_t>(Settings.RecordBytes)),
      Items(Dependencies.Events, Dependencies.Http, Dependencies.Pool,
            Dependencies.Forward, Dependencies.Counts,
            ItemTaskCallbacks{
                [this](const SubmissionId &Id) -> const SubmissionState * {
                  return this->follower(this->partitionOf(Id)).fold().find(Id);
                },
                [this](const SubmissionId &Id) { return this->knowsEnd(Id); },
                [this]() -> const RouteTable & { return this->Routes(); },
                [this](const wire::ItemResultRecord &Result) {
                  wire::BatchRecord Record;
                  const SubmissionId Id{Result.Submission};
                  Record.__set_Result(Result);
                  this->appendRecord(Record, Id, AppendPolicy{});
                },
                [this](const wire::ItemProgressRecord &Progress) {
                  wire::BatchRecord Record;
                  const SubmissionId Id{Progress.Submission};
                  Record.__set_Progress(Progress);
                  this->appendRecord(
                      Record, Id, AppendPolicy{steadyNow() + MemberLifetime});
                }},
            ItemTaskOptions{parseItemOrder(Settings.ItemOrder),
                            Settings.MoveItems, Settings.SecondRuns}) {
  this->Member.Group = BatchGroup;
  this->Member.Topics = {BatchTopic};
  this->Member.SessionTimeout = MemberLifetime;
}

PartitionId BatchTask::partitionOf(const SubmissionId &Id) const {
  return partitionFor(BatchTopic, Id.Value, this->Settings.Partitions);
}

PartitionFollower &BatchTask::follower(const PartitionId &Partition) {
  std::unique_ptr<PartitionFollower> &Follower = this->Followers[Partition];
  if (Follower == nullptr)
    Follower = std::make_unique<PartitionFollower>(
        PartitionFollowerDependencies{this->Events, this->Store,
                                      this->HistoryReads, this->ReadCounts},
        Partition,
        [this, Partition](const std::vector<PartitionChange> &Changes) {
          this->onChanges(Partition, Changes);
        });
  return *Follower;
}

void BatchTask::appendRecord(const wire::BatchRecord &Record,
                             const SubmissionId &Id, AppendPolicy Policy) {
  this->Appender.append(this->partitionOf(Id), Record, Policy,
                        [](AppendOutcome) {});
}

void BatchTask::refuse(const std::shared_ptr<HttpExchange> &Exchange,
                       int Status, std::string_view Reason, Millis RetryAfter) {
  logLine(LogLevel::Info, "batch call refused",
          {{"path", Exchange->request().Path},
           {"status", concat(Status)},
           {"cause", Reason}});
  this->Counts.countRefusal(Status == StatusBadRequest
                                ? RefusalReason::BadRequest
                                : RefusalReason::LogUnavailable);
  reply(Exchange, platform::encodeRefusal(Status, Reason, RetryAfter));
}

void BatchTask::submit(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::RoutedRequest &Request,
                       const std::optional<std::string> &AccountName) {
  Result<wire::SubmissionRecord> Read =
      platform::decodeSubmission(Request.RequestId, Exchange->request());
  if (!Read.has_value()) {
    this->refuse(Exchange, StatusBadRequest, Read.error().Message, Millis{0});
    return;
  }
  if (AccountName.has_value())
    Read.value().__set_Account(*AccountName);
  const SubmissionId Id{Request.RequestId};
  const PartitionId Partition = this->partitionOf(Id);
  const Millis Now = steadyNow();
  if (this->follower(Partition).fold().find(Id) != nullptr) {
    answerEmpty(Exchange, StatusAccepted);
    return;
  }
  const Millis Timeout = std::min(CallerAppendTime, Request.TimeLeft);
  const size_t Count = Read.value().Items.size();
  wire::BatchRecord Record;
  Record.__set_Submission(Read.value());
  this->Appender.append(
      Partition, Record, AppendPolicy{Now + Timeout},
      [this, Exchange, Id, Count, Now](AppendOutcome Outcome) {
        const Millis Elapsed = steadyNow() - Now;
        logLine(LogLevel::Info, "submission appended",
                {{"request_id", Id.Value},
                 {"items", concat(Count)},
                 {"took_ms", concat(Elapsed.Count)},
                 {"end", concat(static_cast<int>(Outcome))}});
        if (Outcome == AppendOutcome::Stored)
          answerEmpty(Exchange, StatusAccepted);
        else if (Outcome == AppendOutcome::NotStored)
          this->refuse(Exchange, StatusUnavailable, "store unavailable",
                       StoreRetryAfter);
        else
          this->refuse(Exchange, StatusGatewayTimeout,
                       "the store did not say whether it took it", Millis{0});
      });
}

void BatchTask::withSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                               const SubmissionId &Id,
                               const SubmissionHandler &OnFound) {
  const PartitionId Partition = this->partitionOf(Id);
  PartitionFollower &Follower = this->follower(Partition);
  const auto Until = this->FollowedUntil.find(Partition);
  const Millis Now = steadyNow();
  Follower.followUntil(
      (Until == this->FollowedUntil.end() ? Now : Until->second) + FollowGrace);
  if (const SubmissionState *State = Follower.fold().find(Id)) {
    OnFound(*State);
    return;
  }
  Follower.refresh([this, Exchange, Id, Partition, OnFound](bool Reached) {
    const PartitionFollower &Refreshed = this->follower(Partition);
    if (const SubmissionState *State = Refreshed.fold().find(Id))
      OnFound(*State);
    else if (!Reached || Refreshed.fold().incomplete())
      this->refuse(Exchange, StatusUnavailable, "partition not read",
                   StoreRetryAfter);
    else
      this->refuse(Exchange, StatusNotFound, "no such submission", Millis{0});
  });
}

void BatchTask::readResults(const std::shared_ptr<HttpExchange> &Exchange,
                            const platform::ResultsRead &Query) {
  this->route(Exchange, Query.Id, Query.Wait, [this, Exchange, Query] {
    this->readResultsLocally(Exchange, Query);
  });
}

void BatchTask::readResultsLocally(
    const std::shared_ptr<HttpExchange> &Exchange,
    const platform::ResultsRead &Query) {
  this->withSubmission(Exchange, Query.Id,
                       [this, Exchange, Query](const SubmissionState &State) {
                         this->answerOrWait(Exchange, Query, State);
                       });
}

void BatchTask::answerOrWait(const std::shared_ptr<HttpExchange> &Exchange,
                             const platform::ResultsRead &Query,
                             const SubmissionState &State) {
  const bool HasNewResults =
      Query.FirstIndex < static_cast<int64_t>(State.Results.size());
  if (HasNewResults || Query.Wait <= Millis{0} || State.Ended ||
      this->Leaving) {
    // An ended submission may still get results.
    const bool UpToDate =
        HasNewResults || this->follower(this->partitionOf(Query.Id)).fresh();
    if (UpToDate)
      answerResults(Exchange, Query, State);
    else
      this->answerRefreshed(Exchange, Query);
    return;
  }
  const uint64_t Number = ++this->LastReadNumber;
  WaitingRead Waiting{Exchange, Query, {}};
  Waiting.Timer = this->Events.callAfter(
      Query.Wait, [this, Number] { this->answerWaiting(Number); });
  Exchange->onGone([this, Number] {
    const auto Found = this->WaitingReads.find(Number);
    if (Found == this->WaitingReads.end())
      return;
    this->Events.cancel(Found->second.Timer);
    this->WaitingReads.erase(Found);
  });
  this->WaitingReads.emplace(Number, std::move(Waiting));
}

void BatchTask::answerRefreshed(const std::shared_ptr<HttpExchange> &Exchange,
                                const platform::ResultsRead &Query) {
  const PartitionId Partition = this->partitionOf(Query.Id);
  PartitionFollower &Follower = this->follower(Partition);
  Follower.followUntil(steadyNow() + FollowGrace);
  Follower.refresh([this, Exchange, Query, Partition](bool Reached) {
    const SubmissionState *State =
        this->follower(Partition).fold().find(Query.Id);
    const bool HasNewResults =
        State != nullptr &&
        Query.FirstIndex < static_cast<int64_t>(State->Results.size());
    if (State != nullptr && (HasNewResults || Reached))
      answerResults(Exchange, Query, *State);
    else
      this->refuse(Exchange, StatusUnavailable, "partition not read lately",
                   StoreRetryAfter);
  });
}

void BatchTask::answerWaiting(uint64_t Number) {
  auto Node = this->WaitingReads.extract(Number);
  if (Node.empty())
    return;
  WaitingRead &Read = Node.mapped();
  this->Events.cancel(Read.Timer);
  Read.Exchange->onGone(nullptr);
  Read.Query.Wait = Millis{0};
  const SubmissionState *State =
      this->follower(this->partitionOf(Read.Query.Id))
          .fold()
          .find(Read.Query.Id);
  if (State != nullptr)
    this->answerOrWait(Read.Exchange, Read.Query, *State);
  else
    this->refuse(Read.Exchange, StatusUnavailable, "submission forgotten",
                 StoreRetryAfter);
}

void BatchTask::readBody(const std::shared_ptr<HttpExchange> &Exchange,
                         const platform::ItemBodyRead &Query) {
  this->route(
      Exchange, Query.Key.Submission, Millis{0},
      [this, Exchange, Query] { this->readBodyLocally(Exchange, Query); });
}

void BatchTask::readBodyLocally(const std::shared_ptr<HttpExchange> &Exchange,
                                const platform::ItemBodyRead &Query) {
  this->withSubmission(
      Exchange, Query.Key.Submission,
      [this, Exchange, Query](const SubmissionState &State) {
        const wire::BatchItemField *Item = findItem(State, Query.Key.Item);
        if (Item == nullptr) {
          this->refuse(Exchange, StatusNotFound, "no such item", Millis{0});
          return;
        }
        HttpResponse Response;
        Response.ContentType = "application/octet-stream";
        Response.Body = Item->Body;
        reply(Exchange, std::move(Response));
      });
}

void BatchTask::endSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                              const platform::SubmissionEndRequest &Request) {
  this->route(Exchange, Request.Id, OwnerAppendTime, [this, Exchange, Request] {
    this->endLocally(Exchange, Request);
  });
}

void BatchTask::endLocally(const std::shared_ptr<HttpExchange> &Exchange,
                           const platform::SubmissionEndRequest &Request) {
  const SubmissionId Id = Request.Id;
  this->withSubmission(
      Exchange, Id, [this, Exchange, Id](const SubmissionState &State) {
        if (State.Ended) {
          answerEmpty(Exchange, StatusOk);
          return;
        }
        wire::SubmissionEndRecord End;
        End.Submission = Id.Value;
        wire::BatchRecord Record;
        Record.__set_End(End);
        this->Appender.append(
            this->partitionOf(Id), Record,
            AppendPolicy{steadyNow() + CallerAppendTime},
            [this, Exchange, Id](AppendOutcome Outcome) {
              logLine(LogLevel::Info, "submission ended by its caller",
                      {{"request_id", Id.Value},
                       {"end", concat(static_cast<int>(Outcome))}});
              if (Outcome == AppendOutcome::Stored)
                answerEmpty(Exchange, StatusOk);
              else
                this->refuse(Exchange,
                             Outcome == AppendOutcome::NotStored
                                 ? StatusUnavailable
                                 : StatusGatewayTimeout,
                             "store unavailable", StoreRetryAfter);
            });
      });
}

} // namespace camphornotch
