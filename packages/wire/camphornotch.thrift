/**
 * Messages between camphornotch processes, and the records of the log.
 *
 * Every struct may gain optional fields; readers skip the fields they do not
 * know, so neighbouring versions of the processes work together.
 * Field names are CamelCase so that the generated members follow the code.
 */
namespace cpp camphornotch.wire

/* ---- Shared parts ---------------------------------------------------- */

/** A run of tokens produced by one weight version. */
struct LabelSegment {
  1: i64 FirstToken,
  2: i64 Version,
}

/** What an agent says of its endpoint, attached to every reply. */
struct LoadFigure {
  1: i32 Slots,            // places for work running at once
  2: i32 Running,          // work running
  3: i32 Queued,           // work waiting in the agent
  4: i64 QueuedTokens,     // tokens still to generate, waiting and running
  5: i64 TokenMicros,      // recent microseconds per generated token
  6: i64 ExpectedWaitMs,   // time until new long work would start
  7: i64 Version,          // confirmed weight version; -1: unknown
  8: bool Leaving,         // takes no new work
  9: bool Swapping,        // a weight swap is under way
  10: i32 ShortReserve,    // free places kept for short work
  11: i64 ShortWaitMs,     // time until new short work would start
  12: i32 OwnQueued = -1,  // waiting work of the reader; -1: not told
}

/** Why work was refused; Reason is a row of the refusal table. */
struct RefusalMessage {
  1: i32 Reason,
  2: i32 RunState,
  3: i64 RetryAfterMs,
  4: string Detail,
}

/* ---- Links ------------------------------------------------------------ */

/** First message in both directions of a new connection. */
struct Hello {
  1: string Host,
  2: i64 Boot,
  3: string Role,          // "entry" or "agent"
  4: string DataCentre,
  5: string Region,
  6: i64 ConfigOffset,
  7: string Endpoint,      // agents only
  8: string EndpointKind,  // "engine" or "service"; agents only
  9: string Serves,        // model or service name; agents only
  10: i64 FencingNumber,   // offset of the boot record; 0: none yet
}

/** Sent each heartbeat interval in both directions. */
struct Heartbeat {
  1: i64 Sequence,
  2: i64 ConfigOffset,
  3: i64 ConfigHash,
  4: optional LoadFigure Load,
  5: i64 EchoSequence,     // the last sequence received, for round trips
  6: optional i64 NewestVersion,
  7: optional bool WantsLoad, // gateway to loader: places work by engine loads
  8: optional i64 WallMs,      // the sender's wall clock, Unix milliseconds
}

/** Answered by ConfigPush when the sender is behind. */
struct ConfigPull {
  1: i64 HaveOffset,
}

/** An accepted rule file, whole (Text) or as a change to Base (Delta). */
struct ConfigPush {
  1: i64 Offset,
  2: i64 Hash,
  3: optional string Text,
  4: optional i64 BaseOffset,
  5: optional string Delta,
}

/* ---- Work -------------------------------------------------------------- */

enum WorkKind {
  Completion = 1,          // an engine's completion, may be repeated
  ServiceCall = 2,         // a plain service's call, may be repeated
  IntentCall = 3,          // runs at most once, under a recorded intent
}

enum WorkClass {
  Short = 1,               // desks and portals
  Rollout = 2,             // samples for trainers
  Urgent = 3,              // late samples of a group
}

/** Entry to agent: run this, or (IntentCall) join the run. */
struct StartWork {
  1: i64 Work,
  2: WorkKind Kind,
  3: WorkClass Class,
  4: string Method,
  5: string Path,          // path and query at the endpoint
  6: binary Body,
  7: bool Stream,          // send WorkChunk as output arrives
  8: i64 DeadlineMs,       // time left for the whole work; 0: none
  9: i64 ExpectedTokens,
  10: string Caller,       // whom fairness is counted for
  11: string RequestId,    // runs through the logs
  12: i64 Digest,          // hash of the request, for crash attribution
  13: string Affinity,     // prefix or group key; may be empty
  14: i64 MinVersion,      // refuse if the endpoint would use an older one; 0: any
  15: string KeptText,     // output already kept, to resume after
  16: i64 KeptTokens,
  17: list<LabelSegment> KeptSegments,
  18: string IdempotencyKey,   // IntentCall only
  19: i64 IntentOffset,        // IntentCall only
  20: i64 AgentBoot,           // IntentCall only: the boot it was meant for
  21: i64 Attempt,             // 0 for the first, counts retries and hedges
  22: string ContentType,
  23: i64 StepRemaining,       // tokens until the step is whole; 0: no step
  24: bool Alone,              // suspected of crashes: run it alone
}

/** Agent to entry: a part of the output. Offsets let a new link resume.
 *  A completion's output is its plain text, without the events or the JSON of
 *  the engine; a service's output is the body of its answer. KeptText of
 *  StartWork is not part of the output. */
struct WorkChunk {
  1: i64 Work,
  2: i64 Offset,           // bytes of output before this part
  3: binary Data,
}

/** Agent to entry: the end of the work, with the whole output if not
 *  streamed. A completion's Tokens and Segments count KeptTokens too. */
struct WorkFinished {
  1: i64 Work,
  2: i32 Status,           // the endpoint's HTTP status
  3: string ContentType,
  4: binary Body,          // empty when streamed
  5: i64 TotalBytes,       // length of the whole output
  6: i64 Tokens,
  7: list<LabelSegment> Segments,
  8: bool LabelKnown,      // false: the output must not be used as a sample
  9: LoadFigure Load,
  10: i64 QueueMs,
  11: i64 RunMs,
  12: i64 FirstTokenMs,
}

/** Agent to entry: the work was refused or failed. */
struct WorkRefused {
  1: i64 Work,
  2: RefusalMessage Refusal,
  3: LoadFigure Load,
  4: optional string KeptText,       // output kept by a preempted run
  5: optional i64 KeptTokens,
  6: optional list<LabelSegment> KeptSegments,
}

/** Entry to agent: stop; the answer is WorkRefused or WorkFinished. */
struct CancelWork {
  1: i64 Work,
  2: bool KeepTokens,
}

/** Entry to agent on a new link: what became of these? */
struct QueryWork {
  1: list<i64> Works,
  2: list<i64> HaveBytes,  // streamed bytes already received, per work
}

/** Entry to agent: the answer arrived and may be forgotten. */
struct AckWork {
  1: list<i64> Works,
}

/* ---- Between entries ---------------------------------------------------- */

/** A caller's request, handed to the owner of its shard. */
struct ForwardRequest {
  1: i64 Id,
  2: string Method,
  3: string Path,
  4: binary Body,
  5: string Caller,
  6: string RequestId,
  7: string IdempotencyKey,
  8: string ContentType,
  9: i32 Hops,
}

/** The owner's answer. */
struct ForwardReply {
  1: i64 Id,
  2: i32 Status,
  3: string ContentType,
  4: binary Body,
  5: i64 RetryAfterMs,
}

/** Summary of one data centre's free capacity for one model or service. */
struct CapacitySummary {
  1: string DataCentre,
  2: string Serves,
  3: i32 Endpoints,
  4: i64 FreeSlots,
  5: i64 QueuedTokens,
  6: i64 NewestVersion,
}

struct SummaryPush {
  1: list<CapacitySummary> Summaries,
}

/** Any process to an entry: append these records for me. */
struct AppendRequest {
  1: i64 Id,
  2: list<binary> Records,     // encoded LogRecord each
}

/** The records' fate: their offsets once read back, or an error. */
struct AppendReply {
  1: i64 Id,
  2: bool Committed,
  3: list<i64> Offsets,
}

/** Entry to agent: a new newest version of a model. */
struct WeightsAnnounce {
  1: string Model,
  2: i64 Version,
  3: string Location,
  4: i64 Offset,
  5: optional i32 Engines, // engines that serve the model
  6: optional i32 Rank,    // of the agent's engine among them, from 0
}

/** Entry to agent: digests that must not run, by record offset. */
struct QuarantinePush {
  1: list<i64> Digests,
  2: i64 Offset,
  3: optional list<i64> Suspects,  // may only run alone
}

/** Agent to entry: this digest was present at a crash of the endpoint. */
struct CrashReport {
  1: string Endpoint,
  2: list<i64> Digests,
  3: i64 CrashId,
  4: optional bool Alone,  // nothing else was running
}

/** One lifetime of an endpoint. */
struct SuspectEndpoint {
  1: string Id,
  2: i64 StartedAtMs,
}

/** What a process knows of a request that broke endpoints. */
struct SuspectState {
  1: i64 Digest,
  2: i64 Acquittals,       // successes that showed that breaks were not its fault
  3: i32 Breaks,           // endpoints broken one after another since then
  4: i64 AgeMs,            // since the last break or acquittal
  5: i64 KeptMs,           // for how much longer others may need it
  6: list<SuspectEndpoint> Endpoints,
}

/** Between gateways and loaders: changes, and all that is known once a link is
 *  established. */
struct SuspectsPush {
  1: list<SuspectState> Suspects,
}

/** Entry to agent: its host leaves (or no longer does), by the host list or
 *  an operator's order. */
struct LeaveOrder {
  1: bool Leave,
  2: bool ByHostList,      // else by a DrainRecord
}

/** Agent to entry: which boot of the endpoint's agent stands? */
struct StandingQuery {
  1: i64 Id,
  2: string Endpoint,
}

/** Answered only by an entry that knows the folded state. */
struct StandingReply {
  1: i64 Id,
  2: string Host,
  3: i64 Boot,
  4: i64 FencingNumber,
  5: i64 AppliedOffset,    // what the answer covers
}

/** One message of a link: exactly one of the optional fields is set. */
/** A model's version at an engine. */
struct ModelVersion {
  1: string Model,
  2: i64 Version,
}

/** Loader to gateways: the engine beside it, as it says itself. */
struct EngineStatePush {
  1: string Address,       // of the engine, "IP:PORT"
  2: list<ModelVersion> Versions,
  3: i32 Running,
  4: i32 Waiting,
  5: bool Loading,         // a change of weights is under way
  6: string LoadingModel,
  7: optional i32 PaceMs,  // time between two events of one run; 0: not known
  8: optional i64 KvUsed,  // cache memory that cannot be evicted, in tokens
  9: optional i64 KvTotal, // cache memory, in tokens
}

/** Number of requests of one client account. */
struct AccountCount {
  1: string Account,
  2: i64 Count,
}

/** Requests that began to run in one accounting window. */
struct UsageWindow {
  1: i64 Window,
  2: list<AccountCount> Counts,
}

/** Gateway to the holder of the usage duty: all it has counted in its recent
 *  windows. A later push of the same process replaces an earlier one. */
struct UsageCountsPush {
  1: string Gateway,
  2: i64 Boot,             // distinguishes two runs of the gateway's process
  3: list<UsageWindow> Windows,
}

/** Holder of a duty to all linked gateways. */
struct DutyHolderPush {
  1: string Duty,
  2: string Holder,        // the holder's host
  3: i64 FencingNumber,
  4: i64 SettledWindow,    // the newest window that was settled; -1: none
}

/** One value that operators or trainers published. */
struct PublishedValue {
  1: string Key,
  2: i64 Offset,
  3: binary Value,
}

/** Answers ConfigPull between gateways and loaders: all that is newer. */
struct PublishedPush {
  1: list<PublishedValue> Values,
}

/** A call to the platform's store that the sender cannot make itself. */
struct StoreCallRequest {
  1: i64 Id,
  2: string Method,
  3: string Path,
  4: binary Body,
  5: i64 TimeoutMs,
  6: string ContentType,
}

/** The store's answer; Status 0: none came. */
struct StoreCallReply {
  1: i64 Id,
  2: i32 Status,
  3: binary Body,
  4: string Cause,
}

struct PeerMessage {
  1: optional Hello HelloMsg,
  2: optional Heartbeat HeartbeatMsg,
  3: optional ConfigPull ConfigPullMsg,
  4: optional ConfigPush ConfigPushMsg,
  5: optional StartWork StartWorkMsg,
  6: optional WorkChunk WorkChunkMsg,
  7: optional WorkFinished WorkFinishedMsg,
  8: optional WorkRefused WorkRefusedMsg,
  9: optional CancelWork CancelWorkMsg,
  10: optional QueryWork QueryWorkMsg,
  11: optional AckWork AckWorkMsg,
  12: optional ForwardRequest ForwardRequestMsg,
  13: optional ForwardReply ForwardReplyMsg,
  14: optional SummaryPush SummaryPushMsg,
  15: optional AppendRequest AppendRequestMsg,
  16: optional AppendReply AppendReplyMsg,
  17: optional WeightsAnnounce WeightsAnnounceMsg,
  18: optional QuarantinePush QuarantinePushMsg,
  19: optional CrashReport CrashReportMsg,
  20: optional LeaveOrder LeaveOrderMsg,
  21: optional StandingQuery StandingQueryMsg,
  22: optional StandingReply StandingReplyMsg,
  23: optional EngineStatePush EngineStateMsg,
  24: optional PublishedPush PublishedMsg,
  25: optional StoreCallRequest StoreCallMsg,
  26: optional StoreCallReply StoreReplyMsg,
  27: optional UsageCountsPush UsageCountsMsg,
  28: optional DutyHolderPush DutyHolderMsg,
  29: optional SuspectsPush SuspectsMsg,
}

/* ---- Records of the topic of suspects ----------------------------------- */

/** What a gateway knew of a request that broke endpoints. */
struct SuspectRecord {
  1: SuspectState State,
  2: i64 AppendedAtMs,     // Unix time, from which State's times count
}

/* ---- Records of the log -------------------------------------------------- */

/** A published rule file; accepted only if BaseOffset is the offset of the
 *  accepted one. */
struct ConfigRecord {
  1: i64 BaseOffset,
  2: string PublishId,
  3: string Author,
  4: optional string Text,
  5: optional string Delta,
}

/** Claims a shard; valid only if PreviousEpoch is the shard's epoch. */
struct ClaimRecord {
  1: string Shard,
  2: string Owner,
  3: i64 OwnerBoot,
  4: i64 PreviousEpoch,    // -1: the shard was never claimed
}

/** The owner gives the shard up in favour of a successor. */
struct ReleaseRecord {
  1: string Shard,
  2: i64 Epoch,
  3: string Successor,
}

/** A new boot of an agent; its offset is the fencing number of the boot. */
struct BootRecord {
  1: string Host,
  2: i64 Boot,
  3: string Endpoint,
}

/** One group of samples of a step. */
struct GroupSpec {
  1: string Group,
  2: i32 Samples,
  3: string Prompt,
  4: i64 MaxTokens,
  5: string Scorer,        // service that scores the samples; may be empty
  6: string Parameters,    // JSON object passed on to the engine
  7: optional i32 Ordinal, // set by the owner: place in the step
}

/** A part of a submitted step. */
struct StepRecord {
  1: string Trainer,
  2: i64 Epoch,
  3: i64 Step,
  4: string Model,
  5: list<GroupSpec> Groups,
}

/** What the trainer holds for sure, written by the owner. */
struct CheckpointRecord {
  1: string Trainer,
  2: i64 Epoch,
  3: i64 Step,
  4: i64 Batch,            // batches up to this one are acknowledged
  5: list<i64> Delivered,  // slot numbers acknowledged since the last one
  6: bool StepDone,
}

/** A call that may run at most once; the first record of a key stands. */
struct IntentRecord {
  1: string Key,
  2: i64 Digest,
  3: string Endpoint,
  4: string AgentHost,
  5: i64 AgentBoot,
  6: string Caller,
}

/** The outcome of an intent. */
struct OutcomeRecord {
  1: string Key,
  2: i64 IntentOffset,
  3: i32 Status,
  4: string ContentType,
  5: binary Body,
  6: bool BodyOmitted,
  7: bool NotRun,          // it never ran and never will; Status: the reason
}

/** A digest that must not run until released. */
struct QuarantineRecord {
  1: i64 Digest,
  2: i64 UntilWallMs,
  3: string Evidence,
  4: bool Released,
}

/** A new weight version of a model. */
struct VersionRecord {
  1: string Model,
  2: i64 Version,
  3: string Location,
}

/** The folded state up to and with CoversOffset, carried forward. */
struct SnapshotRecord {
  1: i64 CoversOffset,
  2: string Scope,         // "fold": the whole state
  3: i64 Epoch,            // unused
  4: binary State,         // an encoded SnapshotState
  5: bool Reset,           // starts anew after every older record expired
  6: i64 OldestOffset,     // Reset: the oldest record the writer could read
  7: i64 WrittenWallMs,    // when; only to time the next one by
}

/** An operator's order that a host leaves. */
struct DrainRecord {
  1: string Host,
  2: bool Leave,
  3: string Author,
}

/** One record of the log: exactly one of the optional fields is set. */
struct LogRecord {
  1: i64 WriterBoot,
  2: i64 Sequence,         // with WriterBoot: duplicates are dropped
  3: optional ConfigRecord Config,
  4: optional ClaimRecord Claim,
  5: optional ReleaseRecord Release,
  6: optional BootRecord Boot,
  7: optional StepRecord Step,
  8: optional CheckpointRecord Checkpoint,
  9: optional IntentRecord Intent,
  10: optional OutcomeRecord Outcome,
  11: optional QuarantineRecord Quarantine,
  12: optional VersionRecord Version,
  13: optional SnapshotRecord Snapshot,
  14: optional DrainRecord Drain,
}

/** A record that still stands, carried forward with its own offset. */
struct CarriedRecord {
  1: i64 Offset,
  2: LogRecord Record,
}

/** Which sequences of one writer have been seen. */
struct WriterWindow {
  1: i64 Boot,
  2: i64 Highest,
  3: i64 Recent,           // bit N: Highest - N was seen
  4: i64 LastOffset,
}

/** The State of a SnapshotRecord. */
struct SnapshotState {
  1: list<CarriedRecord> Records,
  2: list<WriterWindow> Writers,
}

/* ---- Records of batch submissions ---------------------------------------- */

/** One header field of an item. */
struct HeaderField {
  1: string Name,
  2: string Value,
}

/** The call whose answer scores an item's text. */
struct ScoringCallField {
  1: string Id,
  2: string Host,
  3: string Path,
  4: binary Body,
}

/** One item of a batch submission. */
struct BatchItemField {
  1: string Id,
  2: string Path,
  3: list<HeaderField> Headers,
  4: binary Body,
  5: i64 Tokens,           // prompt and most output tokens
  6: string Group,
  7: i64 LengthHint,       // expected output tokens; 0: not said
  8: optional ScoringCallField Scoring,
}

/** A batch submission; the first record of an id stands. */
struct SubmissionRecord {
  1: string Id,
  2: string Host,
  3: string Path,
  4: string Model,
  5: i64 MinVersion,
  6: i64 Step,
  7: i64 WantedGroups,
  8: list<BatchItemField> Items,
  9: optional string Account, // the client account that submitted it
}

/** One event of an item's text. */
struct TextEvent {
  1: binary Data,
  2: i64 Version,
}

/** Events of an item that is under way, for whoever takes it over. */
struct ItemProgressRecord {
  1: string Submission,
  2: string Item,
  3: i64 Run,              // one number a chain of events
  4: i64 From,             // events of the chain before these
  5: list<TextEvent> Events,
  6: optional string Software, // version of the engines that made the chain
}

/** The outcome of an item; the first record of an item stands. */
struct ItemResultRecord {
  1: string Submission,
  2: string Item,
  3: bool Completed,       // false: given up
  4: binary Text,
  5: list<i64> Versions,
  6: string Score,
}

/** The caller has ended a batch submission. */
struct SubmissionEndRecord {
  1: string Submission,
}

/** One record of a partition: exactly one of the optional fields is set. */
struct BatchRecord {
  1: optional SubmissionRecord Submission,
  2: optional ItemResultRecord Result,
  3: optional SubmissionEndRecord End,
  4: optional ItemProgressRecord Progress,
}

/** What there is, if anything, of the text of an item that may be submitted
    again. */
struct LeftoverText {
  1: string Item,
  2: bool Whole,           // the text is complete
  3: list<TextEvent> Events,
  4: optional string Software, // version of the engines that made the text
}

/** Texts that an ended submission leaves behind. */
struct LeftoverRecord {
  1: string Submission,
  2: list<LeftoverText> Texts,
}

/** Which engines began a caller's stream: only they can go on with it. */
struct StreamOriginRecord {
  1: string RequestId,     // the request that brought the first event
  2: string Service,
  3: string Software,      // version of the engine's software
}

/* ---- Records of duties ---------------------------------------------------- */

/** Claims a duty; its offset plus one is the holder's fencing number. */
struct DutyClaimRecord {
  1: string Duty,
  2: string Holder,        // the claiming host
  3: i64 Boot,             // distinguishes two runs of the claiming process
}

/** Extends the lease of a claim. */
struct DutyRenewalRecord {
  1: string Duty,
  2: i64 FencingNumber,
}

/** Gives a claim up. */
struct DutyReleaseRecord {
  1: string Duty,
  2: i64 FencingNumber,
}

/** The counts of a window; the first record of a window stands. */
struct UsageSettledRecord {
  1: i64 Window,
  2: i64 FencingNumber,
  3: list<AccountCount> Counts,
}

/** The report of a window was acknowledged. */
struct UsageReportedRecord {
  1: i64 Window,
}

/** One record of the duties' partition: exactly one of the fields is set. */
struct DutyRecord {
  1: optional DutyClaimRecord Claim,
  2: optional DutyRenewalRecord Renewal,
  3: optional DutyReleaseRecord Release,
  4: optional UsageSettledRecord Settled,
  5: optional UsageReportedRecord Reported,
}
