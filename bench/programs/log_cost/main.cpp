/// @file
/// Counts log appends per 1,000 samples and per 1,000 calls, on virtual time:
/// the real controllers, a log in memory, grouping on and off.

#include "core/calls/call_base.h"
#include "core/fold/shard_func.h"
#include "core/samples/sample_base.h"
#include "wire/codec_func.h"

#include <cstdio>
#include <vector>

using namespace camphornotch;

namespace {

/// Samples of the step, and calls.
constexpr int64_t Wanted = 1000;
/// Samples in a group.
constexpr int32_t GroupSamples = 8;
/// Bytes of a prompt.
constexpr size_t PromptBytes = 1024;
/// Output comes at this rate, samples a second.
constexpr int64_t SamplesPerSecond = 20;
/// Calls come at this rate, calls a second.
constexpr int64_t CallsPerSecond = 200;
/// How long a call runs.
constexpr Millis CallTime{50};

/// Takes records and counts the append requests that carry them.
struct CountingLog {
  /// Records within this time go into one request; 0: one each.
  Millis GroupFor{0};
  std::vector<wire::LogRecord> Waiting;
  Millis Since{0};
  int64_t Requests = 0;
  int64_t Records = 0;
  int64_t Bytes = 0;
  int64_t NextOffset = 1;

  /// @param Record one record.
  /// @param Now the present.
  void append(const wire::LogRecord &Record, Millis Now) {
    if (this->Waiting.empty())
      this->Since = Now;
    this->Waiting.push_back(Record);
    ++this->Records;
    this->Bytes += static_cast<int64_t>(encodeRecord(Record).size());
  }

  /// @param Now the present.
  /// @return the records that are read back by now.
  std::vector<RecordCommitted> readBack(Millis Now) {
    if (this->Waiting.empty() || Now < this->Since + this->GroupFor)
      return {};
    const bool Grouped = this->GroupFor > Millis{0};
    this->Requests += Grouped ? 1 : static_cast<int64_t>(this->Waiting.size());
    std::vector<RecordCommitted> Events;
    for (wire::LogRecord &Record : this->Waiting)
      Events.push_back(
          RecordCommitted{LogOffset{this->NextOffset++}, std::move(Record)});
    this->Waiting.clear();
    return Events;
  }
};

/// One trainer that pulls one step to its end.
struct SampleRun {
  CountingLog Log;
  SampleController Samples;
  std::vector<SlotKey> Attempts;
  std::string Cursor;
  int64_t Held = 0;

  /// @param Event what happens.
  /// @param Now the present.
  void give(const SampleEvent &Event, Millis Now) {
    for (const SampleAction &Action : this->Samples.handle(Event, Now)) {
      if (const auto *Append = std::get_if<AppendRecord>(&Action))
        this->Log.append(Append->Record, Now);
      if (const auto *Need = std::get_if<NeedAttempt>(&Action))
        this->Attempts.push_back(Need->Slot);
      if (const auto *Answer = std::get_if<AnswerPull>(&Action)) {
        this->Cursor = Answer->Cursor;
        this->Held += static_cast<int64_t>(Answer->Samples.size());
      }
    }
  }

  /// Claims and submits.
  void start() {
    wire::ClaimRecord Claim;
    Claim.Shard = trainerShard(TrainerId{"t"}).Value;
    Claim.PreviousEpoch = -1;
    wire::LogRecord Record;
    Record.__set_Claim(Claim);
    const LogOffset Offset{this->Log.NextOffset++};
    this->give(RecordCommitted{Offset, Record}, Millis{0});
    this->give(ShardGained{ShardId{Claim.Shard}, Epoch{Offset.Value}},
               Millis{0});
    SubmitReceived Submit;
    Submit.Model = "m";
    for (int64_t Group = 0; Group < Wanted / GroupSamples; ++Group) {
      wire::GroupSpec Spec;
      Spec.Group = "g" + std::to_string(Group);
      Spec.Samples = GroupSamples;
      Spec.Prompt = std::string(PromptBytes, 'p');
      Spec.MaxTokens = 512;
      Submit.Groups.push_back(Spec);
    }
    this->give(Submit, Millis{0});
  }

  /// Runs until the trainer holds the step.
  void run() {
    this->start();
    const Millis Between{1000 / SamplesPerSecond};
    for (Millis Now{0};
         this->Held < Wanted || this->Samples.table().openSlots() > 0;
         Now += Millis{1}) {
      for (const RecordCommitted &Event : this->Log.readBack(Now))
        this->give(Event, Now);
      if (Now.Count % Between.Count == 0 && !this->Attempts.empty()) {
        wire::LabelSegment Made;
        Made.Version = 1;
        const SlotKey Slot = this->Attempts.back();
        this->Attempts.pop_back();
        this->give(SlotFinished{Slot, "x", 4, {Made}, true, Millis{100}}, Now);
      }
      if (Now.Count % 200 == 0)
        this->give(PullReceived{RequestHandle{Now.Count}, this->Cursor}, Now);
    }
    for (const RecordCommitted &Event : this->Log.readBack(seconds(9999)))
      this->give(Event, seconds(9999));
  }
};

/// Callers whose calls come at a steady rate.
struct CallRun {
  CountingLog Log;
  WorkIdSource Works;
  CallController Calls{CallSettings{}, this->Works};
  std::vector<std::pair<Millis, int64_t>> Running;
  int64_t Answered = 0;

  /// @param Event what happens.
  /// @param Now the present.
  void give(const CallEvent &Event, Millis Now) {
    for (const CallAction &Action : this->Calls.handle(Event, Now)) {
      if (const auto *Append = std::get_if<AppendRecord>(&Action))
        this->Log.append(Append->Record, Now);
      if (const auto *Send = std::get_if<SendIntent>(&Action))
        this->Running.emplace_back(Now + CallTime, Send->Message.Work);
      if (std::holds_alternative<AnswerCall>(Action))
        ++this->Answered;
    }
  }

  /// Finishes the calls whose time is over.
  /// @param Now the present.
  void finish(Millis Now) {
    while (!this->Running.empty() && this->Running.front().first <= Now) {
      CallFinished Event;
      Event.Answer.Work = this->Running.front().second;
      Event.Answer.Status = 200;
      Event.Answer.Body = std::string(256, 'b');
      this->Running.erase(this->Running.begin());
      this->give(Event, Now);
    }
  }

  /// Runs until every call is answered and recorded.
  void run() {
    this->give(AgentPresent{HostId{"a"}, BootId{1}}, Millis{0});
    int64_t Sent = 0;
    for (Millis Now{0}; this->Answered < Wanted || !this->Log.Waiting.empty();
         Now += Millis{1}) {
      for (const RecordCommitted &Event : this->Log.readBack(Now))
        this->give(Event, Now);
      this->finish(Now);
      if (Sent == Wanted || Now.Count % (1000 / CallsPerSecond) != 0)
        continue;
      CallReceived Event;
      Event.Request = RequestHandle{++Sent};
      Event.Key = "key-" + std::to_string(Sent);
      Event.Target = CallTarget{EndpointId{"s"}, HostId{"a"}, BootId{1}};
      this->give(Event, Now);
    }
  }
};

/// @param What what was counted.
/// @param Mode how it was grouped.
/// @param Log the counts.
void print(const char *What, const char *Mode, const CountingLog &Log) {
  std::printf("log_cost: %s grouping=%s appends=%lld records=%lld bytes=%lld\n",
              What, Mode, static_cast<long long>(Log.Requests),
              static_cast<long long>(Log.Records),
              static_cast<long long>(Log.Bytes));
}

/// @param Mode the name of the setting.
/// @param GroupFor how long records are gathered.
/// @param CheckpointEvery samples acknowledged for each checkpoint.
void measure(const char *Mode, Millis GroupFor, int32_t CheckpointEvery) {
  SampleSettings Settings;
  Settings.CheckpointEvery = CheckpointEvery;
  // Without grouping every group of samples is a record of its own.
  if (GroupFor == Millis{0})
    Settings.MaxRecordBytes = 1;
  SampleRun Samples{{GroupFor}, {TrainerId{"t"}, Settings}};
  Samples.run();
  print("samples=1000", Mode, Samples.Log);
  CallRun Calls;
  Calls.Log.GroupFor = GroupFor;
  Calls.run();
  print("calls=1000", Mode, Calls.Log);
}

} // namespace

/// Prints one line a measurement.
/// @return 0.
int main() {
  measure("off", Millis{0}, 1);
  measure("5ms", Millis{5}, SampleSettings{}.CheckpointEvery);
  measure("20ms", Millis{20}, SampleSettings{}.CheckpointEvery);
  return 0;
}
