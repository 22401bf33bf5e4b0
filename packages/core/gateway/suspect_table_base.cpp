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

} // namespace

RequestDigest digestOf(std::string_view Host, std::string_view Path,
                       std::string_view Body) {
  const uint64_t Hash = hashBytes(Body, hashBytes(Path, hashBytes(Host)));
  return RequestDigest{static_cast<int64_t>(Hash)};
}

bool SuspectTable::add(RequestDigest Digest, const EndpointId &Endpoint,
                       Millis Now) {
  return this->BrokenAt[Digest].insert_or_assign(Endpoint, Now).second;
}

bool SuspectTable::isQuarantined(RequestDigest Digest, Millis Now) const {
  const auto Found = this->BrokenAt.find(Digest);
  if (Found == this->BrokenAt.end())
    return false;
  return std::ranges::count_if(Found->second, [Now](const auto &Each) {
           return Now - Each.second < ReportLifetime;
         }) >= QuarantineThreshold;
}

void SuspectTable::forgetOld(Millis Now) {
  std::erase_if(this->BrokenAt, [Now](const auto &Each) {
    return std::ranges::all_of(Each.second, [Now](const auto &Break) {
      return Now - Break.second >= ReportLifetime;
    });
  });
}

} // namespace camphornotch
