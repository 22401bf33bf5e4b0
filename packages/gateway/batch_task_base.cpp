/// @file
/// Batch submissions: takes them and serves their results.

#include "gateway/batch_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/store/store_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// The topic of batch submissions.
constexpr const char *BatchTopic = "batch";
/// The group of the partitions' owners.
constexpr const char *BatchGroup = "gateways";
/// Time after which a silent owner loses its partitions; the store's least is
/// 1 s, and links between regions and a slow store need some of it.
constexpr Millis MemberLifetime{1'800};
/// How long a partition is followed beyond the calls that are served from it:
/// the longest wait of a read, and time to answer it.
constexpr Millis FollowTail{2'000};
/// Time that an owner gets to append the end of a submission.
constexpr Millis OwnerAppendTime{1'500};
/// Time for the append of a submission or its end, before the caller is told
/// that its fate is unknown.
constexpr Millis CallerAppendTime{3'500};
/// Retry-After where the store does not answer.
constexpr Millis RetryStore{400};

/// @param Exchange a request of a caller or a peer.
/// @param Response its answer.
void reply(const std::shared_ptr<HttpExchange> &Exchange,
           HttpResponse Response) {
  markAnswer(Exchange->request(), Response);
  Exchange->answer(Response);
}

/// @param Exchange a request.
/// @param Status the status.
void answerEmpty(const std::shared_ptr<HttpExchange> &Exchange, int Status) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = "{}";
  reply(Exchange, std::move(Response));
}

/// @param Exchange a read of results.
/// @param Asked what is asked.
/// @param State the submission.
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
      ReadCounts(Parts.Counts), Histories(Parts.Events, Parts.Store),
      Settings(Settings), Routes(std::move(Routes)),
      Demanded(std::move(Demanded)),
      Appender(Parts.Events, Parts.Store,
               static_cast<size_t>(Settings.RecordBytes)),
      OwnerCalls(Parts.Events, Parts.Http, Parts.Store, Parts.Counts,
                 BatchGroup),
      Leftovers(Parts.Events, Parts.Store, Histories, Settings.Partitions,
                static_cast<size_t>(Settings.RecordBytes)),
      Items(Parts.Events, Parts.Http, Parts.Pool, Parts.Forward, Parts.Counts,
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

PartitionFollower &BatchTask::follower(const PartitionId &Where) {
  std::unique_ptr<PartitionFollower> &Each = this->Followers[Where];
  if (Each == nullptr)
    Each = std::make_unique<PartitionFollower>(
        PartitionFollowerParts{this->Events, this->Store, this->Histories,
                               this->ReadCounts},
        Where, [this, Where](const std::vector<PartitionChange> &Changes) {
          this->onChanges(Where, Changes);
        });
  return *Each;
}

void BatchTask::note(const wire::BatchRecord &Record, const SubmissionId &Id,
                     AppendPolicy Policy) {
  this->Appender.append(this->partitionOf(Id), Record, Policy,
                        [](AppendEnd) {});
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
  const PartitionId Where = this->partitionOf(Id);
  const Millis Now = steadyNow();
  if (this->follower(Where).fold().find(Id) != nullptr) {
    answerEmpty(Exchange, StatusAccepted);
    return;
  }
  const Millis Left = std::min(CallerAppendTime, Asked.TimeLeft);
  const size_t Count = Read.value().Items.size();
  wire::BatchRecord Record;
  Record.__set_Submission(Read.value());
  this->Appender.append(
      Where, Record, AppendPolicy{Now + Left},
      [this, Exchange, Id, Count, Now](AppendEnd End) {
        const Millis Took = steadyNow() - Now;
        logLine(LogLevel::Info, "submission appended",
                {{"request_id", Id.Value},
                 {"items", concat(Count)},
                 {"took_ms", concat(Took.Count)},
                 {"end", concat(static_cast<int>(End))}});
        if (End == AppendEnd::Done)
          answerEmpty(Exchange, StatusAccepted);
        else if (End == AppendEnd::NotDone)
          this->refuse(Exchange, StatusUnavailable, "store unavailable",
                       RetryStore);
        else
          this->refuse(Exchange, StatusGatewayTimeout,
                       "the store did not say whether it took it", Millis{0});
      });
}

void BatchTask::withSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                               const SubmissionId &Id, const FoundCall &Then) {
  const PartitionId Where = this->partitionOf(Id);
  PartitionFollower &Following = this->follower(Where);
  const auto Until = this->HereUntil.find(Where);
  const Millis Now = steadyNow();
  Following.keep((Until == this->HereUntil.end() ? Now : Until->second) +
                 FollowTail);
  if (const SubmissionState *State = Following.fold().find(Id)) {
    Then(*State);
    return;
  }
  Following.refresh([this, Exchange, Id, Where, Then](bool Reached) {
    const PartitionFollower &Now = this->follower(Where);
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
    // Results may be listed after the end, too.
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
  const PartitionId Where = this->partitionOf(Asked.Id);
  PartitionFollower &Following = this->follower(Where);
  Following.keep(steadyNow() + FollowTail);
  Following.refresh([this, Exchange, Asked, Where](bool Reached) {
    const SubmissionState *State = this->follower(Where).fold().find(Asked.Id);
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
            [this, Exchange, Id](AppendEnd Outcome) {
              logLine(LogLevel::Info, "submission ended by its caller",
                      {{"request_id", Id.Value},
                       {"end", concat(static_cast<int>(Outcome))}});
              if (Outcome == AppendEnd::Done)
                answerEmpty(Exchange, StatusOk);
              else
                this->refuse(Exchange,
                             Outcome == AppendEnd::NotDone
                                 ? StatusUnavailable
                                 : StatusGatewayTimeout,
                             "store unavailable", RetryStore);
            });
      });
}

} // namespace camphornotch
