/// @file
/// Slopes of a trainer's samples, held until the trainer has them.

#include "capacity/probes.h"
#include "core/fold/shard_func.h"
#include "core/samples/sample_base.h"

#include <memory>
#include <string>

namespace camphornotch::bench {

namespace {

/// Numbers of samples, up to twice a step of the target.
constexpr int SampleCounts[] = {1024, 2048, 4096, 8192};
/// Samples in a group.
constexpr int GroupSize = 8;
/// Bytes of a prompt.
constexpr size_t PromptBytes = 2000;
/// Bytes of a sample's text: 500 tokens.
constexpr size_t TextBytes = 2000;
/// The time of all events.
constexpr Millis Now{1000};
/// The trainer.
const TrainerId Trainer{"trainer-1"};

/// @param Samples how many.
/// @return a submission of that many.
SubmitReceived submission(int Samples) {
  SubmitReceived Submit;
  Submit.Request.Value = 1;
  Submit.Step = 1;
  Submit.Model = "grind";
  for (int Group = 0; Group < Samples / GroupSize; ++Group) {
    wire::GroupSpec Spec;
    Spec.Group = "group-" + std::to_string(Group);
    Spec.Samples = GroupSize;
    Spec.Prompt = std::string(PromptBytes, 'p');
    Spec.MaxTokens = 4000;
    Submit.Groups.push_back(Spec);
  }
  return Submit;
}

/// @return a controller that owns its trainer's shard.
std::unique_ptr<SampleController> ownedController() {
  SampleSettings Settings;
  Settings.MaxActiveSlots = 1 << 20;
  auto Controller = std::make_unique<SampleController>(Trainer, Settings);
  wire::LogRecord Record;
  wire::ClaimRecord Claim;
  Claim.Shard = trainerShard(Trainer).Value;
  Claim.Owner = "entry-1";
  Claim.OwnerBoot = 1;
  Claim.PreviousEpoch = -1;
  Record.WriterBoot = 1;
  Record.Sequence = 1;
  Record.__set_Claim(Claim);
  Controller->handle(RecordCommitted{LogOffset{1}, Record}, Now);
  Controller->handle(ShardGained{ShardId{Claim.Shard}, Epoch{1}}, Now);
  return Controller;
}

/// Submits a step and reads its records back.
/// @param Controller the controller.
/// @param Submit the step.
/// @return slots that samples are wanted for.
std::vector<SlotKey> submitStep(SampleController &Controller,
                                const SubmitReceived &Submit) {
  std::vector<SlotKey> Wanted;
  int64_t Offset = 1;
  for (const SampleAction &Action : Controller.handle(Submit, Now)) {
    const auto *Append = std::get_if<AppendRecord>(&Action);
    if (!Append)
      continue;
    wire::LogRecord Record = Append->Record;
    Record.WriterBoot = 1;
    Record.Sequence = ++Offset;
    const RecordCommitted Committed{LogOffset{Offset}, Record};
    for (const SampleAction &Next : Controller.handle(Committed, Now))
      if (const auto *Need = std::get_if<NeedAttempt>(&Next))
        Wanted.push_back(Need->Slot);
  }
  return Wanted;
}

/// Fills slots with samples.
/// @param Controller the controller.
/// @param Slots the slots.
void fillSlots(SampleController &Controller,
               const std::vector<SlotKey> &Slots) {
  for (const SlotKey &Slot : Slots) {
    SlotFinished Finished;
    Finished.Slot = Slot;
    Finished.Text = std::string(TextBytes, 't');
    Finished.Tokens = 500;
    Finished.Segments.emplace_back();
    Finished.LabelKnown = true;
    Controller.handle(Finished, Now);
  }
}

} // namespace

std::vector<Slope> sampleSlopes() {
  std::vector<Point> Open;
  std::vector<Point> Held;
  std::vector<Point> Times;
  for (const int Samples : SampleCounts) {
    const auto Size = static_cast<double>(Samples);
    const SubmitReceived Submit = submission(Samples);
    const double Begin = processorMicros();
    const double Before = heapBytes();
    const auto Controller = ownedController();
    const std::vector<SlotKey> Slots = submitStep(*Controller, Submit);
    Open.push_back({Size, heapBytes() - Before});
    fillSlots(*Controller, Slots);
    Held.push_back({static_cast<double>(Slots.size()), heapBytes() - Before});
    Times.push_back({Size, processorMicros() - Begin});
  }
  return {
      fitSlope("open_sample_memory", "bytes/sample", Open),
      fitSlope("held_sample_memory", "bytes/sample", Held),
      fitSlope("sample_time", "us/sample", Times),
  };
}

} // namespace camphornotch::bench
