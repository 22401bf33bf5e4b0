/// @file
/// The fold of the log: what each kind of record does to the state.

#include "core/fold/log_fold_base.h"

#include "core/fold/shard_func.h"
#include "rules/delta_func.h"
#include "rules/parse_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Earlier boots of an endpoint that are remembered.
constexpr size_t EarlierBoots = 4;

/// Makes room in a table by forgetting the entry with the lowest offset.
/// @param Table a map whose values have an Offset.
/// @param Capacity the largest size.
template <typename MapT> void boundByOffset(MapT &Table, size_t Capacity) {
  if (Table.size() <= Capacity)
    return;
  const auto Oldest = std::min_element(
      Table.begin(), Table.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Offset < Right.second.Offset;
      });
  Table.erase(Oldest);
}

} // namespace

Result<std::string> LogFold::wholeText(const wire::ConfigRecord &Record) const {
  if (Record.__isset.Delta)
    return applyDelta(this->Config.Text, Record.Delta);
  return Record.Text;
}

void LogFold::applyConfig(LogOffset Offset, const wire::ConfigRecord &Record,
                          Changes &Out) {
  const LogOffset Accepted = this->Config.Offset;
  ConfigRefused Refused{
      Offset, Record.PublishId, LogOffset{Record.BaseOffset}, Accepted, {}};
  const bool NoneBefore = Accepted == NoOffset && Record.BaseOffset == 0;
  if (Record.BaseOffset != Accepted.Value && !NoneBefore) {
    Refused.Faults.push_back(
        Error{ErrorKind::Conflict, "another configuration was published first",
              "look at the difference, then publish again"});
    Out.push_back(std::move(Refused));
    return;
  }
  Result<std::string> Text = this->wholeText(Record);
  if (!Text.has_value()) {
    Refused.Faults.push_back(Text.error());
    Out.push_back(std::move(Refused));
    return;
  }
  RuleResult Rules = parseRules("rules", Text.value());
  if (!Rules.has_value()) {
    Refused.Faults = std::move(Rules.error());
    Out.push_back(std::move(Refused));
    return;
  }
  this->standConfig(Offset, Record.PublishId, std::move(Text.value()),
                    std::move(Rules.value()));
  Out.push_back(ConfigAccepted{Offset, this->Config.Hash, Record.PublishId});
}

void LogFold::standConfig(LogOffset Offset, std::string_view PublishId,
                          std::string Text, RuleSet Rules) {
  this->Config.Offset = Offset;
  this->Config.Hash = ruleHash(Text);
  this->Config.Text = std::move(Text);
  this->Config.Rules = std::make_shared<const RuleSet>(std::move(Rules));
  this->ConfigPublishId = std::string(PublishId);
}

void LogFold::applyClaim(LogOffset Offset, const wire::ClaimRecord &Record,
                         Changes &Out) {
  const ShardId Shard{Record.Shard};
  const ShardClaim *Standing = this->claim(Shard);
  const Epoch Before = Standing == nullptr ? Epoch{-1} : Standing->Current;
  const HostId Claimant{Record.Owner};
  const BootId ClaimantBoot{Record.OwnerBoot};
  if (Record.PreviousEpoch != Before.Value) {
    Out.push_back(ClaimLost{Offset, Shard, Claimant, ClaimantBoot, Before});
    return;
  }
  const Epoch Won{Offset.Value};
  this->Claims[Shard] = ShardClaim{Claimant, ClaimantBoot, Won, false, {}};
  Out.push_back(ClaimWon{Shard, Claimant, ClaimantBoot, Won, Before});
}

bool LogFold::underCurrentEpoch(LogOffset Offset, const ShardId &Shard,
                                int64_t Written, Changes &Out) const {
  const ShardClaim *Standing = this->claim(Shard);
  const Epoch Current = Standing == nullptr ? Epoch{-1} : Standing->Current;
  if (Standing != nullptr && Written == Current.Value && !Standing->Released)
    return true;
  Out.push_back(RecordVoid{Offset, Shard, Epoch{Written}, Current});
  return false;
}

void LogFold::applyRelease(LogOffset Offset, const wire::ReleaseRecord &Record,
                           Changes &Out) {
  const ShardId Shard{Record.Shard};
  if (!this->underCurrentEpoch(Offset, Shard, Record.Epoch, Out))
    return;
  ShardClaim &Standing = this->Claims[Shard];
  Standing.Released = true;
  Standing.Successor = HostId{Record.Successor};
  Out.push_back(ShardReleased{Shard, Epoch{Record.Epoch}, Standing.Successor});
}

void LogFold::applyBoot(LogOffset Offset, const wire::BootRecord &Record,
                        Changes &Out) {
  const EndpointId Endpoint{Record.Endpoint};
  const BootStanding *Standing = this->boot(Endpoint);
  if (Standing != nullptr) {
    const std::vector<int64_t> &Earlier = Standing->Earlier;
    const bool WasHere =
        std::find(Earlier.begin(), Earlier.end(), Record.Boot) != Earlier.end();
    if (WasHere || Standing->Boot.Value == Record.Boot)
      return;
  }
  this->standBoot(Offset, Record);
  Out.push_back(
      BootStands{Endpoint, HostId{Record.Host}, BootId{Record.Boot}, Offset});
}

void LogFold::standBoot(LogOffset Offset, const wire::BootRecord &Record) {
  BootStanding &Standing = this->Boots[EndpointId{Record.Endpoint}];
  if (Standing.Fence != NoOffset)
    Standing.Earlier.push_back(Standing.Boot.Value);
  if (Standing.Earlier.size() > EarlierBoots)
    Standing.Earlier.erase(Standing.Earlier.begin());
  Standing.Host = HostId{Record.Host};
  Standing.Boot = BootId{Record.Boot};
  Standing.Fence = Offset;
}

void LogFold::applyStep(LogOffset Offset, const wire::StepRecord &Record,
                        Changes &Out) {
  const TrainerId Trainer{Record.Trainer};
  if (!this->underCurrentEpoch(Offset, trainerShard(Trainer), Record.Epoch,
                               Out))
    return;
  std::vector<std::string> NewGroups = this->standStep(Offset, Record);
  Out.push_back(StepAdded{Trainer, Record.Step, Offset, std::move(NewGroups)});
}

std::vector<std::string> LogFold::standStep(LogOffset Offset,
                                            const wire::StepRecord &Record) {
  TrainerState &Trainer = this->Trainers[TrainerId{Record.Trainer}];
  const bool Open = Trainer.Steps.contains(Record.Step);
  if (!Open && Record.Step <= Trainer.HighestDone)
    return {};
  if (!Open && Trainer.Steps.size() >= this->Limits.StepsPerTrainer)
    return {};
  StepState &Step = Trainer.Steps[Record.Step];
  Step.Model = Record.Model;
  Step.Offset = Offset;
  std::set<std::string_view> Present;
  for (const wire::GroupSpec &Group : Step.Groups)
    Present.insert(Group.Group);
  std::vector<wire::GroupSpec> Added;
  std::vector<std::string> NewGroups;
  for (const wire::GroupSpec &Group : Record.Groups) {
    if (!Present.insert(Group.Group).second)
      continue;
    Added.push_back(Group);
    NewGroups.push_back(Group.Group);
  }
  Step.Groups.insert(Step.Groups.end(), Added.begin(), Added.end());
  return NewGroups;
}

void LogFold::applyCheckpoint(LogOffset Offset,
                              const wire::CheckpointRecord &Record,
                              Changes &Out) {
  const TrainerId Trainer{Record.Trainer};
  if (!this->underCurrentEpoch(Offset, trainerShard(Trainer), Record.Epoch,
                               Out))
    return;
  if (this->standCheckpoint(Record))
    Out.push_back(CheckpointAdvanced{Trainer, Record.Step, Record.Batch,
                                     Record.StepDone});
}

bool LogFold::standCheckpoint(const wire::CheckpointRecord &Record) {
  TrainerState &Trainer = this->Trainers[TrainerId{Record.Trainer}];
  const auto Found = Trainer.Steps.find(Record.Step);
  if (Record.StepDone) {
    const bool Open = Found != Trainer.Steps.end();
    const bool Later = Record.Step > Trainer.HighestDone;
    if (Open)
      Trainer.Steps.erase(Found);
    Trainer.HighestDone = std::max(Trainer.HighestDone, Record.Step);
    return Open || Later;
  }
  if (Found == Trainer.Steps.end())
    return false;
  StepState &Step = Found->second;
  Step.Batch = std::max(Step.Batch, Record.Batch);
  Step.Delivered.insert(Record.Delivered.begin(), Record.Delivered.end());
  return true;
}

void LogFold::applyIntent(LogOffset Offset, const wire::IntentRecord &Record,
                          Changes &Out) {
  const auto [Place, IsFirst] = this->Intents.try_emplace(Record.Key);
  if (!IsFirst) {
    Out.push_back(IntentLost{Record.Key, Offset, Place->second.Offset});
    return;
  }
  Place->second.Offset = Offset;
  Place->second.Intent = Record;
  this->IntentOrder.emplace_back(Offset, Record.Key);
  Out.push_back(IntentStands{Record.Key, Offset});
  while (this->IntentOrder.size() > this->Limits.Intents)
    this->forgetIntent();
}

void LogFold::applyOutcome(const wire::OutcomeRecord &Record, Changes &Out) {
  const auto Found = this->Intents.find(Record.Key);
  if (Found == this->Intents.end())
    return;
  IntentState &Call = Found->second;
  if (Call.Offset.Value != Record.IntentOffset || Call.Outcome.has_value())
    return;
  Call.Outcome = Record;
  if (!Record.Body.empty()) {
    this->OutcomeOrder.push_back(Record.Key);
    this->OutcomeBytes += Record.Body.size();
    this->boundOutcomes();
  }
  Out.push_back(OutcomeKnown{Record.Key, Call.Offset});
}

void LogFold::boundOutcomes() {
  while (this->OutcomeBytes > this->Limits.OutcomeBytes) {
    const auto Found = this->Intents.find(this->OutcomeOrder.front());
    this->OutcomeOrder.pop_front();
    if (Found == this->Intents.end() || !Found->second.Outcome.has_value())
      continue;
    wire::OutcomeRecord &Outcome = *Found->second.Outcome;
    this->OutcomeBytes -= Outcome.Body.size();
    Outcome.BodyOmitted = true;
    Outcome.Body = std::string();
  }
}

void LogFold::forgetIntent() {
  const auto &[Offset, Key] = this->IntentOrder.front();
  const auto Found = this->Intents.find(Key);
  if (Found->second.Outcome.has_value())
    this->OutcomeBytes -= Found->second.Outcome->Body.size();
  this->Intents.erase(Found);
  while (!this->OutcomeOrder.empty() &&
         !this->Intents.contains(this->OutcomeOrder.front()))
    this->OutcomeOrder.pop_front();
  this->IntentFloor = Offset;
  this->IntentOrder.pop_front();
}

void LogFold::expireBefore(LogOffset Oldest) {
  while (!this->IntentOrder.empty() && this->IntentOrder.front().first < Oldest)
    this->forgetIntent();
}

void LogFold::applyQuarantine(LogOffset Offset,
                              const wire::QuarantineRecord &Record,
                              Changes &Out) {
  this->Quarantined[Record.Digest] = QuarantineState{
      Record.UntilWallMs, Record.Evidence, Record.Released, Offset};
  boundByOffset(this->Quarantined, this->Limits.Quarantined);
  Out.push_back(QuarantineChanged{Record.Digest, Record.UntilWallMs,
                                  Record.Released, Offset});
}

void LogFold::applyVersion(LogOffset Offset, const wire::VersionRecord &Record,
                           Changes &Out) {
  VersionState &Newest = this->Versions[Record.Model];
  const WeightVersion Version{Record.Version};
  if (Version <= Newest.Version)
    return;
  Newest = VersionState{Version, Record.Location, Offset};
  Out.push_back(
      VersionAnnounced{Record.Model, Version, Record.Location, Offset});
}

void LogFold::applyDrain(LogOffset Offset, const wire::DrainRecord &Record,
                         Changes &Out) {
  const HostId Host{Record.Host};
  if (Record.Leave)
    this->Drains[Host] = DrainState{true, Record.Author, Offset};
  else
    this->Drains.erase(Host);
  boundByOffset(this->Drains, this->Limits.Drains);
  Out.push_back(DrainChanged{Host, Record.Leave, Offset});
}

} // namespace camphornotch
