/// @file
/// Chooses the hosts that an entry links to.

#include "core/membership/link_subset_func.h"

#include "base/hash_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

using EntriesByCentre = std::map<DataCentreId, std::vector<HostId>>;

/// @return the entries that are not gone, by data centre; includes this entry.
EntriesByCentre entriesOf(const MembershipSettings &Settings,
                          const std::map<HostId, MemberState> &Members) {
  EntriesByCentre Out;
  bool SelfListed = false;
  for (const auto &[Host, Member] : Members) {
    if (Member.Listed.IsAgent || Member.State == HostState::Gone)
      continue;
    Out[Member.Listed.DataCentre].push_back(Host);
    SelfListed |= Host == Settings.Self;
  }
  if (!SelfListed)
    Out[Settings.DataCentre].push_back(Settings.Self);
  return Out;
}

/// @return how many of the hosts rank before the candidate in the rendezvous
///         hash of the key.
int64_t rankOf(const HostId &Key, const HostId &Candidate,
               const std::vector<HostId> &All) {
  const uint64_t OwnScore = rendezvousScore(Key.Value, Candidate.Value);
  return std::count_if(All.begin(), All.end(), [&](const HostId &Other) {
    const uint64_t Score = rendezvousScore(Key.Value, Other.Value);
    return Score > OwnScore || (Score == OwnScore && Other < Candidate);
  });
}

/// @param Entries the entries of the member's data centre.
/// @return whether this entry links to it.
bool shouldLink(const MembershipSettings &Settings, const MemberState &Member,
                const std::vector<HostId> &Entries) {
  const HostId &Host = Member.Listed.Host;
  const bool Local = Member.Listed.DataCentre == Settings.DataCentre;
  if (Member.Listed.IsAgent)
    return Local &&
           rankOf(Host, Settings.Self, Entries) < Settings.EntriesPerAgent;
  return Local || rankOf(Settings.Self, Host, Entries) < Settings.RemoteLinks;
}

} // namespace

std::set<HostId> wantedLinks(const MembershipSettings &Settings,
                             const std::map<HostId, MemberState> &Members) {
  const EntriesByCentre Entries = entriesOf(Settings, Members);
  const std::vector<HostId> None;
  std::set<HostId> Out;
  for (const auto &[Host, Member] : Members) {
    if (Host == Settings.Self || Member.State == HostState::Gone)
      continue;
    const auto Found = Entries.find(Member.Listed.DataCentre);
    if (shouldLink(Settings, Member,
                   Found == Entries.end() ? None : Found->second))
      Out.insert(Host);
  }
  return Out;
}

} // namespace camphornotch
