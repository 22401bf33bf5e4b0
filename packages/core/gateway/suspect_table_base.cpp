/// @file
/// Detects requests that break each endpoint that runs them.

#include "core/gateway/suspect_table_base.h"

#include "base/hash_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Broken endpoints after which a request is quarantined: the platform's rules
/// require it after the third crash.
constexpr int64_t QuarantineThreshold = 3;
/// How long a report counts; callers repeat such a request within a minute.
constexpr Millis ReportLifetime{60'000};
/// Length of the first quarantine.
constexpr Millis FirstQuarantine{60'000};
/// Upper bound of the length, which doubles with each one.
constexpr Millis MaxQuarantine{960'000};

} // namespace

RequestDigest digestOf(std::string_view Host, std::string_view Path,
                       std::string_view Body) {
  const uint64_t Hash = hashBytes(Body, hashBytes(Path, hashBytes(Host)));
  return RequestDigest{static_cast<int64_t>(Hash)};
}

bool SuspectTable::add(RequestDigest Digest, const EndpointLifetime &Endpoint,
                       Millis Now) {
  Suspect &Known = this->Suspects[Digest];
  const auto Before = Known.BrokenAt.find(Endpoint);
  const bool New =
      Before == Known.BrokenAt.end() || Now - Before->second >= ReportLifetime;
  Known.BrokenAt[Endpoint] = Now;
  if (!New || Now < Known.QuarantinedUntil)
    return New;
  const auto Fresh =
      std::ranges::count_if(Known.BrokenAt, [Now](const auto &Each) {
        return Now - Each.second < ReportLifetime;
      });
  const bool Again = Known.QuarantineTime > Millis{0};
  if (!Again && Fresh < QuarantineThreshold)
    return New;
  Known.QuarantineTime = Again
                             ? std::min(Known.QuarantineTime * 2, MaxQuarantine)
                             : FirstQuarantine;
  Known.QuarantinedUntil = Now + Known.QuarantineTime;
  return New;
}

bool SuspectTable::isQuarantined(RequestDigest Digest, Millis Now) const {
  const auto Found = this->Suspects.find(Digest);
  return Found != this->Suspects.end() && Now < Found->second.QuarantinedUntil;
}

bool SuspectTable::isOld(const Suspect &Known, Millis Now) {
  // A quarantine is remembered for its own length after its end.
  return Now >= Known.QuarantinedUntil + Known.QuarantineTime &&
         std::ranges::all_of(Known.BrokenAt, [Now](const auto &Break) {
           return Now - Break.second >= ReportLifetime;
         });
}

void SuspectTable::forgetOld(Millis Now) {
  std::erase_if(this->Suspects, [Now](const auto &Each) {
    return SuspectTable::isOld(Each.second, Now);
  });
}

} // namespace camphornotch
