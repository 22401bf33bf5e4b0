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
constexpr Millis FollowTail{2'000};
/// Time for the owner to append the end of a submission.
constexpr Millis OwnerAppendTime{1'500};
/// Time for the append of a submission or its end. After it the caller is told
/// that the outcome is unknown.
constexpr Millis CallerAppendTime{3'500};
/// Retry-After when the store does not answer.
constexpr Millis RetryStore{400};

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
                   const platform::ResultsRead &Asked,
                   const SubmissionState &State) {
  HttpResponse Response;
  Response.Status = StatusOk;
  Response.Body = platform::encodeResults(State, Asked.From);
  reply(Exchange, std::move(Response));
}

} // namespace

BatchTask::BatchTask(const BatchTaskParts &Parts,
                     const GatewaySettings &Settings,
                     std::function<const RouteTable &()> Routes,
                     std::function<void(const std::string &, int64_t)> Demanded)
    : Events(Parts.Events), Store(Parts.Store), Counts(Parts.Counts),
      ReadCounts(Parts.Counts), HistoryReads(Parts.Events, Parts.Store),
      Settings(Settings), Routes(std::move(Routes)),
      Demanded(std::move(Demanded)),
      Appender(Parts.Events, Parts.Store,
               static_cast<size_t>(Settings.RecordBytes)),
      OwnerCalls(Parts.Events, Parts.Http, Parts.Store, Parts.Counts,
                 BatchGroup),
      Leftovers(Parts.Events, Parts.Store, HistoryReads, Settings.Partitions,
                static_cast<size_t>(Settings.RecordBytes)),
      Items(Parts.Events, Parts.Http, Parts.Pool, Parts.Forward, Parts.Counts,
            ItemTaskEvents{
                [this](const SubmissionId &Id) -> const SubmissionState * {
                  return this->follower(this->partitionOf(Id)).fold().find(Id);
                },
                [this](const SubmissionId &Id) { return this->knowsEnd(Id); },
                [this]() -> const RouteTable & { return this->Routes(); },
                [this](const wire::ItemResultRecord &Result) {
                  wire::BatchRecord Record;
                  const SubmissionId Id{Result.Submission};
                  Record.__set_Result(Result);
                  this->note(Record, Id, AppendPolicy{});
                },
                [this](const wire::ItemProgressRecord &Progress) {
                  wire::BatchRecord Record;
                  const SubmissionId Id{Progress.Submission};
                  Record.__set_Progress(Progress);
                  this->note(Record, Id,
                             AppendPolicy{steadyNow() + MemberLifetime});
                }},
            ItemTaskOptions{parseItemOrder(Settings.ItemOrder),
                            Settings.MoveItems, Settings.SecondRuns}) {
  this->Member.Group = BatchGroup;
  this->Member.Topics = {BatchTopic};
  this->Member.Lifetime = MemberLifetime;
}

PartitionId BatchTask::partitionOf(const SubmissionId &Id) const {
  return partitionFor(BatchTopic, Id.Value, this->Settings.Partitions);
}

PartitionFollower &BatchTask::follower(const PartitionId &Partition) {
  std::unique_ptr<PartitionFollower> &Each = this->Followers[Partition];
  if (Each == nullptr)
    Each = std::make_unique<PartitionFollower>(
        PartitionFollowerDependencies{this->Events, this->Store,
                                      this->HistoryReads, this->ReadCounts},
        Partition,
        [this, Partition](const std::vector<PartitionChange> &Changes) {
          this->onChanges(Partition, Changes);
        });
  return *Each;
}

void BatchTask::note(const wire::BatchRecord &Record, const SubmissionId &Id,
                     AppendPolicy Policy) {
  this->Appender.append(this->partitionOf(Id), Record, Policy,
                        [](AppendOutcome) {});
}

void BatchTask::refuse(const std::shared_ptr<HttpExchange> &Exchange,
                       int Status, std::string_view Why, Millis RetryAfter) {
  logLine(LogLevel::Info, "batch call refused",
          {{"path", Exchange->request().Path},
           {"status", concat(Status)},
           {"cause", Why}});
  this->Counts.countRefusal(Status == StatusBadRequest
                                ? RefusalReason::BadRequest
                                : RefusalReason::LogUnavailable);
  reply(Exchange, platform::encodeRefusal(Status, Why, RetryAfter));
}

void BatchTask::submit(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::RoutedRequest &Asked) {
  Result<wire::SubmissionRecord> Read =
      platform::decodeSubmission(Asked.RequestId, Exchange->request());
  if (!Read.has_value()) {
    this->refuse(Exchange, StatusBadRequest, Read.error().Message, Millis{0});
    return;
  }
  const SubmissionId Id{Asked.RequestId};
  const PartitionId Partition = this->partitionOf(Id);
  const Millis Now = steadyNow();
  if (this->follower(Partition).fold().find(Id) != nullptr) {
    answerEmpty(Exchange, StatusAccepted);
    return;
  }
  const Millis Left = std::min(CallerAppendTime, Asked.TimeLeft);
  const size_t Count = Read.value().Items.size();
  wire::BatchRecord Record;
  Record.__set_Submission(Read.value());
  this->Appender.append(
      Partition, Record, AppendPolicy{Now + Left},
      [this, Exchange, Id, Count, Now](AppendOutcome Outcome) {
        const Millis Took = steadyNow() - Now;
        logLine(LogLevel::Info, "submission appended",
                {{"request_id", Id.Value},
                 {"items", concat(Count)},
                 {"took_ms", concat(Took.Count)},
                 {"end", concat(static_cast<int>(Outcome))}});
        if (Outcome == AppendOutcome::Stored)
          answerEmpty(Exchange, StatusAccepted);
        else if (Outcome == AppendOutcome::NotStored)
          this->refuse(Exchange, StatusUnavailable, "store unavailable",
                       RetryStore);
        else
          this->refuse(Exchange, StatusGatewayTimeout,
                       "store did not confirm the append", Millis{0});
      });
}

void BatchTask::withSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                               const SubmissionId &Id, const FoundCall &Then) {
  const PartitionId Partition = this->partitionOf(Id);
  PartitionFollower &Following = this->follower(Partition);
  const auto Until = this->HereUntil.find(Partition);
  const Millis Now = steadyNow();
  Following.followUntil((Until == this->HereUntil.end() ? Now : Until->second) +
                        FollowTail);
  if (const SubmissionState *State = Following.fold().find(Id)) {
    Then(*State);
    return;
  }
  Following.refresh([this, Exchange, Id, Partition, Then](bool Reached) {
    const PartitionFollower &Now = this->follower(Partition);
    if (const SubmissionState *State = Now.fold().find(Id))
      Then(*State);
    else if (!Reached || Now.fold().incomplete())
      this->refuse(Exchange, StatusUnavailable, "partition not read",
                   RetryStore);
    else
      this->refuse(Exchange, StatusNotFound, "no such submission", Millis{0});
  });
}

void BatchTask::readResults(const std::shared_ptr<HttpExchange> &Exchange,
                            const platform::ResultsRead &Asked) {
  this->route(Exchange, Asked.Id, Asked.Wait, [this, Exchange, Asked] {
    this->readResultsHere(Exchange, Asked);
  });
}

void BatchTask::readResultsHere(const std::shared_ptr<HttpExchange> &Exchange,
                                const platform::ResultsRead &Asked) {
  this->withSubmission(Exchange, Asked.Id,
                       [this, Exchange, Asked](const SubmissionState &State) {
                         this->answerOrWait(Exchange, Asked, State);
                       });
}

void BatchTask::answerOrWait(const std::shared_ptr<HttpExchange> &Exchange,
                             const platform::ResultsRead &Asked,
                             const SubmissionState &State) {
  const bool HasNews = Asked.From < static_cast<int64_t>(State.Results.size());
  if (HasNews || Asked.Wait <= Millis{0} || State.Ended || this->Leaving) {
    // An ended submission may still get results.
    const bool Sure =
        HasNews || this->follower(this->partitionOf(Asked.Id)).fresh();
    if (Sure)
      answerResults(Exchange, Asked, State);
    else
      this->answerRefreshed(Exchange, Asked);
    return;
  }
  const uint64_t Number = ++this->LastRead;
  WaitingRead Waiting{Exchange, Asked, {}};
  Waiting.Timer = this->Events.callAfter(
      Asked.Wait, [this, Number] { this->answerWaiting(Number); });
  Exchange->onGone([this, Number] {
    const auto Found = this->Reads.find(Number);
    if (Found == this->Reads.end())
      return;
    this->Events.cancel(Found->second.Timer);
    this->Reads.erase(Found);
  });
  this->Reads.emplace(Number, std::move(Waiting));
}

void BatchTask::answerRefreshed(const std::shared_ptr<HttpExchange> &Exchange,
                                const platform::ResultsRead &Asked) {
  const PartitionId Partition = this->partitionOf(Asked.Id);
  PartitionFollower &Following = this->follower(Partition);
  Following.followUntil(steadyNow() + FollowTail);
  Following.refresh([this, Exchange, Asked, Partition](bool Reached) {
    const SubmissionState *State =
        this->follower(Partition).fold().find(Asked.Id);
    const bool HasNews =
        State != nullptr &&
        Asked.From < static_cast<int64_t>(State->Results.size());
    if (State != nullptr && (HasNews || Reached))
      answerResults(Exchange, Asked, *State);
    else
      this->refuse(Exchange, StatusUnavailable, "partition not read lately",
                   RetryStore);
  });
}

void BatchTask::answerWaiting(uint64_t Number) {
  auto Node = this->Reads.extract(Number);
  if (Node.empty())
    return;
  WaitingRead &Read = Node.mapped();
  this->Events.cancel(Read.Timer);
  Read.Exchange->onGone(nullptr);
  Read.Asked.Wait = Millis{0};
  const SubmissionState *State =
      this->follower(this->partitionOf(Read.Asked.Id))
          .fold()
          .find(Read.Asked.Id);
  if (State != nullptr)
    this->answerOrWait(Read.Exchange, Read.Asked, *State);
  else
    this->refuse(Read.Exchange, StatusUnavailable, "submission forgotten",
                 RetryStore);
}

void BatchTask::readBody(const std::shared_ptr<HttpExchange> &Exchange,
                         const platform::ItemBodyRead &Asked) {
  this->route(Exchange, Asked.Key.Submission, Millis{0},
              [this, Exchange, Asked] { this->readBodyHere(Exchange, Asked); });
}

void BatchTask::readBodyHere(const std::shared_ptr<HttpExchange> &Exchange,
                             const platform::ItemBodyRead &Asked) {
  this->withSubmission(
      Exchange, Asked.Key.Submission,
      [this, Exchange, Asked](const SubmissionState &State) {
        const wire::BatchItemField *Item = findItem(State, Asked.Key.Item);
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
                              const platform::SubmissionEnding &Asked) {
  this->route(Exchange, Asked.Id, OwnerAppendTime,
              [this, Exchange, Asked] { this->endHere(Exchange, Asked); });
}

void BatchTask::endHere(const std::shared_ptr<HttpExchange> &Exchange,
                        const platform::SubmissionEnding &Asked) {
  const SubmissionId Id = Asked.Id;
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
                             "store unavailable", RetryStore);
            });
      });
}

} // namespace camphornotch
