/// @file
/// Attributes crashes of the endpoint to the requests that it was running.

#include "core/agent/crash_base.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace camphornotch {

CrashAttribution::CrashAttribution(CrashSettings Settings)
    : Settings(Settings) {
  assert(Settings.SuspectCrashes > 0);
}

wire::CrashReport CrashAttribution::onCrash(std::span<const int64_t> InFlight,
                                            int64_t CrashId, Millis Now) {
  wire::CrashReport Report;
  Report.CrashId = CrashId;
  Report.__set_Alone(InFlight.size() == 1);
  std::set<int64_t> Present(InFlight.begin(), InFlight.end());
  Present.erase(0);
  Report.Digests.assign(Present.begin(), Present.end());
  this->count(Report.Digests, Now);
  return Report;
}

std::vector<int64_t> CrashAttribution::onReport(const wire::CrashReport &Report,
                                                Millis Now) {
  std::vector<int64_t> Proven;
  for (const int64_t Digest : Report.Digests) {
    const bool Suspect = this->standing(Digest, Now) == DigestStanding::Suspect;
    if (Suspect && Report.Alone)
      Proven.push_back(Digest);
  }
  this->count(Report.Digests, Now);
  return Proven;
}

std::vector<int64_t> CrashAttribution::suspects(Millis Now) const {
  std::vector<int64_t> Found;
  for (const auto &[Digest, Against] : this->Digests) {
    if (this->suffices(Against, Now) && !this->Quarantined.contains(Digest))
      Found.push_back(Digest);
  }
  std::sort(Found.begin(), Found.end());
  return Found;
}

void CrashAttribution::count(std::span<const int64_t> Present, Millis Now) {
  for (const int64_t Digest : Present) {
    Evidence &Against = this->Digests[Digest];
    ++Against.Crashes;
    Against.LastCrash = Now;
  }
  this->trim(Now);
}

bool CrashAttribution::suffices(const Evidence &Against, Millis Now) const {
  return Against.Crashes >= this->Settings.SuspectCrashes &&
         Now - Against.LastCrash <= this->Settings.Memory;
}

void CrashAttribution::onFinished(int64_t Digest) {
  this->Digests.erase(Digest);
  this->ToldSuspects.erase(Digest);
}

void CrashAttribution::onQuarantine(const wire::QuarantinePush &Push) {
  if (Push.Offset < this->QuarantineOffset)
    return;
  this->QuarantineOffset = Push.Offset;
  this->Quarantined.clear();
  this->Quarantined.insert(Push.Digests.begin(), Push.Digests.end());
  // Entries learn of crashes one by one, so that their lists differ.
  if (this->ToldSuspects.size() > this->Settings.MaxDigests)
    this->ToldSuspects.clear();
  this->ToldSuspects.insert(Push.Suspects.begin(), Push.Suspects.end());
}

DigestStanding CrashAttribution::standing(int64_t Digest, Millis Now) const {
  if (Digest == 0)
    return DigestStanding::Clear;
  if (this->Quarantined.contains(Digest))
    return DigestStanding::Quarantined;
  if (this->ToldSuspects.contains(Digest))
    return DigestStanding::Suspect;
  const auto Found = this->Digests.find(Digest);
  const bool Suspect =
      Found != this->Digests.end() && this->suffices(Found->second, Now);
  return Suspect ? DigestStanding::Suspect : DigestStanding::Clear;
}

void CrashAttribution::trim(Millis Now) {
  absl::erase_if(this->Digests, [&](const auto &Each) {
    return Now - Each.second.LastCrash > this->Settings.Memory;
  });
  while (this->Digests.size() > this->Settings.MaxDigests) {
    const auto Oldest = std::min_element(
        this->Digests.begin(), this->Digests.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.LastCrash < Right.second.LastCrash;
        });
    this->Digests.erase(Oldest);
  }
}

} // namespace camphornotch
