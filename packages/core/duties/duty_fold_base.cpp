/// @file
/// Computes who holds each duty, and which usage windows are settled, from the
/// records of the duties' partition.

#include "core/duties/duty_fold_base.h"

#include "core/duties/duty_type.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace camphornotch {

Result<void> DutyFold::apply(int64_t Offset, std::string_view Bytes,
                             Millis Now) {
  const Result<wire::DutyRecord> Decoded = decodeDuty(Bytes);
  if (!Decoded.has_value())
    return Decoded.error();
  const wire::DutyRecord &Record = Decoded.value();
  if (Record.__isset.Claim) {
    this->applyClaim(Offset, Record.Claim, Now);
  } else if (Record.__isset.Renewal) {
    if (DutyClaim *Claim =
            this->claimOf(Record.Renewal.Duty, Record.Renewal.FencingNumber))
      Claim->SeenAt = Now;
  } else if (Record.__isset.Release) {
    if (DutyClaim *Claim =
            this->claimOf(Record.Release.Duty, Record.Release.FencingNumber))
      Claim->Released = true;
  } else if (Record.__isset.Settled) {
    const wire::UsageSettledRecord &Settled = Record.Settled;
    if (DutyClaim *Claim =
            this->claimOf(std::string(UsageDuty), Settled.FencingNumber))
      Claim->SeenAt = Now;
    if (Settled.Window < this->FirstKept)
      return boost::outcome_v2::success();
    const auto [Entry, IsFirst] =
        this->Settled.try_emplace(Settled.Window, UsageCounts{});
    if (IsFirst)
      for (const wire::AccountCount &Each : Settled.Counts)
        Entry->second[Each.Account] = Each.Count;
    this->NewestSettled = std::max(this->NewestSettled, Settled.Window);
  } else if (Record.__isset.Reported) {
    if (Record.Reported.Window >= this->FirstKept)
      this->Reported.insert(Record.Reported.Window);
  }
  return boost::outcome_v2::success();
}

void DutyFold::applyClaim(int64_t Offset, const wire::DutyClaimRecord &Record,
                          Millis Now) {
  DutyClaim Claim;
  Claim.Host = Record.Holder;
  Claim.Boot = Record.Boot;
  Claim.FencingNumber = Offset + 1;
  Claim.SeenAt = Now;
  const auto Before = this->Claims.find(Record.Duty);
  if (Before != this->Claims.end())
    Claim.PreviousHost = Before->second.Host;
  this->Claims.insert_or_assign(Record.Duty, std::move(Claim));
}

DutyClaim *DutyFold::claimOf(const std::string &Duty, int64_t FencingNumber) {
  const auto Found = this->Claims.find(Duty);
  return Found == this->Claims.end() ||
                 Found->second.FencingNumber != FencingNumber
             ? nullptr
             : &Found->second;
}

const DutyClaim *DutyFold::claim(std::string_view Duty) const {
  const auto Found = this->Claims.find(Duty);
  return Found == this->Claims.end() ? nullptr : &Found->second;
}

const UsageCounts *DutyFold::settled(int64_t Window) const {
  const auto Found = this->Settled.find(Window);
  return Found == this->Settled.end() ? nullptr : &Found->second;
}

int64_t DutyFold::unreportedAfter(int64_t Window) const {
  for (auto Each = this->Settled.upper_bound(Window);
       Each != this->Settled.end(); ++Each)
    if (!this->Reported.contains(Each->first))
      return Each->first;
  return -1;
}

void DutyFold::forgetBefore(int64_t Window) {
  this->FirstKept = std::max(this->FirstKept, Window);
  this->Settled.erase(this->Settled.begin(),
                      this->Settled.lower_bound(this->FirstKept));
  this->Reported.erase(this->Reported.begin(),
                       this->Reported.lower_bound(this->FirstKept));
}

std::vector<wire::AccountCount> encodeCounts(const UsageCounts &Counts) {
  std::vector<wire::AccountCount> Encoded;
  for (const auto &[Account, Count] : Counts) {
    wire::AccountCount Each;
    Each.Account = Account;
    Each.Count = Count;
    Encoded.push_back(std::move(Each));
  }
  return Encoded;
}

wire::UsageSettledRecord settledRecord(int64_t Window, int64_t FencingNumber,
                                       const UsageCounts &Counts) {
  wire::UsageSettledRecord Settled;
  Settled.Window = Window;
  Settled.FencingNumber = FencingNumber;
  Settled.Counts = encodeCounts(Counts);
  return Settled;
}

} // namespace camphornotch
