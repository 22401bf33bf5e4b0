/// @file
/// The sample controller's submissions: durable before they are answered.

#include "core/samples/sample_base.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace camphornotch {

namespace {

/// Bytes of a group's encoding besides its strings.
constexpr int64_t GroupOverheadBytes = 32;

/// @param Group a group.
/// @return about how long its encoding is.
int64_t encodedBytes(const wire::GroupSpec &Group) {
  const size_t Strings = Group.Group.size() + Group.Prompt.size() +
                         Group.Scorer.size() + Group.Parameters.size();
  return static_cast<int64_t>(Strings) + GroupOverheadBytes;
}

} // namespace

std::string SampleController::submitFault(const SubmitReceived &Event) {
  if (Event.Step < 0)
    return "step: must not be negative";
  if (Event.Model.empty())
    return "model: is missing";
  if (Event.Groups.empty())
    return "groups: at least one is needed";
  std::set<std::string> Names;
  for (const wire::GroupSpec &Group : Event.Groups) {
    if (Group.Group.empty())
      return "group: each needs a name";
    if (!Names.insert(Group.Group).second)
      return absl::StrCat("group ", Group.Group, ": is named twice");
    if (Group.Samples < 1 || Group.Samples > MaxGroupSamples)
      return absl::StrCat("group ", Group.Group, ": samples must be 1 to ",
                          MaxGroupSamples);
    if (Group.MaxTokens < 1)
      return absl::StrCat("group ", Group.Group,
                          ": max_tokens must be positive");
  }
  return "";
}

void SampleController::on(const SubmitReceived &Event, Millis Now,
                          Actions &Out) {
  const std::string Fault = submitFault(Event);
  if (!Fault.empty()) {
    Out.emplace_back(refusal(Event.Request, RefusalReason::BadRequest,
                             RunState::NotRun, Fault));
    return;
  }
  if (!this->active()) {
    Out.emplace_back(refusal(Event.Request, RefusalReason::WrongOwner,
                             RunState::Unknown,
                             "not the owner of the trainer"));
    return;
  }
  PendingSubmit Waiting;
  Waiting.Request = Event.Request;
  Waiting.Deadline = Now + this->Settings.SubmitWait;
  std::vector<wire::GroupSpec> Fresh;
  if (!this->sortGroups(Event, Waiting, Fresh, Out))
    return;
  for (wire::GroupSpec &Group : Fresh) {
    const int32_t Ordinal = this->takeOrdinal(Event.Step);
    Group.__set_Ordinal(Ordinal);
    this->PendingGroups[{Event.Step, Group.Group}] = Ordinal;
  }
  this->appendGroups(Event.Step, Event.Model, std::move(Fresh), Out);
#ifdef CAMPHORNOTCH_MUTATION_SUBMIT_BEFORE_READ_BACK
  Waiting.Missing.clear();
#endif
  if (Waiting.Missing.empty())
    Out.emplace_back(
        AnswerSubmit{Waiting.Request, Waiting.GroupsNew, Waiting.GroupsKnown});
  else
    this->Submits.push_back(std::move(Waiting));
}

bool SampleController::sortGroups(const SubmitReceived &Event,
                                  PendingSubmit &Waiting,
                                  std::vector<wire::GroupSpec> &Fresh,
                                  Actions &Out) const {
  int64_t FreshSlots = 0;
  for (const wire::GroupSpec &Group : Event.Groups) {
    GroupStanding Standing = this->Table.standing(Event.Step, Group.Group);
    if (Standing == GroupStanding::New && this->EndSent.contains(Event.Step))
      Standing = GroupStanding::StepEnded;
    if (Standing == GroupStanding::StepEnded)
      return refuseSubmit(Event, RefusalReason::BadRequest,
                          "step: ended; submit new groups as a later step",
                          Out);
    if (Standing == GroupStanding::TooMany)
      return refuseSubmit(Event, RefusalReason::QueueFull,
                          "too many open steps", Out);
    if (Standing == GroupStanding::Known) {
      ++Waiting.GroupsKnown;
      continue;
    }
    const std::pair Named(Event.Step, Group.Group);
    Waiting.Missing.insert(Named);
    if (this->PendingGroups.contains(Named)) {
      ++Waiting.GroupsKnown;
      continue;
    }
    ++Waiting.GroupsNew;
    FreshSlots += Group.Samples;
    Fresh.push_back(Group);
  }
  if (this->Table.openSlots() + FreshSlots > this->Settings.MaxOpenSlots)
    return refuseSubmit(Event, RefusalReason::QueueFull,
                        "too many open samples", Out);
  if (!Fresh.empty() && !this->LogUp)
    return refuseSubmit(Event, RefusalReason::LogUnavailable,
                        "the submission is not durable", Out);
  return true;
}

bool SampleController::refuseSubmit(const SubmitReceived &Event,
                                    RefusalReason Reason, std::string Detail,
                                    Actions &Out) {
  // An earlier copy of the submission may have been taken: only a repeat
  // tells.
  Out.emplace_back(
      refusal(Event.Request, Reason, RunState::Unknown, std::move(Detail)));
  return false;
}

void SampleController::appendGroups(int64_t Step, const std::string &Model,
                                    std::vector<wire::GroupSpec> Groups,
                                    Actions &Out) const {
  wire::StepRecord Part;
  int64_t Bytes = 0;
  const auto Flush = [&] {
    if (Part.Groups.empty())
      return;
    Part.Trainer = this->Trainer.Value;
    Part.Epoch = this->Own->Value;
    Part.Step = Step;
    Part.Model = Model;
    wire::LogRecord Record;
    Record.__set_Step(Part);
    Out.emplace_back(AppendRecord{std::move(Record)});
    Part.Groups.clear();
    Bytes = 0;
  };
  for (wire::GroupSpec &Group : Groups) {
    const int64_t Size = encodedBytes(Group);
    if (Bytes + Size > this->Settings.MaxRecordBytes)
      Flush();
    Bytes += Size;
    Part.Groups.push_back(std::move(Group));
  }
  Flush();
}

int32_t SampleController::takeOrdinal(int64_t Step) {
  int32_t Next = this->Table.nextOrdinal(Step);
  for (const auto &[Named, Ordinal] : this->PendingGroups)
    if (Named.first == Step)
      Next = std::max(Next, Ordinal + 1);
  return Next;
}

void SampleController::expireSubmits(Millis Now, Actions &Out) {
  std::erase_if(this->Submits, [&](const PendingSubmit &Waiting) {
    if (Now < Waiting.Deadline)
      return false;
    Out.emplace_back(refusal(Waiting.Request, RefusalReason::LogUnavailable,
                             RunState::Unknown,
                             "the submission was not read back in time"));
    return true;
  });
}

} // namespace camphornotch
