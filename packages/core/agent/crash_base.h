/// @file
/// Attributes crashes of the endpoint to the requests that it was running.

#ifndef CAMPHORNOTCH_CORE_AGENT_CRASH_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_CRASH_BASE_H

#include "base/millis_type.h"
#include "camphornotch_types.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace camphornotch {

/// Limits of crash attribution.
struct CrashSettings {
  /// Crashes with a digest present after which it may only run alone.
  int SuspectCrashes = 2;
  /// How long a crash is remembered.
  Millis Memory = seconds(3600);
  /// Digests remembered at most; the oldest are forgotten first.
  size_t MaxDigests = 4096;
};

/// What is known of one digest.
enum class DigestStanding : uint8_t {
  Clear,       ///< May run beside other work.
  Suspect,     ///< May only run alone.
  Quarantined, ///< Must not run.
};

/// Remembers which digests were present at crashes, here or, through the
/// entries, at other endpoints.
class CrashAttribution {
public:
  /// @param Settings the limits.
  explicit CrashAttribution(CrashSettings Settings);

  /// @param NewSettings the limits from now on.
  void change(CrashSettings NewSettings) { this->Settings = NewSettings; }

  /// The endpoint crashed.
  /// @param InFlight digests that it was running.
  /// @param Now when.
  /// @param CrashId a number unique for the endpoint.
  /// @return the report for the entries; Endpoint is for the caller to fill.
  wire::CrashReport onCrash(std::span<const int64_t> InFlight, int64_t CrashId,
                            Millis Now);

  /// Another agent's endpoint crashed; for the entries, which see them all.
  /// @param Report what its agent says.
  /// @param Now when it arrived.
  /// @return digests that are to be quarantined: suspects that were alone.
  std::vector<int64_t> onReport(const wire::CrashReport &Report, Millis Now);

  /// @param Now the present.
  /// @return digests that may only run alone.
  [[nodiscard]] std::vector<int64_t> suspects(Millis Now) const;

  /// Work finished without a crash: evidence against its digest is dropped.
  /// @param Digest the digest.
  void onFinished(int64_t Digest);

  /// Takes over the whole lists of quarantined and suspect digests.
  /// @param Push the list; older ones than the last are ignored.
  void onQuarantine(const wire::QuarantinePush &Push);

  /// @param Digest a digest; 0 means none.
  /// @param Now the present.
  /// @return whether and how it may run.
  [[nodiscard]] DigestStanding standing(int64_t Digest, Millis Now) const;

private:
  /// Evidence against one digest.
  struct Evidence {
    /// Crashes with it present.
    int Crashes = 0;
    /// The last of them.
    Millis LastCrash;
  };

  /// Counts one crash against each digest.
  void count(std::span<const int64_t> Present, Millis Now);
  /// @param Against evidence.
  /// @param Now the present.
  /// @return whether it makes a suspect.
  [[nodiscard]] bool suffices(const Evidence &Against, Millis Now) const;
  /// Forgets old evidence, then the oldest beyond the limit.
  void trim(Millis Now);

  /// The limits.
  CrashSettings Settings;
  /// Evidence by digest.
  absl::flat_hash_map<int64_t, Evidence> Digests;
  /// Digests that the entries hold for suspects.
  absl::flat_hash_set<int64_t> ToldSuspects;
  /// Digests that must not run.
  absl::flat_hash_set<int64_t> Quarantined;
  /// Offset of the last list taken over.
  int64_t QuarantineOffset = -1;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_CRASH_BASE_H
