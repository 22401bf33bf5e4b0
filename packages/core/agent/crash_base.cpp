/// @file
/// Attributes crashes of the endpoint to the requests that it was running.

#include "core/agent/crash_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

CrashAttribution::CrashAttribution(CrashSettings Settings)
    : Settings(Settings) {
  assert(Settings.SuspectCrashes > 0);
}

wire::CrashReport CrashAttribution::onCrash(std::span<const int64_t> InFlight,
                                            int64_t CrashId, Millis Now) {
  wire::CrashReport Report;
  Report.CrashId = CrashId;
  const absl::flat_hash_set<int64_t> Present(InFlight.begin(), InFlight.end());
  for (const int64_t Digest : Present) {
    if (Digest == 0)
      continue;
    Evidence &Against = this->Digests[Digest];
    ++Against.Crashes;
    Against.LastCrash = Now;
    Report.Digests.push_back(Digest);
  }
  std::sort(Report.Digests.begin(), Report.Digests.end());
  this->trim(Now);
  return Report;
}

void CrashAttribution::onFinished(int64_t Digest) {
  this->Digests.erase(Digest);
}

void CrashAttribution::onQuarantine(const wire::QuarantinePush &Push) {
  if (Push.Offset < this->QuarantineOffset)
    return;
  this->QuarantineOffset = Push.Offset;
  this->Quarantined.clear();
  this->Quarantined.insert(Push.Digests.begin(), Push.Digests.end());
}

DigestStanding CrashAttribution::standing(int64_t Digest, Millis Now) const {
  if (Digest == 0)
    return DigestStanding::Clear;
  if (this->Quarantined.contains(Digest))
    return DigestStanding::Quarantined;
  const auto Found = this->Digests.find(Digest);
  if (Found == this->Digests.end())
    return DigestStanding::Clear;
  const Evidence &Against = Found->second;
  const bool Fresh = Now - Against.LastCrash <= this->Settings.Memory;
  const bool Enough = Against.Crashes >= this->Settings.SuspectCrashes;
  return Fresh && Enough ? DigestStanding::Suspect : DigestStanding::Clear;
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
