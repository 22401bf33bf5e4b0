/// @file
/// Detects requests that break each endpoint that runs them.

#include "core/gateway/suspect_table_base.h"

#include "base/hash_func.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphornotch {

namespace {

/// Broken endpoints after which a request is quarantined: the platform's rules
/// require it after the third crash.
constexpr int QuarantineThreshold = 3;
/// How long a report counts; callers repeat such a request within a minute.
constexpr Millis ReportLifetime{60'000};
/// Length of the first quarantine.
constexpr Millis FirstQuarantine{60'000};
/// Upper bound of the length, which doubles with each further break.
constexpr Millis MaxQuarantine{960'000};

/// @param Breaks endpoints that broke one after another.
/// @return how long the request is held back after the last one; 0: not at all.
Millis quarantineTime(int Breaks) {
  if (Breaks < QuarantineThreshold)
    return Millis{0};
  Millis Time = FirstQuarantine;
  for (int Each = QuarantineThreshold; Each < Breaks && Time < MaxQuarantine;
       ++Each)
    Time = Time * 2;
  return std::min(Time, MaxQuarantine);
}

} // namespace

RequestDigest digestOf(std::string_view Host, std::string_view Path,
                       std::string_view Body) {
  const uint64_t Hash = hashBytes(Body, hashBytes(Path, hashBytes(Host)));
  return RequestDigest{static_cast<int64_t>(Hash)};
}

bool SuspectTable::add(RequestDigest Digest, const EndpointLifetime &Endpoint,
                       Millis BrokenAt, Millis RanFor) {
  Suspect &Known = this->Suspects[Digest];
  if (BrokenAt >= Known.KeptUntil)
    Known = Suspect{};
  std::erase_if(Known.BrokenAt, [BrokenAt](const auto &Each) {
    return BrokenAt - Each.second >= ReportLifetime;
  });
  const bool New = Known.BrokenAt.insert_or_assign(Endpoint, BrokenAt).second;
  // One that was sent before the last break was under way beside it.
  const bool Follows =
      Known.Breaks == 0 || BrokenAt - RanFor >= Known.ChangedAt;
  if (!New || !Follows || BrokenAt < SuspectTable::quarantinedUntil(Known))
    return New;
  ++Known.Breaks;
  SuspectTable::changed(Known, BrokenAt);
  return New;
}

bool SuspectTable::succeeded(RequestDigest Digest, Millis Now) {
  const auto Found = this->Suspects.find(Digest);
  if (Found == this->Suspects.end() || Found->second.Breaks == 0)
    return false;
  Suspect &Known = Found->second;
  ++Known.Acquittals;
  Known.Breaks = 0;
  Known.BrokenAt.clear();
  SuspectTable::changed(Known, Now);
  return true;
}

SuspectNews SuspectTable::merge(const wire::SuspectState &Other, Millis Now) {
  Suspect Told;
  Told.Acquittals = Other.Acquittals;
  Told.Breaks = std::max(Other.Breaks, 0);
  Told.ChangedAt = Now - Millis{std::max<int64_t>(Other.AgeMs, 0)};
  Told.KeptUntil = Now + std::min(Millis{Other.KeptMs}, MaxQuarantine * 2);
  if (Now >= Told.KeptUntil)
    return SuspectNews::Same;
  for (const wire::SuspectEndpoint &Each : Other.Endpoints)
    Told.BrokenAt[EndpointLifetime{EndpointId{Each.Id}, Each.StartedAtMs}] =
        Told.ChangedAt;
  Suspect &Known = this->Suspects[RequestDigest{Other.Digest}];
  if (Now >= Known.KeptUntil) {
    Known = std::move(Told);
    return SuspectNews::Learned;
  }
  const auto Order = std::tie(Known.Acquittals, Known.Breaks) <=>
                     std::tie(Told.Acquittals, Told.Breaks);
  if (Order < 0) {
    Told.KeptUntil = std::max(Told.KeptUntil, Known.KeptUntil);
    if (Known.Acquittals == Told.Acquittals)
      Told.BrokenAt.merge(Known.BrokenAt);
    Known = std::move(Told);
    return SuspectNews::Learned;
  }
  const size_t Before = Known.BrokenAt.size();
  if (Known.Acquittals == Told.Acquittals)
    Known.BrokenAt.merge(Told.BrokenAt);
  if (Known.BrokenAt.size() > Before)
    return SuspectNews::Learned;
  return Order > 0 ? SuspectNews::Outdated : SuspectNews::Same;
}

bool SuspectTable::isQuarantined(RequestDigest Digest, Millis Now) const {
  const auto Found = this->Suspects.find(Digest);
  return Found != this->Suspects.end() &&
         Now < SuspectTable::quarantinedUntil(Found->second);
}

std::optional<wire::SuspectState> SuspectTable::state(RequestDigest Digest,
                                                      Millis Now) const {
  const auto Found = this->Suspects.find(Digest);
  if (Found == this->Suspects.end() || Now >= Found->second.KeptUntil)
    return std::nullopt;
  const Suspect &Known = Found->second;
  wire::SuspectState State;
  State.Digest = Digest.Value;
  State.Acquittals = Known.Acquittals;
  State.Breaks = Known.Breaks;
  State.AgeMs = (Now - Known.ChangedAt).Count;
  State.KeptMs = (Known.KeptUntil - Now).Count;
  for (const auto &[Endpoint, BrokenAt] : Known.BrokenAt) {
    wire::SuspectEndpoint Each;
    Each.Id = Endpoint.Id.Value;
    Each.StartedAtMs = Endpoint.StartedAtMs;
    State.Endpoints.push_back(std::move(Each));
  }
  return State;
}

std::vector<wire::SuspectState> SuspectTable::states(size_t Most,
                                                     Millis Now) const {
  std::vector<wire::SuspectState> States;
  for (const auto &[Digest, Known] : this->Suspects)
    if (std::optional<wire::SuspectState> Each = this->state(Digest, Now))
      States.push_back(*std::move(Each));
  std::ranges::sort(States, [](const auto &Left, const auto &Right) {
    return std::tie(Right.Breaks, Left.AgeMs) <
           std::tie(Left.Breaks, Right.AgeMs);
  });
  if (States.size() > Most)
    States.resize(Most);
  return States;
}

Millis SuspectTable::quarantinedUntil(const Suspect &Known) {
  return Known.ChangedAt + quarantineTime(Known.Breaks);
}

void SuspectTable::changed(Suspect &Known, Millis At) {
  Known.ChangedAt = At;
  // A quarantine is remembered for its own length after its end.
  Known.KeptUntil =
      std::max(Known.KeptUntil,
               At + std::max(ReportLifetime, quarantineTime(Known.Breaks) * 2));
}

void SuspectTable::forgetOld(Millis Now) {
  std::erase_if(this->Suspects, [Now](const auto &Each) {
    return Now >= Each.second.KeptUntil;
  });
}

} // namespace camphornotch
